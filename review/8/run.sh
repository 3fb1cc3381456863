#!/usr/bin/env bash
# A client sends a PUT with `Expect: 100-continue` behind a download that is still on its way. The
# interim answer to the PUT gets into the body of the download.
. "$(dirname "$0")/../stand-ins-2/lib.sh"
start_store
start_server 1 wuno96b
start_server 2 huvo11a
manifest 00000001 "$(route r-sheet /pule252/ download wuno96b)" \
    "$(route r-put /lohu930/ idempotent huvo11a)" || give_up "the manifest is not accepted"
start_host 1
wait_until 10 ready 1 || give_up "the host does not become ready"
sleep 2
"$stand_ins/client" expect --front "$(front 1)" --record "$record" --name client --times 5 \
    --pipelined "$trouble" --target "/pule252/2f?bytes=540000&work_ms=100&pieces=18&gap_ms=30" \
    --next "/lohu930/3a"
result=$?
note "exit $result"
exit $result
