#!/usr/bin/env bash
# A route is added; its requests take 0.6 s. A later manifest changes the route's time-out from 3 s
# to 0.5 s, and its clients then send requests that take 0.1 s.
here=$(cd "$(dirname "$0")" && pwd)
trouble=${TROUBLE:-1}
. "$here/../lib-3.sh"

start_store
wait_for_store
start_host 1 north-a
start_host 2 south-a
for n in 1 2; do start_backend "$n" tickets north-a; start_backend $((n + 4)) archive north-a; done
for n in 3 4; do start_backend "$n" tickets south-a; start_backend $((n + 4)) archive south-a; done
services=$(joined "$(service tickets)" "$(service archive)")
views=$(route views /view/ idempotent 2 tickets)
write_manifest 00000003 "$views" "$services"
wait_until 15 is_ready 1 || cannot_run "host 1 is not ready"
wait_until 15 is_ready 2 || cannot_run "host 2 is not ready"
sleep 1
write_manifest 00000005 "$(joined "$views" "$(route reports /report/ idempotent 3 archive)")" "$services"
sleep 3

load() { # kind path seconds clients
    client load --kind "$1" --path "$2" --for "$3" --threads "$4" --gap 50 --host tickets.example \
        --lookups "$net.11:8164,$net.12:8164" --deadline 3000 >>"$work/$1"
}
note "reports that take 0.6 s, for 12 s"
load annual "/report/annual-@?work=600" 12 12
if [ "$trouble" != 0 ]; then
    write_manifest 00000009 "$(joined "$views" "$(route reports /report/ idempotent 0.5 archive)")" "$services"
fi
sleep 6 # config_apply_s and contact_s
note "reports that take 0.1 s, beside views, for 25 s"
load view "/view/@?work=100" 25 3 &
viewers=$!
load daily "/report/daily-@?work=100" 25 3
wait "$viewers"

cat "$work/annual" "$work/view" "$work/daily" "$work/runs" >>"$record"
for kind in annual view daily; do
    all=$(grep -c " $kind id=" "$work/$kind")
    served=$(count "$kind" served "$work/$kind")
    note "$kind: $all requests, $served served, $(grep -c "GET /report/daily" "$work/runs") daily reports run by a backend"
    eval "all_$kind=$all served_$kind=$served"
done
[ "$all_daily" -ge 20 ] && [ "$served_view" -ge 20 ] || cannot_run "too few requests"
# Served less than a quarter as often as those on the first routes.
[ $((4 * served_daily * all_view)) -ge $((served_view * all_daily)) ]
