#!/usr/bin/env bash
# Targets send endless answers until the entry host closes the connection: in a status line, a header,
# a list of headers, interim answers, chunk extensions and sizes, trailers, a body without a length,
# after a complete answer, and as NULs. Each request ends in time, memory stays bounded with 100 of them
# at once, and the host keeps serving.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/checks.sh"
. "$here/registry_hosts.sh"

memory_limit_kb=131072 # Memory limit of the daemon on a host.
timeout_s=2            # Timeout of the route.

ask() { # path [method]: one request, prints what comes back within the route's timeout plus 1 s
    printf '%s %s HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: id-%s\r\nX-Deadline-Ms: 2000\r\nConnection: close\r\n\r\n' \
        "${2:-GET}" "$1" "$RANDOM" | raw 127.0.1.1:7000 $((timeout_s + 1))
}
served() { contains "$(ask /x/a)" "200 OK"; }
peak_kb() { awk '/^VmHWM/{print $2}' "/proc/$(cat "$work/entry-1.pid" 2>/dev/null || pgrep -f "$work/entry-1.ini")/status"; }
ends_in_time() { # shape: the host ends the connection in time, without passing on a malformed answer
    local start answer
    start=$(date +%s%N)
    answer=$(ask "/x/a?endless=$1" | head -c 100000 | tr -d '\0')
    local took=$((($(date +%s%N) - start) / 1000000))
    [ "$took" -lt $((timeout_s * 1000 + 700)) ] || { say "  $1 took $took ms"; return 1; }
    case "$1" in
    body) return 0 ;; # Forwarded until the deadline, then cut off.
    extra) contains "$answer" "200 OK" ;;
    *) case "$answer" in *" 502 "* | *" 504 "* | "") return 0 ;; *) say "  $answer"; return 1 ;; esac ;;
    esac
}

start registry "$build/unit_tests/fakes/fake_registry" --listen "$registry"
start target-1 "$build/unit_tests/fakes/fake_target" --listen 127.1.1.1:9000 --id i-1 --slots 200
start_registry_host 1 north-a "$registry"
wait_until 5 store PUT servers/i-1 '{"service":"s","address":"127.1.1.1:9000","zone":"north-a","version":"v1","slots":200,"state":"ready","cold_left_s":0,"sequence":1,"born":5}' || exit 1
store PUT config/main "{\"version\":\"00000002\",\"routes\":[{\"name\":\"r\",\"host\":\"a.example\",\"path_prefix\":\"/x/\",\"kind\":\"idempotent\",\"timeout_s\":$timeout_s,\"target_latency_s\":0.5,\"priority\":2,\"service\":\"s\",\"max_attempts\":1,\"sticky\":false,\"home_regions\":[]}],\"services\":[{\"name\":\"s\",\"health_path\":\"/healthz\",\"max_conns\":400,\"protocol\":\"h1\",\"tls\":false,\"warmup_s\":1,\"cold_per_s\":1000}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":1000000,\"header_timeout_s\":3,\"idle_timeout_s\":15}}"
expect "a request is served" wait_until 10 served

shapes="status header headers interim extension chunksize trailers body extra nul"
for shape in $shapes; do
    expect "endless $shape ends in time" ends_in_time "$shape"
    expect "the host serves after endless $shape" wait_until 5 served
done
running=()
for n in 1 2 3 4 5 6 7 8 9 10; do
    for shape in $shapes; do
        ask "/x/$n?endless=$shape" >/dev/null &
        running+=($!)
    done
done
wait "${running[@]}"
expect "memory stays bounded with 100 of them at once" at_most "$(peak_kb)" "$memory_limit_kb"
expect "the host serves after them" wait_until 10 served
finish
