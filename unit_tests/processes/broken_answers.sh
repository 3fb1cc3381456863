#!/usr/bin/env bash
# A target answers with a head that is not HTTP. Guards against a host that passes such an answer on, or takes one for
# a good answer to a health probe.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/checks.sh"
. "$here/registry_hosts.sh"

ask() { # path [method]
    printf '%s %s HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: id-%s\r\nX-Deadline-Ms: 2000\r\nContent-Length: 0\r\nConnection: close\r\n\r\n' \
        "${2:-GET}" "$1" "$RANDOM" | raw 127.0.1.1:7000 3 | tr -d '\0'
}
ask_1_0() { # path: a request in HTTP/1.0 on a connection that the caller wants to keep
    printf 'GET %s HTTP/1.0\r\nHost: a.example\r\nX-Request-Id: id-%s\r\nConnection: keep-alive\r\n\r\n' "$1" "$RANDOM" | raw 127.0.1.1:7000 3
}
served() { contains "$(ask /view/a)" "HTTP/1.1 200 OK"; }
shaped() { # start line body [path] [method]: the answer to a request that the target answers in this shape
    local answer
    answer=$(ask "/${4:-view}/a?fault=shaped&start=$1&line=$2&body=$3" "${5:-GET}")
    ask /view/a >/dev/null # A good answer, so that the host goes on using the target.
    printf '%s' "$answer"
}
refused() { # what start line body: on both kinds of route the host answers in the target's place
    local kind method path answer
    for kind in "GET view" "POST stamp"; do
        read -r method path <<<"$kind"
        answer=$(shaped "$2" "$3" "$4" "$path" "$method")
        case $answer in
        *X-Response-Seal*) fail "$1 ($path) reaches the caller: $answer" ;;
        "HTTP/1.1 502 "*) say "ok: $1 ($path) is answered 502" ;;
        *) fail "$1 ($path) is answered: $answer" ;;
        esac
    done
}
is_passed_on() { contains "$1" "$2" && contains "$1" X-Response-Seal; } # answer text
route() { # name kind service
    printf '{"name":"%s","host":"a.example","path_prefix":"/%s/","kind":"%s","timeout_s":2,"target_latency_s":0.5,"priority":2,"service":"%s","max_attempts":2,"sticky":false,"home_regions":[]}' "$1" "$1" "$2" "$3"
}
service() { # name health-path
    printf '{"name":"%s","health_path":"%s","max_conns":200,"warmup_s":0,"cold_per_s":1000}' "$1" "$2"
}
target() { # number service
    start "target-$1" "$build/unit_tests/fakes/fake_target" --listen "127.1.1.$1:9000" --id "i-$1" --slots 50
    wait_until 5 store PUT "servers/i-$1" "{\"service\":\"$2\",\"address\":\"127.1.1.$1:9000\",\"zone\":\"north-a\",\"version\":\"v1\",\"slots\":50,\"state\":\"ready\",\"cold_left_s\":0,\"sequence\":1,\"born\":5}"
}
ejected() { # the target whose health probes are answered with status 000
    ask "/probed/a?fault=drop" >/dev/null
    grep -q 'event=eject_target.*target:i-2' "$work/entry-1.out"
}

start registry "$build/unit_tests/fakes/fake_registry" --listen "$registry"
registry_seeds=127.0.1.1:7001 start_registry_host 1 north-a "$registry"
target 1 s || exit 1
target 2 probed
store PUT config/main "{\"version\":\"00000002\",\"routes\":[$(route view idempotent s),$(route stamp non_idempotent s),$(route probed idempotent probed)],\"services\":[$(service s /healthz),$(service probed '/healthz?fault=shaped&start=HTTP/1.1%20000&line=Content-Length:0')],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":1000000,\"header_timeout_s\":3,\"idle_timeout_s\":15}}"
expect "a request is served" wait_until 10 served

for status in 000 099 600 999; do
    refused "status $status" "HTTP/1.1%20$status" Content-Length:4 body
    refused "status $status, body until close" "HTTP/1.1%20$status" "" body
    refused "status $status after an interim answer" "HTTP/1.1%20103%20Early%0D%0A%0D%0AHTTP/1.1%20$status" Content-Length:4 body
done
# The host asks no target to switch to another protocol, so what follows is no answer.
refused "status 101" "HTTP/1.1%20101%20Switching%0D%0AUpgrade:other%0D%0A%0D%0AHTTP/1.1%20200" Content-Length:4 body
expect "status 599 is the target's answer" is_passed_on "$(shaped HTTP/1.1%20599 Content-Length:4 body stamp POST)" "HTTP/1.1 599 "

# A blank, a control byte or a byte beyond ASCII in the name of a field, at its start, inside and before the colon.
for byte in %20 %09 %00 %01 %0B %0C %1F %7F %80 %FF; do
    for name in Content-Length X-Other; do
        for line in "$byte$name:4" "${name:0:1}$byte${name:1}:4" "$name$byte:4"; do
            refused "name $line" HTTP/1.1%20200 "$line" body
        done
    done
done
refused "a second line that begins with a blank" HTTP/1.1%20200 "Content-Length:4%0D%0A%20:X-Other" body
refused "a folded line that frames the body" HTTP/1.1%20200 "X-Other:1%0D%0A%09Transfer-Encoding:chunked" "4%0D%0Abody%0D%0A0%0D%0A%0D%0A"
refused "a folded line before others" HTTP/1.1%20200 "%20x%0D%0AX-Other:1%0D%0AContent-Length:4" body
refused "a folded line in an interim answer" "HTTP/1.1%20103%20Early%0D%0AX-Other:1%0D%0A%20x%0D%0A%0D%0AHTTP/1.1%20200" Content-Length:4 body
refused "a line before the first field that begins with a blank" "HTTP/1.1%20200%20OK%0D%0A%20X-Other:1%0D%0AX:" Content-Length:4 body
refused "a name without a colon" HTTP/1.1%20200 "X-Other%0D%0AContent-Length:4" body
refused "an empty name" HTTP/1.1%20200 ":4%0D%0AContent-Length:4" body
refused "a line that ends in LF alone" HTTP/1.1%20200 "X-Other:4%0AContent-Length:4" body
refused "a line that ends in CR alone" HTTP/1.1%20200 "X-Other:4%0DContent-Length:4" body
for byte in %00 %01 %7F; do
    refused "value with $byte" HTTP/1.1%20200 "X-Other:a${byte}b%0D%0AContent-Length:4" body
done

# Codings that the host cannot decode, or that leave open where the body ends.
chunks='4%0D%0Abody%0D%0A0%0D%0A%0D%0A'
for codings in gzip identity "" xchunked chunked%3Ba=b chunked,gzip chunked,chunked gzip,chunked chunked%0D%0ATransfer-Encoding:chunked \
    gzip%0D%0ATransfer-Encoding:chunked chunked%0D%0ATransfer-Encoding:gzip gzip%0D%0AContent-Length:19 chunked%0D%0AContent-Length:19; do
    refused "transfer coding '$codings'" HTTP/1.1%20200 "Transfer-Encoding:$codings" "$chunks"
done
refused "a length and a transfer coding" HTTP/1.1%20200 "Content-Length:19%0D%0ATransfer-Encoding:gzip" "$chunks"
refused "a transfer coding in HTTP/1.0" HTTP/1.0%20200 Transfer-Encoding:chunked "$chunks"
refused "a transfer coding in HTTP/1.0, with status 204" HTTP/1.0%20204 Transfer-Encoding:chunked ""
refused "an interim answer with an unknown transfer coding" "HTTP/1.1%20103%20Early%0D%0ATransfer-Encoding:gzip%0D%0A%0D%0AHTTP/1.1%20200" Content-Length:4 body
expect "an answer in chunks is passed on" is_passed_on "$(shaped HTTP/1.1%20200 Transfer-Encoding:%20Chunked%20 "$chunks")" $'4\r\nbody\r\n0\r\n'
expect "an answer in HTTP/1.0 is passed on" is_passed_on "$(shaped HTTP/1.0%20200 Content-Length:4 body)" $'\r\n\r\nbody'

# Lengths that agree frame the body, but only one may be passed on (RFC 9110, 8.6).
for lengths in 4,4 4%0D%0AContent-Length:4 004 "4,%204"; do
    for method in GET HEAD; do
        answer=$(shaped HTTP/1.1%20200 "Content-Length:$lengths" "$([ $method = GET ] && echo body)" view $method)
        expect "$method: lengths '$lengths' are passed on as one" equal "$(grep -ai '^content-length' <<<"$answer")" $'Content-Length: 4\r'
    done
done
for lengths in 4,5 4%0D%0AContent-Length:5 4, %2B4 -4 0x4 "4%204" "" 18446744073709551616; do
    refused "length '$lengths'" HTTP/1.1%20200 "Content-Length:$lengths" body
done

# Answers that have no body, whatever their head says: no bytes follow their head.
for shape in "HEAD HTTP/1.1%20200" "GET HTTP/1.1%20204" "POST HTTP/1.1%20204" "GET HTTP/1.1%20304"; do
    read -r method start <<<"$shape"
    path=$([ "$method" = POST ] && echo stamp || echo view)
    for line in Transfer-Encoding:chunked Content-Length:4 ""; do
        answer=$(shaped "$start" "$line" "" "$path" "$method")
        expect "$shape with '$line' ends with its head" equal "${answer#*$'\r\n\r\n'}" "$answer"
        expect "$shape with '$line' has no transfer coding" equal "$(grep -ai '^transfer-encoding' <<<"$answer")" ""
    done
done
expect "an answer without content has no length" equal "$(shaped HTTP/1.1%20204 Content-Length:4 "" | grep -ai '^content-length')" ""
expect "the answer to HEAD keeps its length" contains "$(shaped HTTP/1.1%20200 Content-Length:4 "" view HEAD)" $'\r\nContent-Length: 4\r\n'

# HTTP/1.0 knows no chunks.
answer=$(ask_1_0 "/view/a?fault=shaped&line=Transfer-Encoding:chunked&body=$chunks")
expect "a body in chunks reaches a caller of HTTP/1.0 without them" equal "${answer#*$'\r\n\r\n'}" body
expect "its end is the end of the connection" contains "$answer" $'\r\nConnection: close\r\n'
expect "it has no transfer coding" equal "$(grep -ai '^transfer-encoding' <<<"$answer")" ""
answer=$(ask_1_0 "/view/a?fault=shaped&line=Transfer-Encoding:chunked&body=fffff%0D%0A&bytes=200000" 2>&1 | tail -c 100)
expect "one that ends early does not look complete" contains "$answer" reset

# Fields behind a body in chunks belong to the body, not to the head (RFC 9110, 6.5.1).
answer=$(shaped HTTP/1.1%20200 Transfer-Encoding:chunked "4%0D%0Abody%0D%0A0%0D%0AX-Response-Seal:t%0D%0AX-Other:1%0D%0A%20X:2%0D%0A%0D%0A")
expect "the head is the target's" equal "$(grep -ai '^x-response-seal\|^x-other' <<<"$answer")" $'X-Response-Seal: s\r'
expect "the body in front of trailers is passed on" contains "$answer" $'\r\n\r\n4\r\nbody\r\n0\r\n'

expect "a target is ejected" wait_until 20 ejected
sleep 6 # Several rounds of probes.
expect "no probe with status 000 counts" equal "$(grep -c 'event=readmit_target.*target:i-2' "$work/entry-1.out")" 0
finish
