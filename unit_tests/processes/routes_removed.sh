#!/usr/bin/env bash
# The operators remove all routes, then all services too, and a host starts while the store is away. Guards against a
# configuration without routes that opens all paths of a service to callers, and against requests of a removed
# non-idempotent route that run twice.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/checks.sh"
. "$here/registry_hosts.sh"

request() { # host method path
    { printf '%s %s HTTP/1.1\r\nHost: s.example\r\nX-Request-Id: id-%s\r\nX-Deadline-Ms: 3000\r\nContent-Length: 0\r\nConnection: close\r\n\r\n' "$2" "$3" "$RANDOM"; } |
        raw "127.0.1.$1:7000" 4 | head -1 | tr -d '\r'
}
answers() { contains "$(request "$1" "$2" "$3")" "HTTP/1.1 $4 "; } # host method path status
runs() { for n in 1 2; do http_get "127.1.1.$n:9000" /stats; done | awk '/^runs /{sum += $2} END{print sum}'; }
fault() { http_post "$registry" "/control?fault=$1&value=${2:-1}"; }
route() { # name kind
    printf '{"name":"%s","host":"s.example","path_prefix":"/%s/","kind":"%s","timeout_s":2,"target_latency_s":0.5,"priority":2,"service":"s","max_attempts":2,"sticky":false,"home_regions":[]}' "$1" "$1" "$2"
}
service='{"name":"s","health_path":"/healthz","max_conns":200,"warmup_s":0,"cold_per_s":1000}'
manifest() { # version routes services
    store PUT config/main "{\"version\":\"$1\",\"routes\":[$2],\"services\":[$3],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":1000000,\"header_timeout_s\":3,\"idle_timeout_s\":15}}"
}
all_unknown() { # host: no path reaches a target
    local path
    for path in "POST /close-ledger" "GET /stamp/a" "GET /view/a" "GET /" "GET /stamp/a?ms=1200"; do
        # shellcheck disable=SC2086
        answers "$1" $path 404 || return 1
    done
}

start registry "$build/unit_tests/fakes/fake_registry" --listen "$registry"
for n in 1 2; do
    start_registry_host "$n" north-a "$registry"
    start "target-$n" "$build/unit_tests/fakes/fake_target" --listen "127.1.1.$n:9000" --id "i-$n" --slots 50
    wait_until 5 store PUT "servers/i-$n" "{\"service\":\"s\",\"address\":\"127.1.1.$n:9000\",\"zone\":\"north-a\",\"version\":\"v1\",\"slots\":50,\"state\":\"ready\",\"cold_left_s\":0,\"sequence\":1,\"born\":5}"
done
manifest 00000002 "$(route view idempotent),$(route stamp non_idempotent)" "$service"
for n in 1 2; do expect "host $n serves" wait_until 10 answers "$n" GET /view/a 200; done
expect "a path without a route is unknown" answers 1 POST /close-ledger 404

manifest 00000004 "" "$service"
for n in 1 2; do expect "host $n: no route is left" wait_until 5 answers "$n" GET /view/a 404; done
before=$(runs)
for n in 1 2; do expect "host $n: no path reaches a target" all_unknown "$n"; done
manifest 00000006 "" ""
sleep 3
for n in 1 2; do expect "host $n: none does without services" all_unknown "$n"; done
kill -KILL "$(pid_of entry-2)"
fault down
start_registry_host 2 north-a "$registry"
expect "a host that starts without the store gets this configuration from its peer" wait_until 10 answers 2 GET /view/a 404
expect "host 2: no path reaches a target" all_unknown 2
expect "the targets ran nothing meanwhile" equal "$(runs)" "$before"

fault down 0
manifest 00000008 "$(route view idempotent)" "$service"
for n in 1 2; do expect "host $n serves again" wait_until 10 answers "$n" GET /view/a 200; done
finish
