#!/usr/bin/env bash
# Targets that name the requests a second that they take from all hosts together: the sum over three entry hosts
# stays within it, callers are served by the other target while it has room, what fits nowhere is refused at
# once, and all traffic returns when the limit is lifted.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/checks.sh"
. "$here/registry_hosts.sh"

limit=2
allowed_in_4s=$((6 * limit + 5)) # One and a half times the limit, and five requests.
registry_seeds="127.0.1.1:7001, 127.0.1.2:7001"
south_region=north

stat_of() { http_get "127.1.1.$1:9000" /stats | awk -v w="$2" '$1 == w {print $2}'; } # target name
touch "$work/refused.txt"
state() { http_get "127.1.1.$1:9000" "/state?$2" >/dev/null; } # target parameters
callers() { # seconds rate: prints the report
    "$build/unit_tests/fakes/fake_caller" --registry --service a.example --seeds 127.0.1.1:7002,127.0.1.2:7002,127.0.1.3:7002 \
        --seconds "$1" --rate "$2" --path "/x/a?ms=5" --refused "$work/refused.txt"
}

start registry "$build/unit_tests/fakes/fake_registry" --listen "$registry"
for n in 1 2; do
    start "target-$n" "$build/unit_tests/fakes/fake_target" --listen "127.1.1.$n:9000" --id "i-$n" --slots 50
done
for n in 1 2 3; do start_registry_host "$n" north-a "$registry"; done
wait_until 5 store PUT servers/forged '{"service":5}' || exit 1
for n in 1 2; do
    store PUT "servers/i-$n" "{\"service\":\"s\",\"address\":\"127.1.1.$n:9000\",\"zone\":\"north-a\",\"version\":\"v1\",\"slots\":50,\"state\":\"ready\",\"cold_left_s\":0,\"sequence\":1,\"born\":5}"
done
store PUT config/main '{"version":"00000002","routes":[{"name":"r","host":"a.example","path_prefix":"/x/","kind":"idempotent","timeout_s":2,"target_latency_s":0.5,"priority":2,"service":"s","max_attempts":2,"sticky":true,"home_regions":[]}],"services":[{"name":"s","health_path":"/healthz","max_conns":200,"protocol":"h1","tls":false,"warmup_s":0,"cold_per_s":1000}],"limits":{"max_header_bytes":16384,"max_body_bytes":1000000,"header_timeout_s":3,"idle_timeout_s":15}}'
for n in 1 2 3; do expect "entry-$n becomes ready" wait_until 10 ready "$n"; done
callers 1 30 >"$work/warm.txt"

state 1 "limit=$limit"
callers 11 40 >"$work/one.txt"
expect "the sum over all hosts stays within the limit" at_most "$(stat_of 1 most_in_4s)" "$allowed_in_4s"
expect "the limited target is still used" at_most 5 "$(stat_of 1 arrivals)"
expect "no request is lost while the other target has room" equal "$(awk '/^lost/{print $NF}' "$work/one.txt")" 0

state 2 "limit=$limit"
callers 10 40 >"$work/both.txt"
expect "the sum stays within the limit of each target" at_most \
    "$({ stat_of 1 most_in_4s; stat_of 2 most_in_4s; } | sort -n | tail -1)" "$allowed_in_4s"
expect "some requests are refused" at_most 1 "$(wc -l <"$work/refused.txt")"
refused_at_once() { # a refusal with Retry-After within 500 ms
    local answer start
    for n in 1 2 3 4 5 6 7 8 9 10 11 12; do
        start=$(date +%s%3N)
        answer=$(printf 'GET /x/a HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: at-once-%s\r\nX-Deadline-Ms: 2000\r\nConnection: close\r\n\r\n' "$n" | raw 127.0.1.1:7000 3)
        case $answer in
        *" 503 "*"Retry-After"*) at_most $(($(date +%s%3N) - start)) 500; return ;;
        esac
    done
    return 1
}
expect "what fits nowhere is refused at once with Retry-After" refused_at_once

state 1 "limit=-"
state 2 "limit=-"
sleep 4
callers 6 40 >"$work/lifted-1.txt"
callers 3 40 >"$work/lifted.txt"
expect "after the limits are lifted no request is lost" equal "$(awk '/^lost/{print $NF}' "$work/lifted.txt")" 0
expect "after the limits are lifted none is refused" equal "$(grep -c refused "$work/lifted.txt")" 0
finish
