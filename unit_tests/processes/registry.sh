#!/usr/bin/env bash
# Entry hosts with a fake of the users' platform: lookups, readiness, routes, pipelined requests, a
# draining target, a new configuration, an outage of the store, a host that starts during the outage,
# and a graceful stop.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/checks.sh"
. "$here/registry_hosts.sh"

target_entry() { # number state
    store PUT "servers/i-$1" "{\"service\":\"s\",\"address\":\"127.1.1.$1:9000\",\"zone\":\"north-a\",\"version\":\"v1\",\"slots\":3,\"state\":\"$2\",\"cold_left_s\":0,\"sequence\":1,\"born\":5}"
}

manifest() { # version prefix
    store PUT config/main "{\"version\":\"$1\",\"routes\":[{\"name\":\"r\",\"host\":\"a.example\",\"path_prefix\":\"/$2/\",\"kind\":\"idempotent\",\"timeout_s\":2,\"target_latency_s\":0.5,\"priority\":2,\"service\":\"s\",\"max_attempts\":2,\"sticky\":true,\"home_regions\":[]}],\"services\":[{\"name\":\"s\",\"health_path\":\"/healthz\",\"max_conns\":100,\"protocol\":\"h1\",\"tls\":false,\"warmup_s\":1,\"cold_per_s\":4}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":1000000,\"header_timeout_s\":3,\"idle_timeout_s\":15}}"
}

ask() { # host path [id]: one request to the route's host
    printf 'GET %s HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 2000\r\nCookie: X-Affinity-Key=7\r\nConnection: close\r\n\r\n' \
        "$2" "${3:-id-1}" | raw "127.0.1.$1:7000" 4
}
served() { contains "$(ask "$1" "/$2/a")" "X-Response-Seal"; }
look_up() { printf 'GET /-/resolve?name=a.example&region=north&zone=north-a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n' | raw 127.0.1.1:7002 2; }
names_both() { contains "$(look_up)" '"127.0.1.1:7000","127.0.1.2:7000"'; }
not_ready() { ! ready "$1"; }

start registry "$build/unit_tests/fakes/fake_registry" --listen "$registry"
for n in 1 2; do
    start "target-$n" "$build/unit_tests/fakes/fake_target" --listen "127.1.1.$n:9000" --id "i-$n"
done
start_registry_host 1 north-a "$registry"
start_registry_host 2 north-a "$registry"
wait_until 5 store PUT servers/forged '{"service":5}' || exit 1
expect "no host is ready without a configuration" not_ready 1
expect "a host that is not ready refuses requests" contains "$(ask 1 /x/a)" "503"
target_entry 1 ready
target_entry 2 ready
manifest 00000002 x
expect "hosts become ready" wait_until 5 ready 1
expect "a request is served" wait_until 5 served 1 x

answer=$(ask 1 /x/a request-17)
expect "the answer carries the request's id" contains "$answer" "X-Request-Id: request-17"
expect "the answer has no Almondquay headers" equal "$(grep -c Almondquay <<<"$answer")" 0
expect "a path without a route is not found" contains "$(ask 1 /y/a)" "404"

answer=$(printf 'GET /x/1?ms=300&echo=first HTTP/1.1\r\nHost: a.example\r\n\r\nGET /x/2?echo=second HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n\r\n' | raw 127.0.1.1:7000 3)
expect "pipelined requests are answered in order" equal \
    "$(grep -o '^Echo: [a-z]*' <<<"$answer" | tr '\n' ' ')" "Echo: first Echo: second "

expect "lookups name both hosts" wait_until 4 names_both
expect "latencies are counted by route and result" contains "$(http_get 127.0.1.1:7004 /metrics)" \
    'almondquay_request_seconds_bucket{service="s",route="r",result="ok",le="+Inf"} 4'

target_entry 1 draining
sleep 2
before=$(http_get 127.1.1.1:9000 /stats | awk '/^runs /{print $2}')
for i in 1 2 3 4 5 6 7 8; do ask 1 "/x/$i" >/dev/null; done
expect "a draining target gets no new requests" equal \
    "$(http_get 127.1.1.1:9000 /stats | awk '/^runs /{print $2}')" "$before"

manifest 00000005 z
expect "a new configuration is in force within 2 s" wait_until 2 served 2 z
manifest 00000003 x
sleep 1
expect "an older configuration is not put in force" contains "$(ask 2 /x/a)" "404"

http_post "$registry" "/control?fault=down&value=1"
sleep 1
expect "known targets serve while the store is down" served 1 z
kill -KILL "$(pid_of entry-2)"
sleep 1
start_registry_host 2 north-a "$registry"
expect "a host starts with its peers' state while the store is down" wait_until 5 served 2 z
http_post "$registry" "/control?fault=down&value=0"

kill -HUP "$(pid_of entry-1)"
sed -i 's/^seeds = .*/seeds = 127.0.1.2:7001/' "$work/entry-1.ini"
reloaded() { grep -q "event=settings_reloaded" "$work/entry-1.out"; }
expect "a changed settings file is read without a signal" wait_until 5 reloaded
expect "a host keeps serving after SIGHUP" served 1 z

ask 1 "/z/slow?ms=1500" >"$work/slow.txt" &
slow=$!
sleep 0.3
kill -TERM "$(pid_of entry-1)"
expect "a stopping host is not ready" wait_until 1 not_ready 1
wait "$slow"
expect "its running request is answered" contains "$(cat "$work/slow.txt")" "X-Response-Seal"
ended() { ! kill -0 "$(pid_of entry-1)" 2>/dev/null; }
expect "it exits within its grace period" wait_until 4 ended
finish
