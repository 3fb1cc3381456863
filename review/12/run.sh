#!/usr/bin/env bash
# A manifest removes the last routes, as for maintenance. Clients still send intakes, whose route is
# among them and not idempotent, and requests for a path that never had a route.
here=$(cd "$(dirname "$0")" && pwd)
trouble=${TROUBLE:-1}
. "$here/../lib-3.sh"

start_store
wait_for_store
start_host 1 north-a
start_host 2 south-a
for n in 1 2; do start_backend "$n" tickets north-a; done
for n in 3 4; do start_backend "$n" tickets south-a; done
views=$(route views /view/ idempotent 2 tickets)
intakes=$(route intakes /intake/ non_idempotent 2 tickets)
write_manifest 00000003 "$(joined "$views" "$intakes")" "$(service tickets)"
wait_until 15 is_ready 1 || cannot_run "host 1 is not ready"
wait_until 15 is_ready 2 || cannot_run "host 2 is not ready"
sleep 1

load() { # kind path seconds method
    client load --kind "$1" --path "$2" --method "$4" --for "$3" --threads 3 --gap 100 --deadline 3000 \
        --host tickets.example --lookups "$net.11:8164,$net.12:8164" >>"$work/$1"
}
load before /close-ledger 3 POST
if [ "$trouble" != 0 ]; then
    write_manifest 00000006 "" "$(service tickets)"
else
    write_manifest 00000006 "$intakes" "$(service tickets)"
fi
sleep 6 # config_apply_s and contact_s
load after /close-ledger 4 POST
load intake "/intake/stamp-@?work=1300" 15 GET
touch "$work/runs"
for kind in before after intake; do
    cat "$work/$kind" >>"$record"
    note "$kind: $(grep -c " $kind id=" "$work/$kind") requests, $(count "$kind" "refused 404" "$work/$kind") answered 404, $(count "$kind" served "$work/$kind") served"
done
cat "$work/runs" >>"$record"
unrouted=$(grep -c "POST /close-ledger" "$work/runs")
note "POST /close-ledger, which no manifest ever allowed, was run $unrouted times by backends"
twice=$(grep "GET /intake/" "$work/runs" | grep -o ' id=[0-9a-f]*' | sort | uniq -d | wc -l)
note "intakes that were run more than once: $twice of $(grep -c " intake id=" "$work/intake")"
[ "$(grep -c " after id=" "$work/after")" -ge 20 ] || cannot_run "too few requests"
[ "$unrouted" = 0 ] && [ "$twice" = 0 ]
