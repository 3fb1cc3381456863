#!/usr/bin/env bash
# Targets and callers send fields that the HTTP library cannot store, in headers and behind bodies in chunks. Guards
# against an exception of the library that ends the entry host, with the requests that sound targets are working on.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/checks.sh"
. "$here/registry_hosts.sh"

long=$(head -c 70000 /dev/zero | tr '\0' a)
last_chunk='4%0D%0Abody%0D%0A0%0D%0A'
long_trailer="/shaped?fault=shaped&line=Transfer-Encoding:chunked&body=${last_chunk}X-Long:&bytes=90000&end=%0D%0A%0D%0A"

head_of() { # method path: the lines of a request before its own
    printf '%s %s HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: id-%s\r\nX-Deadline-Ms: 2000\r\n' "$1" "$2" "$RANDOM"
}
ask() { { head_of GET "$1"; printf 'Connection: close\r\n\r\n'; } | raw 127.0.1.1:7000 4 | tr -d '\0'; } # path
served() { contains "$(ask /view/a)" "HTTP/1.1 200 OK"; }
status_is() { contains "$(head -1 <<<"$1")" "HTTP/1.1 $2 "; } # answer status
post_with_trailer() { # address field
    { printf 'POST /view/a HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: id-1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n%s\r\n\r\n' "$2"; } |
        raw "$1" 4 2>/dev/null | tr -d '\0'
}
is_same_process() { kill -0 "$first_pid" 2>/dev/null && equal "$(pid_of entry-1)" "$first_pid"; }
route() { # name service
    printf '{"name":"%s","host":"a.example","path_prefix":"/%s/","kind":"idempotent","timeout_s":4,"target_latency_s":0.5,"priority":2,"service":"%s","max_attempts":2,"sticky":false,"home_regions":[]}' "$1" "$1" "$2"
}
service() { # name health-path
    printf '{"name":"%s","health_path":"%s","max_conns":200,"warmup_s":0,"cold_per_s":1000}' "$1" "$2"
}
target() { # number service
    start "target-$1" "$build/unit_tests/fakes/fake_target" --listen "127.1.1.$1:9000" --id "i-$1" --slots 50
    wait_until 5 store PUT "servers/i-$1" "{\"service\":\"$2\",\"address\":\"127.1.1.$1:9000\",\"zone\":\"north-a\",\"version\":\"v1\",\"slots\":50,\"state\":\"ready\",\"cold_left_s\":0,\"sequence\":1,\"born\":5}"
}
manifest() { # version max_header_bytes
    store PUT config/main "{\"version\":\"$1\",\"routes\":[$(route view s),$(route probed probed)],\"services\":[$(service s /healthz),$(service probed "/healthz${long_trailer#/shaped}")],\"limits\":{\"max_header_bytes\":$2,\"max_body_bytes\":1000000,\"header_timeout_s\":3,\"idle_timeout_s\":15}}"
}
ejected() {
    ask "/probed/a?fault=drop" >/dev/null
    grep -q 'event=eject_target.*target:i-2' "$work/entry-1.out"
}
cookie_of_70000_bytes() { { head_of GET /view/a; printf 'Cookie: %s\r\nConnection: close\r\n\r\n' "$long"; } | raw 127.0.1.1:7000 4 2>/dev/null | tr -d '\0'; }

start registry "$build/unit_tests/fakes/fake_registry" --listen "$registry"
registry_seeds=127.0.1.1:7001 start_registry_host 1 north-a "$registry"
target 1 s || exit 1
target 2 probed
manifest 00000002 16384
expect "a request is served" wait_until 10 served
first_pid=$(pid_of entry-1)

ask "/view/a?ms=1200" >"$work/slow" & slow=$!
sleep 0.3
expect "an answer with a long trailer is no answer" status_is "$(ask "/view$long_trailer")" 502
ask /view/a >/dev/null # A good answer, so that the host goes on using the target.
expect "a long trailer of a request is refused" status_is "$(post_with_trailer 127.0.1.1:7000 "X-Long: $long")" 431
post_with_trailer 127.0.1.1:7001 "X-Long: $long" >/dev/null # the listener for peers
post_with_trailer 127.0.1.1:7004 "X-Long: $long" >/dev/null # the listener for metrics
expect "the host is still running" is_same_process
wait "$slow"
expect "a request in flight meanwhile is served" status_is "$(cat "$work/slow")" 200

many=$(for n in $(seq 400); do printf 'X-More-%s: %s\r\n' "$n" "0123456789012345678901234567890123456789"; done)
expect "trailers beyond the header limit are refused" status_is "$(post_with_trailer 127.0.1.1:7000 "${many%$'\r\n'}")" 431
expect "trailers within the header limit are not" status_is "$(post_with_trailer 127.0.1.1:7000 "X-More: 1")" 200

expect "a target is ejected" wait_until 20 ejected
sleep 3 # Rounds of probes, of which the answers have a long trailer.
expect "the host is still running after health probes" is_same_process
manifest 00000004 131072
sleep 3
expect "a cookie of 70,000 bytes is refused, whatever the header limit" status_is "$(cookie_of_70000_bytes)" 431
expect "the host is still running after the cookie" is_same_process
expect "a request is served in the end" wait_until 5 served
finish
