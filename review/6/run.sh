#!/usr/bin/env bash
# A drill: the store is away for 0.3 s and comes back from a copy some seconds old. What the operator
# and the servers had written is written again. Then the operator writes a new manifest, and servers
# leave. All hosts keep the old manifest for good.
. "$(dirname "$0")/../stand-ins-2/lib.sh"
start_store
for n in 1 2; do start_server $n huvo11a; done
for n in 3 4 5 6 7 8 9 10 11 12; do start_server $n wuno96b; done
manifest 00000001 "$(route r-view /lohu930/ idempotent huvo11a)" || give_up "no manifest"
for n in 1 2 3 4 5 6; do start_host $n; done
for n in 1 2 3 4 5 6; do wait_until 10 ready $n || give_up "host $n does not become ready"; done
sleep 3
ask_all() { # name: two requests at each host
    local n
    for n in 1 2 3 4 5 6; do
        "$stand_ins/client" plain --front "$(front $n)" --record "$record" --name "$1-$n" \
            --times 2 --gap-ms 20 --target /lohu930/2f || give_up "the client cannot run"
    done
}
ask_all before
request "$store" POST /control/copy "" >/dev/null
for n in 13 14; do start_server $n wuno96b --cold-s 3; done # Servers are added (scale_out).
sleep 8
if [ "$trouble" = 1 ]; then
    request "$store" POST "/control/drill?away_ms=300&silent=1" "" >/dev/null
    sleep 0.2
fi
manifest 00000002 "$(route r-view /lohu930/ idempotent wuno96b)" || give_up "no manifest"
note "manifest 00000002 acknowledged"
for n in 3 4 5; do kill -USR1 "$(pid_of server-$n)"; done # Servers leave (scale_in).
# config_apply_s + stretch_max_s after the acknowledgement, and contact_s for the core's return.
sleep 10.5
ask_all after
wrong=$(grep -c ' runs after-.* service huvo11a ' "$record")
note "requests run by the old service later than 10 s after the acknowledgement: $wrong"
[ "$wrong" -eq 0 ]
exit
