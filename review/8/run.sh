#!/usr/bin/env bash
# All hosts are killed while the store is down, so those that come back know no manifest. One of
# them gets a planned stop in that time. It answers 404 for a route of all manifests.
. "$(dirname "$0")/../stand-ins-2/lib.sh"
start_store
start_server 1 huvo11a
start_server 2 huvo11a
manifest 00000001 "$(route r-view /lohu930/ idempotent huvo11a)" || give_up "no manifest"
start_host 1
start_host 2
wait_until 10 ready 1 || give_up "host 1 does not become ready"
wait_until 10 ready 2 || give_up "host 2 does not become ready"
sleep 2
ask() { # name times
    "$stand_ins/client" plain --front "$(front 1)" --record "$record" --name "$1" --times "$2" \
        --gap-ms 80 --target /lohu930/2f || give_up "the client cannot run"
}
ask before 3
if [ "${TROUBLE:-1}" = 1 ]; then
    request "$store" POST "/control/away?ms=4500" "" &
    sleep 0.2
    kill -KILL "$(pid_of host-1)" "$(pid_of host-2)"
    note "both hosts are killed while the store is down"
    sleep 0.5
    start_host 1
    start_host 2
    sleep 1
    ask starting 3
fi
kill -TERM "$(pid_of host-1)"
note "SIGTERM to host 1"
sleep 0.1
ask stopping 20
wrong=$(grep -c ' stopping answer to .* 404 ' "$record")
note "answers 404 for a route of all manifests: $wrong"
[ "$wrong" -le 10 ]
exit
