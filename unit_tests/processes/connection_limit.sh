#!/usr/bin/env bash
# A host at its connection limit rejects further connections with a result code, keeps serving the
# open ones, and accepts new ones once others close.
. "$(dirname "$0")/checks.sh"
deploy
kill -KILL "$(pid_of host-4-2)"
sleep 0.2
write_settings "$work/small.ini" 4 2
printf '[traffic]\nthreads = 1\nmax_connections = 6\n' >>"$work/small.ini"
start small "$build/source/almondquayd/almondquayd" --settings "$work/small.ini"
host=127.0.4.2:7000
served() { get "$host" ledger "/x" | grep -q "200 OK"; }
expect "the host serves" wait_until 5 served

for fd in 20 21 22 23 24 25; do eval "exec $fd<>/dev/tcp/${host%:*}/${host#*:}"; done
sleep 0.2
answer=$(get "$host" ledger "/x")
expect "a connection over the limit is rejected" contains "$answer" "Almondquay-Result: 3014"
expect "the refusal is counted" contains "$(http_get 127.0.4.2:7001 /metrics)" 'result="too_many_connections"} 1'
expect "the refusal is logged" grep -q "event=request_refused .*result=too_many_connections" "$work/small.out"
expect "the refusal says that the request has not run" contains "$answer" "Almondquay-Outcome: not-run"
printf 'GET /x HTTP/1.1\r\nHost: ledger\r\nConnection: close\r\n\r\n' >&20
expect "an open connection is served" contains "$(timeout 2 cat <&20)" "200 OK"
exec 20<&- 21<&- 22<&-
expect "new connections are accepted once others close" wait_until 3 served
finish
