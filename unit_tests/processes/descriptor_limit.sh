#!/usr/bin/env bash
# Callers hold as many connections as a host has file descriptors for, fewer than its settings allow. Guards against
# readiness checks and look-ups that nobody accepts then, so that the host counts as dead, and against callers that wait
# for a host that has no descriptor left, either for them or for a connection to a target.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/checks.sh"
. "$here/registry_hosts.sh"

descriptors=160
route='{"name":"view","host":"a.example","path_prefix":"/view/","kind":"idempotent","timeout_s":2,"target_latency_s":0.5,"priority":2,"service":"s","max_attempts":2,"sticky":false,"home_regions":[]}'
ask() { # port path
    printf 'GET %s HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: id-%s\r\nX-Deadline-Ms: 2000\r\nConnection: close\r\n\r\n' \
        "$2" "$RANDOM" | raw "127.0.1.1:$1" 3 | tr -d '\0'
}
served() { contains "$(ask 7000 /view/a)" "200 OK"; }
answers() { contains "$(ask "$1" "$2")" "HTTP/1.1 $3 "; } # port path status
open_descriptors() { find "/proc/$(pid_of entry-1)/fd" -mindepth 1 | wc -l; }

start registry "$build/unit_tests/fakes/fake_registry" --listen "$registry"
start target-1 "$build/unit_tests/fakes/fake_target" --listen 127.1.1.1:9000 --id i-1 --slots 50
allowed=$(ulimit -S -n)
ulimit -S -n "$descriptors"
registry_threads=1 registry_seeds=127.0.1.1:7001 start_registry_host 1 north-a "$registry"
ulimit -S -n "$allowed"
wait_until 5 store PUT servers/i-1 '{"service":"s","address":"127.1.1.1:9000","zone":"north-a","version":"v1","slots":50,"state":"ready","cold_left_s":0,"sequence":1,"born":5}' || exit 1
store PUT config/main "{\"version\":\"00000002\",\"routes\":[$route],\"services\":[{\"name\":\"s\",\"health_path\":\"/healthz\",\"max_conns\":200,\"warmup_s\":0,\"cold_per_s\":1000}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":1000000,\"header_timeout_s\":3,\"idle_timeout_s\":30}}"
expect "a request is served" wait_until 10 served

for ((fd = 20; fd < 20 + 2 * descriptors; fd++)); do eval "exec $fd<>/dev/tcp/127.0.1.1/7000"; done 2>/dev/null
sleep 0.5
say "the host has $(open_descriptors) of $descriptors descriptors open"
for n in 1 2 3; do
    expect "readiness check $n is answered" answers 7003 /-/ready 200
    expect "look-up $n is answered" answers 7002 "/-/resolve?name=a.example&region=north&zone=north-a" 200
done
expect "a further caller is told that its request has not run" answers 7000 /view/a 503
for fd in 20 21 22; do
    printf 'GET /view/%s HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: held-%s\r\nX-Deadline-Ms: 2000\r\nConnection: close\r\n\r\n' "$fd" "$fd" >&"$fd"
    expect "a request on an open connection is served" contains "$(timeout 3 cat <&"$fd" | tr -d '\0')" "200 OK"
done
for ((fd = 20; fd < 20 + 2 * descriptors; fd++)); do eval "exec $fd<&-"; done 2>/dev/null
expect "further callers are served once others have left" wait_until 5 served
finish
