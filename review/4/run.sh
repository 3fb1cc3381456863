#!/usr/bin/env bash
# The two hosts that read the store are killed at the same moment and start again, one after the other. Meanwhile a backend's entry
# is removed. This happens twice.
trouble=${TROUBLE:-1} # 0 leaves the disruption out
. "$(dirname "$0")/../lib.sh"
drain_ms=2000

start_store
for n in 1 2 3 4; do start_backend "i-$n" "$n" 3; done
# Hosts with more weight read the store for the others of their region.
hosts=(edge-1 edge-2 edge-3 edge-4)
weights=([1]=0.5 [2]=0.5 [3]=0.2 [4]=0.2)
for n in 1 2 3 4; do name_host "edge-$n" "$n"; done
start_number() { start_host "edge-$1" north-a "${weights[$1]}" edge-1 edge-2; }
for n in 1 2 3 4; do start_number "$n"; done
wait_until 5 write PUT servers/i-1 "$(backend_entry i-1 ready)" || cannot_run "the store does not answer"
for n in 2 3 4; do write PUT "servers/i-$n" "$(backend_entry "i-$n" ready)"; done
write_manifest
for h in "${hosts[@]}"; do wait_until 15 serves "$h" || cannot_run "$h does not serve"; done
sleep 8 # All hosts are in touch.

# Only the hosts that are never killed get requests.
"$bin/client" load "$record" 24 50 "/view/load?ms=20&bytes=100" "edge-3=${front[edge-3]}" "edge-4=${front[edge-4]}" &
sleep 2
remove() { # backend: its entry goes while the followers of the store are not there
    if [ "$trouble" != 0 ]; then
        note "edge-1 and edge-2 are killed"
        kill -KILL "${pid[edge-1]}" "${pid[edge-2]}"
    fi
    sleep 0.1
    write DELETE "servers/$1"
    sleep 0.1
    if [ "$trouble" != 0 ]; then
        note "edge-1 and edge-2 start again"
        start_number 1
        sleep 0.25
        start_number 2
    fi
}
remove i-3
sleep 10
remove i-4
wait %1

late_at() { # backend
    local acked
    acked=$(awk -v what="servers/$1" '$2 == "store" && $4 == "DELETE" && $5 == what {at = $1} END {print at}' "$record")
    awk -v from="$((acked + drain_ms))" -v backend="$1" '
        $2 == "client" && $3 == "sends" {sent[$4] = $1}
        $2 == "backend" && $3 == backend && $4 == "runs" && ($5 in sent) && sent[$5] > from {n++}
        END {print n + 0}' "$record"
}
late_3=$(late_at i-3)
late_4=$(late_at i-4)
note "requests later than $drain_ms ms after the ack: $late_3 reached i-3, $late_4 reached i-4"
verdict "$((late_3 + late_4))" "requests that reached a backend later than $drain_ms ms after the store had acknowledged that it is gone"
