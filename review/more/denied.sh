#!/usr/bin/env bash
# While the store is down all hosts are killed and start again, and one of them gets SIGTERM before it knows a manifest.
trouble=${TROUBLE:-1} # 0 leaves the disruption out
. "$(dirname "$0")/../lib.sh"
allowed=10

start_store
start_backend i-1 1 3
for n in 1 2; do name_host "edge-$n" "$n"; done
start_hosts() { for n in 1 2; do start_host "edge-$n" north-a 0.2 edge-1 edge-2; done; }
start_hosts
wait_until 5 write PUT servers/i-1 "$(backend_entry i-1 ready)" || cannot_run "the store does not answer"
write_manifest
for h in edge-1 edge-2; do wait_until 15 serves "$h" || cannot_run "$h does not serve"; done

"$bin/client" load "$record" 12 50 "/view/load?ms=20&bytes=100" "edge-1=${front[edge-1]}" "edge-2=${front[edge-2]}" &
sleep 3
if [ "$trouble" != 0 ]; then
    note "the store is down; edge-1 and edge-2 are killed and start again"
    kill -KILL "${pid[store]}" "${pid[edge-1]}" "${pid[edge-2]}"
    sleep 1
    start_hosts
    sleep 2
    note "edge-1 gets SIGTERM"
    kill -TERM "${pid[edge-1]}"
fi
wait %1
denied=$(grep -c "client gets id=.* 404 seal= " "$record")
note "proper requests that were answered 404: $denied"
verdict "$((denied > allowed ? denied : 0))" "proper requests that were answered 404, if more than $allowed"
