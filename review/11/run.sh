#!/usr/bin/env bash
# One of six backends is faulty for five seconds: one in 50 of its answers has a broken framing. The
# platform starts a process that has ended again, half a second later.
here=$(cd "$(dirname "$0")" && pwd)
trouble=${TROUBLE:-1}
. "$here/../lib-3.sh"

start_store
wait_for_store
start_host 1 north-a
start_host 2 south-a
[ "$trouble" = 0 ] && spoil=() || spoil=(--spoil-after 10 --spoil-for 5 --spoil-every 50)
start_backend 1 tickets north-a "${spoil[@]}"
for n in 2 3; do start_backend "$n" tickets north-a; done
for n in 4 5 6; do start_backend "$n" tickets south-a; done
write_manifest 00000003 "$(route sheets /sheet/ idempotent 3 tickets)" "$(service tickets)"
for n in 1 2; do wait_until 15 is_ready "$n" || cannot_run "host $n is not ready"; done
sleep 2

loads=()
for region in north south; do
    client load --kind sheet --path "/sheet/@?work=40&bytes=20000" --for 18 --threads 6 --gap 20 --host tickets.example \
        --lookups "$net.11:8164,$net.12:8164" --place "region=$region&zone=$region-a" --deadline 3000 \
        >"$work/sheet-$region" &
    loads+=($!)
done
ends=0
until=$(($(date +%s) + 18))
while [ "$(date +%s)" -lt "$until" ]; do
    for n in 1 2; do
        kill -0 "${pid_of[host-$n]}" 2>/dev/null && continue
        ends=$((ends + 1))
        note "the process of host $n has ended by itself: $(grep -a -A1 'terminate called' "$work/host-$n.out" | tr '\n' ' ')"
        sleep 0.5
        start_host "$n" "$([ "$n" = 1 ] && echo north-a || echo south-a)"
    done
    sleep 0.1
done
wait "${loads[@]}"
cat "$work"/sheet-* >"$work/sheet"
cat "$work/sheet" "$work/runs" >>"$record"
lost=0
for id in $(grep 'sheet id=.*-> closed' "$work/sheet" | grep -o 'id=[0-9a-f]*'); do
    grep -q "run $id " "$work/runs" && ! grep -q "spoilt $id " "$work/runs" && lost=$((lost + 1))
done
note "backend i-1 spoilt $(grep -c ' spoilt ' "$work/runs") of $(grep -c ' run .* by=i-1 ' "$work/runs") answers"
note "processes of entry hosts that ended by themselves: $ends"
note "sheet: $(grep -c " sheet id=" "$work/sheet") requests, $(count sheet served "$work/sheet") served, $lost passed on to a sound backend and closed without an answer"
[ "$(count sheet served "$work/sheet")" -ge 20 ] || cannot_run "too few requests"
[ "$lost" -le 3 ]
