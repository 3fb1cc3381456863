#!/usr/bin/env bash
# A planned stop of a host. A client that sends idempotent requests behind others keeps its open
# connection, to which it may keep for three times the directory's ttl_s. The host never closes the
# connection, and is killed after grace_s with requests at work.
. "$(dirname "$0")/../stand-ins-2/lib.sh"
grace_ms=6000
start_store
for n in 1 2 3 4; do start_server $n huvo11a; done
manifest 00000001 "$(route r-view /lohu930/ idempotent huvo11a)" || give_up "no manifest"
start_host 1
start_host 2
wait_until 10 ready 1 || give_up "host 1 does not become ready"
wait_until 10 ready 2 || give_up "host 2 does not become ready"
sleep 2
resolved=$(request "$(directory 1)" GET "/-/resolve?name=ficu95.example&region=mersin&zone=mersin-liman" "")
note "the directory answers: ${resolved##*$'\n'}"
grep -q "$(front 1)" <<<"$resolved" || give_up "the directory does not name host 1"
began=$(now_ms)
"$stand_ins/client" pipeline --front "$(front 1)" --record "$record" --name client --every-ms 150 \
    --until $((began + grace_ms - 50)) --later-from $((began + 4600)) \
    --target "/lohu930/2f?work_ms=250" --later "/lohu930/2f?work_ms=1400" &
client=$!
stop=0
if [ "$trouble" = 1 ]; then
    kill -TERM "$(pid_of host-1)"
    stop=$(now_ms)
    note "SIGTERM to host 1"
fi
while [ "$(now_ms)" -lt $((began + grace_ms)) ]; do sleep 0.02; done
if [ "$trouble" = 1 ]; then
    if ended "$(pid_of host-1)"; then
        note "host 1 has ended by itself"
    else
        kill -KILL "$(pid_of host-1)"
        note "SIGKILL to host 1 after grace_s"
    fi
fi
wait "$client" || give_up "the client could not connect"
# Requests sent later than 3 s after SIGTERM that a server ran and that were never answered.
lost=$(awk -v from=$((stop + 3000)) '
    $2 == "client" && $3 == "sent" { sent[$7] = $1 }
    $3 == "runs" { ran[$4] = 1 }
    / connection ended without an answer to / { ended[$NF] = 1 }
    END { for (id in ended) if (ran[id] && sent[id] > from) print id }' "$record" | wc -l)
note "lost requests: $lost"
[ "$lost" -eq 0 ]
exit
