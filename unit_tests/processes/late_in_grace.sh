#!/usr/bin/env bash
# Requests that reach a stopping host so late that it would be killed before their responses: they are refused at
# once and do not run; those that can end in time are served.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/checks.sh"
. "$here/registry_hosts.sh"

work_ms=2500
grace_s=4 # As in the hosts' settings.
post() { # id
    printf 'POST /stamp/a?ms=%s HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 9000\r\nContent-Length: 0\r\nConnection: close\r\n\r\n' "$work_ms" "$1" |
        raw 127.0.1.1:7000 9
}
runs() { http_get 127.1.1.1:9000 /stats | awk '/^runs /{print $2}'; }
served() { contains "$(post "warm-$RANDOM")" "200 OK"; }

start registry "$build/unit_tests/fakes/fake_registry" --listen "$registry"
start target-1 "$build/unit_tests/fakes/fake_target" --listen 127.1.1.1:9000 --id i-1 --slots 50
registry_seeds=127.0.1.1:7001 start_registry_host 1 north-a "$registry"
wait_until 5 store PUT servers/i-1 '{"service":"s","address":"127.1.1.1:9000","zone":"north-a","version":"v1","slots":50,"state":"ready","cold_left_s":0,"sequence":1,"born":5}' || exit 1
store PUT config/main '{"version":"00000002","routes":[{"name":"r","host":"a.example","path_prefix":"/stamp/","kind":"non_idempotent","timeout_s":9,"target_latency_s":5,"priority":2,"service":"s","max_attempts":2,"sticky":false,"home_regions":[]}],"services":[{"name":"s","health_path":"/healthz","max_conns":200,"warmup_s":0,"cold_per_s":1000}],"limits":{"max_header_bytes":16384,"max_body_bytes":1000000,"header_timeout_s":3,"idle_timeout_s":15}}'
expect "a request is served" wait_until 20 served

pid=$(pid_of entry-1)
kill -TERM "$pid"
(sleep "$grace_s"; kill -KILL "$pid" 2>/dev/null) &
sleep 0.2
post early >"$work/early.txt" &
early=$!
sleep 1.4
before=$(runs)
late=$(post late)
expect "a request that would outlast the host is refused" contains "$late" " 503 "
expect "its refusal says when to come back" contains "$late" "Retry-After"
wait "$early"
expect "a request that ends in time is served" contains "$(cat "$work/early.txt")" "200 OK"
sleep 1
expect "the refused request did not run" equal "$(runs)" "$before"
finish
