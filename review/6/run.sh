#!/usr/bin/env bash
# A drill: the store is away for 0.3 s and comes back from a copy some seconds old. What the operator
# and the servers had written is written again. Then the operator evacuates a zone, and servers leave.
# Most hosts never learn of the evacuation.
. "$(dirname "$0")/../stand-ins-2/lib.sh"
hosts=(1 7 2 8 3 9 15 4 10 5 6) # The machines of the site: 2, 2, 3, 2, 1 and 1 in its zones.
start_store
for n in 1 2 7 8; do start_server $n huvo11a; done # Two in mersin-liman, two in antep-sanayi.
for n in 3 4 5 6 9 10 11 12 15 16; do start_server $n wuno96b; done
manifest 00000001 "$(route r-view /lohu930/ idempotent huvo11a 3 true)" || give_up "no manifest"
for n in "${hosts[@]}"; do start_host $n; done
for n in "${hosts[@]}"; do wait_until 10 ready $n || give_up "host $n does not become ready"; done
sleep 3
ask_all() { # name: eight requests at each host
    local n
    for n in "${hosts[@]}"; do
        "$stand_ins/client" plain --front "$(front $n)" --record "$record" --name "$1-$n" \
            --times 8 --gap-ms 5 --target "/lohu930/2f?work_ms=5" || give_up "the client cannot run"
    done
}
ask_all before
request "$store" POST /control/copy "" >/dev/null
for n in 13 14; do start_server $n wuno96b --cold-s 3; done # Servers are added (scale_out).
sleep 8
if [ "${TROUBLE:-1}" = 1 ]; then
    request "$store" POST "/control/drill?away_ms=300&silent=1" "" >/dev/null
    sleep 0.2
fi
operator PUT evacuations/antep-sanayi '{}' || give_up "the evacuation is not accepted"
note "evacuation of antep-sanayi acknowledged"
for n in 3 4 5; do kill -USR1 "$(pid_of server-$n)"; done # Servers leave (scale_in).
sleep 12 # evac_s + stretch_max_s after the acknowledgement, and 2 s more
ask_all after
wrong=$(grep -cE ' i-0000000(2|8) runs after-' "$record")
note "requests run in the evacuated zone later than 12 s after the acknowledgement: $wrong"
[ "$wrong" -eq 0 ]
exit
