#!/usr/bin/env bash
# A manifest drops a route. A client that asks for it with HEAD is refused with 404, on a connection
# that it keeps, and gets bytes that are no answer in place of its next answer.
. "$(dirname "$0")/../stand-ins-2/lib.sh"
start_store
start_server 1 huvo11a
start_server 2 huvo11a
kept=$(route r-kept /lohu930/ idempotent huvo11a)
dropped=$(route r-dropped /pufi791/ idempotent huvo11a)
manifest 00000001 "$kept" "$dropped" || give_up "the manifest is not accepted"
start_host 1
wait_until 10 ready 1 || give_up "the host does not become ready"
sleep 2
head_then_get() { # name
    "$stand_ins/client" head --front "$(front 1)" --record "$record" --name "$1" --times 5 \
        --target "/pufi791/2f" --next "/lohu930/3a"
}
head_then_get before || give_up "the client does not get its answers before the change"
if [ "$trouble" = 1 ]; then
    manifest 00000002 "$kept" || give_up "the second manifest is not accepted"
    note "manifest 00000002 acknowledged"
    sleep 3
fi
head_then_get after
result=$?
note "exit $result"
exit $result
