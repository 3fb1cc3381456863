#!/usr/bin/env bash
# Requests that arrive on many kept connections while the entry host is paused and their idle timeouts pass:
# each is answered.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/checks.sh"
. "$here/registry_hosts.sh"

connections=300 # More than one call to epoll_wait reports.
request=$'GET /x/a HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: id\r\nX-Deadline-Ms: 5000\r\n\r\n'

start registry "$build/unit_tests/fakes/fake_registry" --listen "$registry"
start target-1 "$build/unit_tests/fakes/fake_target" --listen 127.1.1.1:9000 --id i-1 --slots 1000
start_registry_host 1 north-a "$registry"
wait_until 5 store PUT servers/i-1 '{"service":"s","address":"127.1.1.1:9000","zone":"north-a","version":"v1","slots":1000,"state":"ready","cold_left_s":0,"sequence":1,"born":5}' || exit 1
store PUT config/main '{"version":"00000002","routes":[{"name":"r","host":"a.example","path_prefix":"/x/","kind":"idempotent","timeout_s":5,"target_latency_s":0.5,"priority":2,"service":"s","max_attempts":1,"sticky":false,"home_regions":[]}],"services":[{"name":"s","health_path":"/healthz","max_conns":2000,"protocol":"h1","tls":false,"warmup_s":1,"cold_per_s":1000}],"limits":{"max_header_bytes":16384,"max_body_bytes":1000000,"header_timeout_s":3,"idle_timeout_s":2}}'
served() { contains "$(printf '%s' "${request/X-Dead/Connection: close$'\r\n'X-Dead}" | raw 127.0.1.1:7000 3)" "200 OK"; }
expect "a request is served" wait_until 10 served

read_answers() { # seconds: reads one answer from each connection, prints how many came
    local fd line count=0
    for fd in "${fds[@]}"; do
        if IFS= read -r -t "$1" -u "$fd" line && [[ $line == *"200 OK"* ]]; then
            count=$((count + 1))
            while IFS= read -r -t "$1" -u "$fd" line && [ "$line" != $'\r' ]; do :; done
            IFS= read -r -t "$1" -N 100 -u "$fd" line
        fi
    done
    echo "$count"
}

fds=()
for ((n = 0; n < connections; ++n)); do
    exec {fd}<>/dev/tcp/127.0.1.1/7000 || exit 1
    fds+=("$fd")
    printf '%s' "$request" >&"$fd"
done
read_answers 3 >"$work/first.txt"
expect "the first request of each connection is answered" equal "$(cat "$work/first.txt")" "$connections"
kill -STOP "$(pid_of entry-1)"
sleep 2.2
for fd in "${fds[@]}"; do printf '%s' "$request" >&"$fd"; done
kill -CONT "$(pid_of entry-1)"
read_answers 3 >"$work/second.txt"
expect "the requests that came during the pause are answered" equal "$(cat "$work/second.txt")" "$connections"
finish
