#!/usr/bin/env bash
# Callers send endless requests, at full speed or slowly, until the entry host closes the connection:
# in a request line, a header, a list of headers, chunk extensions and sizes, trailers, bodies, after a
# complete request, and as NULs. Each connection ends in time, no request of it stays in flight at a
# target, memory stays bounded with 120 of them at once, and the host keeps serving others.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/checks.sh"
. "$here/registry_hosts.sh"

memory_limit_kb=131072 # Memory limit of the daemon on a host.
timeout_s=2            # Timeout of the route.
header_timeout_s=3
longest_s=$((header_timeout_s + 2))

chunked='POST /x/a HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: id-1\r\nTransfer-Encoding: chunked\r\n\r\n'
sized='POST /x/a HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: id-1\r\nContent-Length: '
plain='GET /x/a HTTP/1.1\r\nHost: a.example\r\n'
declare -A begin repeated
begin[line]='GET /' repeated[line]='very-long'
begin[header]="${plain}X-Long: " repeated[header]='value'
begin[headers]="$plain" repeated[headers]='X-More: value\r\n'
begin[extension]="${chunked}1" repeated[extension]=';name=value'
begin[chunksize]="$chunked" repeated[chunksize]='f'
begin[trailers]="${chunked}0\r\n" repeated[trailers]='X-More: value\r\n'
begin[chunks]="$chunked" repeated[chunks]='8\r\n12345678\r\n'
begin[body]="${sized}99999999999\r\n\r\n" repeated[body]='body'
begin[sized]="${sized}900000\r\n\r\n" repeated[sized]='body'
begin[stalled]="${begin[sized]}$(head -c 70000 /dev/zero | tr '\0' x)" repeated[stalled]='body'
begin[behind]="${plain}X-Request-Id: id-1\r\n\r\n" repeated[behind]='bytes'
begin[nul]='' repeated[nul]='\0'
shapes="line header headers extension chunksize trailers chunks body sized stalled behind nul"

repeat() { # text pause: prints the text repeatedly until the reader closes
    while printf "$1"; do [ "$2" = 0 ] || sleep "$2"; done 2>/dev/null
}
flood() { # shape: sends as fast as the host reads
    local text=
    while [ ${#text} -lt 4000 ]; do text="$text${repeated[$1]}"; done
    repeat "$text" 0
}
drip() { repeat "${repeated[$1]}" 0.1; } # shape: sends a few bytes every 0.1 s
send() { # flood|drip shape: fails if the host does not close the connection in time
    (
        trap '' PIPE
        exec 7<>/dev/tcp/127.0.1.1/7000 || exit 1
        printf "${begin[$2]}" >&7
        export -f repeat flood drip
        timeout "$longest_s" bash -c "$(declare -p repeated); $1 $2" >&7 2>/dev/null
        [ $? -ne 124 ]
    )
}
ends_in_time() { send "$1" "$2" || { say "  still open after $longest_s s"; return 1; }; }

ask() { printf 'GET /x/b HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: id-%s\r\nConnection: close\r\n\r\n' "$RANDOM" | raw 127.0.1.1:7000 3; }
served() { contains "$(ask)" "200 OK"; }
peak_kb() { awk '/^VmHWM/{print $2}' "/proc/$(pid_of entry-1)/status"; }
in_flight() { http_get 127.1.1.1:9000 /stats | awk '/^in_flight /{print $2}'; }
nothing_runs() { equal "$(in_flight)" 0 >/dev/null; }

start registry "$build/unit_tests/fakes/fake_registry" --listen "$registry"
start target-1 "$build/unit_tests/fakes/fake_target" --listen 127.1.1.1:9000 --id i-1 --slots 200
start_registry_host 1 north-a "$registry"
wait_until 5 store PUT servers/i-1 '{"service":"s","address":"127.1.1.1:9000","zone":"north-a","version":"v1","slots":200,"state":"ready","cold_left_s":0,"sequence":1,"born":5}' || exit 1
store PUT config/main "{\"version\":\"00000002\",\"routes\":[{\"name\":\"r\",\"host\":\"a.example\",\"path_prefix\":\"/x/\",\"kind\":\"idempotent\",\"timeout_s\":$timeout_s,\"target_latency_s\":0.5,\"priority\":2,\"service\":\"s\",\"max_attempts\":1,\"sticky\":false,\"home_regions\":[]}],\"services\":[{\"name\":\"s\",\"health_path\":\"/healthz\",\"max_conns\":400,\"protocol\":\"h1\",\"tls\":false,\"warmup_s\":1,\"cold_per_s\":1000}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":1000000,\"header_timeout_s\":$header_timeout_s,\"idle_timeout_s\":4}}"
expect "a request is served" wait_until 10 served

for shape in $shapes; do
    expect "endless $shape ends in time" ends_in_time flood "$shape"
    expect "slow endless $shape ends in time" ends_in_time drip "$shape"
    expect "the host serves after endless $shape" wait_until 5 served
done
running=()
for n in 1 2 3 4 5; do
    for shape in $shapes; do
        send flood "$shape" &
        running+=($!)
        send drip "$shape" &
        running+=($!)
    done
done
wait "${running[@]}"
expect "memory stays bounded with 120 of them at once" at_most "$(peak_kb)" "$memory_limit_kb"
expect "none of them stays in flight at the target" wait_until 5 nothing_runs
expect "the host serves after them" wait_until 10 served
finish
