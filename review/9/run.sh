#!/usr/bin/env bash
# One machine is lost for good: the only one of its zone, in a region whose other zone has three. The
# directory goes on to name it.
. "$(dirname "$0")/../stand-ins-2/lib.sh"
hosts=(1 7 2 8 3 9 15 4 10 5 6) # The machines of the site: 2, 2, 3, 2, 1 and 1 in its zones.
start_store
start_server 1 huvo11a
start_server 2 huvo11a
manifest 00000001 "$(route r-view /lohu930/ idempotent huvo11a)" || give_up "no manifest"
for n in "${hosts[@]}"; do start_host $n; done
for n in "${hosts[@]}"; do wait_until 10 ready $n || give_up "host $n does not become ready"; done
sleep 6
look_up() { # host: asks its directory, writes the answer, and whether it names host 6 and another
    local answer
    answer=$(request "$(directory "$1")" GET \
        "/-/resolve?name=ficu95.example&region=izmir&zone=izmir-kemalpasa" "" | tail -1)
    note "directory of host $1 answers $answer"
    case $answer in *"$(front 6)"*) [[ $answer == *"$(front "$1")"* ]] ;; *) false ;; esac
}
look_up 3 || give_up "the directory does not name host 6 while it runs"
if [ "${TROUBLE:-1}" = 1 ]; then
    kill -KILL "$(pid_of host-6)"
    note "host 6 is killed and does not come back"
    sleep 6.2 # contact_s + 3 s
    named=0
    for round in 1 2 3 4 5 6 7 8; do
        for n in 3 9 15; do look_up $n && named=$((named + 1)); done
        sleep 0.5
    done
else
    sleep 6.2
    look_up 3
    named=0 # It runs all the while.
fi
note "answers that name the lost machine beside a running one, later than contact_s + 3 s: $named"
[ "$named" -le 3 ]
exit
