#!/usr/bin/env bash
# Targets that say that they are leaving or turn requests away with a pause: they get nothing more from the host, also
# while the store is down and when they state both at once with a limit, until they start anew or the pause is over.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/checks.sh"
. "$here/registry_hosts.sh"

arrivals() { http_get "127.1.1.$1:9000" /stats | awk '/^arrivals /{print $2}'; } # target: since its last /state
state() { http_get "127.1.1.$1:9000" "/state?$2" >/dev/null; }                    # target parameters
ask() { # id [path]
    printf 'GET %s HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 2000\r\nCookie: X-Affinity-Key=%s\r\nConnection: close\r\n\r\n' \
        "${2:-/x/a}" "$1" "$1" | raw 127.0.1.1:7000 3
}
ask_often() { # count: prints the statuses
    local n
    for ((n = 0; n < $1; ++n)); do ask "object-$n" | head -n 1 | cut -d' ' -f2; done | sort | uniq -c
}
list_target() { # number born
    store PUT "servers/i-$1" "{\"service\":\"s\",\"address\":\"127.1.1.$1:9000\",\"zone\":\"north-a\",\"version\":\"v1\",\"slots\":50,\"state\":\"ready\",\"cold_left_s\":0,\"sequence\":1,\"born\":$2}"
}
served() { contains "$(ask warm)" "200 OK"; }

start registry "$build/unit_tests/fakes/fake_registry" --listen "$registry"
for n in 1 2; do
    start "target-$n" "$build/unit_tests/fakes/fake_target" --listen "127.1.1.$n:9000" --id "i-$n" --slots 50
done
registry_seeds=127.0.1.1:7001 start_registry_host 1 north-a "$registry"
wait_until 5 list_target 1 5 || exit 1
list_target 2 5
store PUT config/main '{"version":"00000002","routes":[{"name":"r","host":"a.example","path_prefix":"/x/","kind":"idempotent","timeout_s":2,"target_latency_s":0.5,"priority":2,"service":"s","max_attempts":2,"sticky":true,"home_regions":[]}],"services":[{"name":"s","health_path":"/healthz","max_conns":200,"warmup_s":0,"cold_per_s":1000}],"limits":{"max_header_bytes":16384,"max_body_bytes":1000000,"header_timeout_s":3,"idle_timeout_s":15}}'
expect "a request is served" wait_until 10 served
ask_often 20 >/dev/null

http_post "$registry" "/control?fault=down&value=1"
sleep 1
state 1 "leaving=1&limit=3"
ask_often 20 >/dev/null # One of them is told.
state 1 "leaving=1"
statuses=$(ask_often 40)
expect "a target that is leaving gets nothing more while the store is down" equal "$(arrivals 1)" 0
expect "the other target serves all" equal "$(tr -s ' ' <<<"$statuses")" " 40 200"
http_post "$registry" "/control?fault=down&value=0"

state 1 "leaving=-&limit=-"
list_target 1 6
again() { ask_often 10 >/dev/null; [ "$(arrivals 1)" -gt 0 ]; }
expect "its next incarnation is used" wait_until 10 again

state 1 "pause=3"
state 2 "pause=3"
sent=()
for n in $(seq 30); do
    ask "together-$n" >"$work/together-$n.txt" &
    sent+=($!)
done
wait "${sent[@]}"
sleep 0.5
state 1 "pause=3" # Counts anew.
state 2 "pause=3"
began=$(date +%s%3N)
statuses=$(ask_often 20)
took=$(($(date +%s%3N) - began))
expect "targets that want a pause get no more than two requests" at_most "$(arrivals 1)" 2
expect "the same of the other one" at_most "$(arrivals 2)" 2
expect "meanwhile requests are refused at once" at_most "$took" 2000
expect "each of them with a refusal" equal "$(tr -s ' ' <<<"$statuses")" " 20 503"
answer=$(ask last)
expect "the refusal says when to come back" contains "$answer" "Retry-After: "
log=$work/entry-1.out
cause() { contains "$("$build/source/almondquay/almondquay" trace last "$log" 2>/dev/null)" "have asked for a pause" >/dev/null; }
expect "trace names the pause" wait_until 3 cause
state 1 "pause=-"
state 2 "pause=-"
expect "requests are served again after the pause" wait_until 5 served

state 1 "leaving=1&pause=1" # Says so on its refusals.
ask_often 20 >/dev/null
state 1 "leaving=1&pause=-"
sleep 1.5
ask_often 20 >/dev/null
expect "a target that says on its refusals that it is leaving gets nothing after the pause" equal "$(arrivals 1)" 0

kill -KILL "$(pid_of entry-1)"
sleep 0.3
registry_seeds=127.0.1.1:7001 start_registry_host 1 north-a "$registry"
expect "a restarted host serves" wait_until 10 served
ask_often 20 >/dev/null
state 1 "leaving=1"
ask_often 20 >/dev/null
expect "it has learned anew that the target is leaving" equal "$(arrivals 1)" 0

for bad in limit=-1 limit=x limit=1e400 "limit=1,2" leaving=yes pause=soon; do
    state 2 "limit=-&pause=-&leaving=-"
    state 2 "$bad"
    ask bad >/dev/null
done
state 2 "limit=-&pause=-&leaving=-"
expect "malformed statements are logged" at_most 5 "$(grep -c 'event=target_statement.*ignored=[SR]' "$log")"
expect "the host serves after malformed statements" wait_until 5 served
finish
