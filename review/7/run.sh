#!/usr/bin/env bash
# All machines lose power while a zone is evacuated, and one of them is back before the others. It
# serves for two seconds before it reads which zones are evacuated.
. "$(dirname "$0")/../stand-ins-2/lib.sh"
hosts=(1 7 2 8 3 9 15 4 10 5 6) # The machines of the site: 2, 2, 3, 2, 1 and 1 in its zones.
back=4                          # edge-mersin-tarsus-1, neither a seed nor a follower of the store.
contact_ms=3000
start_store
for n in 1 7 2 8; do start_server $n huvo11a; done # Two in mersin-liman, two in antep-sanayi.
manifest 00000001 "$(route r-view /lohu930/ idempotent huvo11a 3 true)" || give_up "no manifest"
for n in "${hosts[@]}"; do start_host $n; done
for n in "${hosts[@]}"; do wait_until 10 ready $n || give_up "host $n does not become ready"; done
sleep 3
operator PUT evacuations/antep-sanayi '{}' || give_up "the evacuation is not accepted"
note "evacuation of antep-sanayi acknowledged"
sleep 6 # evac_s and one more
ask() { # name times
    "$stand_ins/client" plain --front "$(front $back)" --record "$record" --name "$1" --times "$2" \
        --gap-ms 5 --target "/lohu930/2f?work_ms=10" || give_up "the client cannot run"
}
ask before 20
began=$(now_ms)
if [ "${TROUBLE:-1}" = 1 ]; then
    for n in "${hosts[@]}"; do kill -KILL "$(pid_of host-$n)"; done
    note "all hosts lose power"
    sleep 0.5
    start_host $back
    began=$(now_ms)
    note "host $back starts again"
    wait_until 10 ready $back || give_up "host $back does not become ready again"
    note "host $back is ready"
fi
ask after 200
# Requests that a server of the zone ran and that were sent when the host had been up for contact_s.
wrong=$(awk -v from=$((began + contact_ms)) '
    $3 == "sent" { sent[$7] = $1 }
    $3 == "runs" && ($2 == "i-00000002" || $2 == "i-00000008") && sent[$4] > from { print $4 }' \
    "$record" | grep -c '^after-')
note "requests run in the evacuated zone, sent later than contact_s after the start: $wrong"
[ "$wrong" -eq 0 ]
exit
