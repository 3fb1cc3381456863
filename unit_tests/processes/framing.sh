#!/usr/bin/env bash
# Requests whose framing is ambiguous, hidden by Connection, or unread after a local answer. Guards against
# a target that runs a request inside the body of another one.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/checks.sh"
. "$here/registry_hosts.sh"

inner=$'POST /x/inner HTTP/1.1\r\nHost: a.example\r\nIdempotency-Key: inner\r\nX-Request-Id: inner\r\nX-Expect-Instance: i-1\r\nContent-Length: 0\r\n\r\n'
by_length="Content-Length: ${#inner}"
as_chunk=$(printf '%x' ${#inner})$'\r\n'"$inner"$'\r\n0\r\n\r\n'
ran_outer=0

send() { # path body header...: one request and its body on a connection of its own; prints the answers
    local path=$1 body=$2 headers=$'Host: a.example\r\nX-Request-Id: outer\r\n'
    shift 2
    for h in "$@"; do headers+=$h$'\r\n'; done
    { printf '%s %s HTTP/1.1\r\n%s\r\n%s' "${method:-POST}" "$path" "$headers" "$body"; } | raw "127.0.1.1:${port:-7000}" 1 | tr -d '\0'
}
runs() { http_get 127.1.1.1:9000 /stats | awk '/^runs /{print $2}'; }
shape() { # what status expected-runs path body header...
    local what=$1 status=$2 expected=$3 before answer
    shift 3
    before=$(runs)
    answer=$(send "$@")
    expect "$what: answered $status" contains "$answer" "HTTP/1.1 $status "
    expect "$what: one answer" equal "$(grep -c '^HTTP/1.1 ' <<<"$answer")" 1
    expect "$what: runs" equal $(($(runs) - before)) "$expected"
}
served() { contains "$(send /x/a "" "Content-Length: 0" "Connection: close")" "200 OK"; }

start registry "$build/unit_tests/fakes/fake_registry" --listen "$registry"
start target-1 "$build/unit_tests/fakes/fake_target" --listen 127.1.1.1:9000 --id i-1 --slots 20
start_registry_host 1 north-a "$registry"
wait_until 5 store PUT servers/i-1 '{"service":"s","address":"127.1.1.1:9000","zone":"north-a","version":"v1","slots":20,"state":"ready","cold_left_s":0,"sequence":1,"born":5}' || exit 1
store PUT config/main '{"version":"00000002","routes":[{"name":"r","host":"a.example","path_prefix":"/x/","kind":"non_idempotent","timeout_s":2,"target_latency_s":0.5,"priority":2,"service":"s","max_attempts":1,"sticky":false,"home_regions":[]}],"services":[{"name":"s","health_path":"/healthz","max_conns":400,"protocol":"h1","tls":false,"warmup_s":0,"cold_per_s":1000}],"limits":{"max_header_bytes":16384,"max_body_bytes":1000000,"header_timeout_s":3,"idle_timeout_s":15}}'
expect "a request is served" wait_until 10 served

shape "length" 200 1 /x/a "$inner" "$by_length"
shape "chunks" 200 1 /x/a "$as_chunk" "Transfer-Encoding: chunked"
shape "length named in Connection" 200 1 /x/a "$inner" "$by_length" "Connection: Content-Length"
shape "length named in small letters" 200 1 /x/a "$inner" "$by_length" "connection: keep-alive, content-length"
shape "length named in a second Connection" 200 1 /x/a "$inner" "$by_length" "Connection: keep-alive" "Connection: Content-Length"
shape "chunks named in Connection" 200 1 /x/a "$as_chunk" "Transfer-Encoding: chunked" "Connection: Transfer-Encoding"
shape "host named in Connection" 200 1 /x/a "" "Content-Length: 0" "Connection: Host"
shape "id named in Connection" 200 1 /x/a "" "Content-Length: 0" "Connection: X-Request-Id"
port=7002 method=GET shape "body of a look-up" 200 0 "/-/resolve?name=a.example" "$inner" "$by_length"
port=7002 method=GET shape "chunks of a look-up" 200 0 "/-/resolve?name=a.example" "$as_chunk" "Transfer-Encoding: chunked"
port=7002 shape "body of a refused look-up" 405 0 "/-/resolve?name=a.example" "$inner" "$by_length"
port=7002 shape "body of a request where nothing is routed" 404 0 /x/a "$inner" "$by_length"
port=7003 method=GET shape "body of a readiness probe" 200 0 /-/ready "$inner" "$by_length"
port=7003 shape "chunks of a refused readiness probe" 405 0 /-/ready "$as_chunk" "Transfer-Encoding: chunked"
shape "body of a path that other addresses serve" 404 0 /-/ready "$inner" "$by_length"
shape "body of an unknown route" 404 0 /none "$inner" "$by_length"
shape "unknown transfer coding" 501 0 /x/a "$as_chunk" "Transfer-Encoding: gzip, chunked"
shape "unknown transfer coding in a line of its own" 501 0 /x/a "$as_chunk" "Transfer-Encoding: gzip" "Transfer-Encoding: chunked"
shape "last transfer coding is not chunked" 400 0 /x/a "$inner" "Transfer-Encoding: chunked, gzip"
shape "identity" 400 0 /x/a "$inner" "Transfer-Encoding: identity"
shape "chunked twice" 400 0 /x/a "$as_chunk" "Transfer-Encoding: chunked, chunked"
shape "length and chunks" 400 0 /x/a "$as_chunk" "$by_length" "Transfer-Encoding: chunked"
shape "two lengths" 400 0 /x/a "$inner" "Content-Length: 0" "$by_length"
shape "the same length twice" 400 0 /x/a "$inner" "$by_length" "$by_length"
shape "two hosts" 400 0 /x/a "" "Host: b.example" "Content-Length: 0"
expect "no request inside a body ran" equal "$(http_get 127.1.1.1:9000 /keys | grep -c inner)" 0
expect "the host still serves" wait_until 5 served
finish
