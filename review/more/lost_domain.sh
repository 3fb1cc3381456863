#!/usr/bin/env bash
# One of the two failure domains of a region loses all its entry hosts at once, for good.
trouble=${TROUBLE:-1} # 0 leaves the disruption out
. "$(dirname "$0")/../lib.sh"
off_ms=6000 # contact_s + 3 s

start_store
start_backend i-1 1 3
hosts=(edge-1 edge-2 edge-3 edge-4 edge-5 edge-6 edge-7 edge-8)
for n in 1 2 3 4 5 6 7 8; do name_host "edge-$n" "$n"; done
for n in 1 2 3 4; do start_host "edge-$n" north-a 0.2 edge-1 edge-5; done
for n in 5 6 7 8; do start_host "edge-$n" north-b 0.2 edge-1 edge-5; done
wait_until 5 write PUT servers/i-1 "$(backend_entry i-1 ready)" || cannot_run "the store does not answer"
write_manifest
for h in "${hosts[@]}"; do wait_until 15 serves "$h" || cannot_run "$h does not serve"; done
sleep 8 # All hosts know each other and are in touch.

if [ "$trouble" != 0 ]; then
    note "north-b loses its hosts"
    for n in 5 6 7 8; do kill -KILL "${pid[edge-$n]}"; done
fi
lost_at=$(date +%s%3N)
gone=$(for n in 5 6 7 8; do printf '%s ' "${front[edge-$n]}"; done)
"$bin/client" look_up "$record" 25 200 north-a "${front[edge-1]}" "${front[edge-2]}"
stale=$(awk -v from="$((lost_at + off_ms))" -v gone="$gone" -v trouble="$trouble" '
    BEGIN {n = split(gone, off, " ")}
    $2 == "client" && $3 == "learns" && $1 > from && trouble != 0 {
        for (i = 1; i <= n; i++) if (index($0, "\"" off[i] "\"")) {late++; last = $1; break}}
    END {print late + 0}' "$record")
note "answers of the directory that name a host that has been off for over $off_ms ms: $stale"
verdict "$((stale > 3 ? stale : 0))" "answers of the directory that name hosts long off, if more than 3"
