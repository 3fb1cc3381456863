#!/usr/bin/env bash
# A manifest removes a route. Clients that still know it ask for the size of a sheet with HEAD and
# then look up a ticket on the same connection.
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
write_manifest 00000003 "$(joined "$views" "$(route sheets /sheet/ idempotent 2 tickets)")" "$(service tickets)"
wait_until 15 is_ready 1 || cannot_run "host 1 is not ready"
wait_until 15 is_ready 2 || cannot_run "host 2 is not ready"
sleep 1
if [ "$trouble" != 0 ]; then
    write_manifest 00000006 "$views" "$(service tickets)"
fi
sleep 6 # config_apply_s and contact_s

for n in 1 2 3 4 5 6; do
    client head --at "$net.$((11 + n % 2)):8161" --host tickets.example --head "/sheet/weekly?bytes=5000" \
        --get "/view/$n" >"$work/client"
    [ "$?" != 2 ] || cannot_run "no connection to a host"
    cat "$work/client" >>"$work/all"
done
cat "$work/all" "$work/runs" >>"$record"
wrong=$(grep -c "WRONG" "$work/all")
served=$(grep -c " get .*-> served" "$work/all")
note "clients that got bytes that are no answer: $wrong of 6; served: $served"
[ "$wrong" = 0 ] && { [ "$served" = 6 ] || grep -q "not sent" "$work/all" || exit 2; }
