#!/usr/bin/env bash
# A route covers the paths of look-ups and readiness checks, as for an application with a host name of its own. Guards
# against a host that answers requests of callers itself because of their path: the caller takes its work for done and
# no target has run it. Also while the host starts and stops, and the other way round for look-ups and readiness checks.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/checks.sh"
. "$here/registry_hosts.sh"

ask() { # port method path: one request on a connection of its own; prints the answer
    printf '%s %s HTTP/1.1\r\nHost: app.example\r\nX-Request-Id: id-%s\r\nX-Deadline-Ms: 2000\r\nContent-Length: 0\r\nConnection: close\r\n\r\n' \
        "$2" "$3" "$RANDOM" | raw "127.0.1.1:$1" 3 | tr -d '\0'
}
answers() { contains "$(ask "$1" "$2" "$3")" "HTTP/1.1 $4 "; } # port method path status
runs() { http_get 127.1.1.1:9000 /stats | awk '/^runs /{print $2}'; }
from_target() { # answer count: that many complete answers, each sealed by the target
    equal "$(grep -o 'HTTP/1.1 200 OK' <<<"$1" | wc -l) $(grep -c '^X-Response-Seal' <<<"$1")" "$2 $2"
}
routed() { # method path: answered by the target, which ran it once
    local before
    before=$(runs)
    from_target "$(ask 7000 "$1" "$2")" 1 && equal $(($(runs) - before)) 1
}
not_allowed() { # port method path
    local answer
    answer=$(ask "$1" "$2" "$3")
    contains "$answer" "HTTP/1.1 405 " && contains "$answer" "Allow: GET"
}
route() { # name prefix kind
    printf '{"name":"%s","host":"app.example","path_prefix":"%s","kind":"%s","timeout_s":2,"target_latency_s":0.5,"priority":2,"service":"s","max_attempts":2,"sticky":false,"home_regions":[]}' "$@"
}
manifest() { # version routes
    store PUT config/main "{\"version\":\"$1\",\"routes\":[$2],\"services\":[{\"name\":\"s\",\"health_path\":\"/healthz\",\"max_conns\":200,\"warmup_s\":0,\"cold_per_s\":1000}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":1000000,\"header_timeout_s\":3,\"idle_timeout_s\":15}}"
}
lookup="/-/resolve?name=app.example&region=north&zone=north-a"

start registry "$build/unit_tests/fakes/fake_registry" --listen "$registry"
start target-1 "$build/unit_tests/fakes/fake_target" --listen 127.1.1.1:9000 --id i-1 --slots 20
registry_seeds=127.0.1.1:7001 start_registry_host 1 north-a "$registry"
wait_until 5 store PUT servers/i-1 '{"service":"s","address":"127.1.1.1:9000","zone":"north-a","version":"v1","slots":20,"state":"ready","cold_left_s":0,"sequence":1,"born":5}' || exit 1

wait_until 5 answers 7000 GET /other 503 || { say "the host does not answer"; exit 1; }
for path in /-/ready "$lookup"; do
    expect "without a configuration, a caller's POST $path is refused" answers 7000 POST "$path" 503
done
expect "without a configuration, a look-up is refused" answers 7002 GET "$lookup" 503
expect "without a configuration, the host is not ready" answers 7003 GET /-/ready 503
expect "a readiness check has its method from the start" not_allowed 7003 POST /-/ready

manifest 00000002 "$(route view /view/ idempotent)"
expect "the host becomes ready" wait_until 10 ready 1
for path in /-/ready "$lookup"; do
    expect "without a route, a caller's GET $path is unknown" answers 7000 GET "$path" 404
done
manifest 00000004 "$(route view /view/ idempotent),$(route app / non_idempotent)"
expect "the route over all paths is in force" wait_until 5 answers 7000 GET /other 200

for method in POST GET PUT DELETE OPTIONS; do
    for path in /-/ready "/-/ready?batch=17" "$lookup"; do
        expect "a caller's $method $path is routed" routed "$method" "$path"
    done
done
before=$(runs)
answer=$(printf 'POST /-/ready HTTP/1.1\r\nHost: app.example\r\nX-Request-Id: p-1\r\nContent-Length: 2\r\n\r\n17POST /-/resolve HTTP/1.1\r\nHost: app.example\r\nX-Request-Id: p-2\r\nContent-Length: 0\r\nConnection: close\r\n\r\n' |
    raw 127.0.1.1:7000 3 | tr -d '\0')
expect "requests in series on a connection are routed" from_target "$answer" 2
expect "each of them ran once" equal $(($(runs) - before)) 2

before=$(runs)
expect "a look-up is answered at its own address" contains "$(ask 7002 GET "$lookup")" '"127.0.1.1:7000"'
expect "a readiness check is answered at its own address" answers 7003 GET /-/ready 200
for method in POST PUT DELETE OPTIONS; do
    expect "$method is no look-up" not_allowed 7002 "$method" "$lookup"
    expect "$method is no readiness check" not_allowed 7003 "$method" /-/ready
done
for path in /-/ready /view/a /other /; do expect "the address of look-ups serves no $path" answers 7002 POST "$path" 404; done
for path in "$lookup" /view/a /other /; do expect "the address of readiness checks serves no $path" answers 7003 GET "$path" 404; done
expect "nothing was forwarded from there" equal "$(runs)" "$before"

registry_seeds=127.0.1.1:7001 start_registry_host 2 north-a "$registry"
names_second() { contains "$(ask 7002 GET "$lookup")" '"127.0.1.2:7000"'; }
expect "a second host joins" wait_until 10 names_second
takes_callers() { (exec 22<>/dev/tcp/127.0.1.1/7000) 2>/dev/null; }
takes_no_callers() { ! takes_callers; }
exec 20<>/dev/tcp/127.0.1.1/7000 21<>/dev/tcp/127.0.1.1/7003
kill -TERM "$(pid_of entry-1)"
sleep 0.5
before=$(runs)
printf 'POST /-/ready HTTP/1.1\r\nHost: app.example\r\nX-Request-Id: s-1\r\nContent-Length: 0\r\n\r\n' >&20
printf 'GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n' >&21
expect "a stopping host routes a caller's POST /-/ready" from_target "$(timeout 2 cat <&20 | tr -d '\0')" 1
expect "which ran once" equal $(($(runs) - before)) 1
expect "a stopping host is not ready" contains "$(timeout 2 cat <&21)" "HTTP/1.1 503 "
exec 20<&- 21<&-

under_way=0
while takes_callers; do # The last of these requests run on when the host takes no further connections of callers.
    under_way=$((under_way + 1))
    ask 7000 POST "/work?ms=1500" >"$work/under-way-$under_way" 2>/dev/null &
    sleep 0.3
done
expect "the host takes no callers" takes_no_callers
expect "its look-ups still name the other host" contains "$(ask 7002 GET "$lookup")" '["127.0.1.2:7000"]'
expect "its readiness checks still say that it is not ready" answers 7003 GET /-/ready 503
expect "a readiness check still has its method" not_allowed 7003 POST /-/ready
wait
rm "$work/under-way-$under_way" # May have come too late.
expect "requests under way are answered" from_target "$(cat "$work"/under-way-*)" $((under_way - 1))
gone() { ! kill -0 "$(pid_of entry-1)" 2>/dev/null; }
expect "the host ends" wait_until 3 gone
finish
