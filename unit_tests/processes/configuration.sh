#!/usr/bin/env bash
# Operators make concurrent changes, the platform is unavailable and is restored to an older state,
# hosts are paused and restarted: the generation in force never decreases and converges on all hosts.
. "$(dirname "$0")/checks.sh"
deploy

sed 's/lookup_ttl_ms = 1000/lookup_ttl_ms = 1200/' "$work/fleet.ini" >"$work/second.ini"
tool apply "$work/second.ini" --read-at 1 --reason "by ayse" >/dev/null
answer=$(tool apply "$work/fleet.ini" --read-at 1 --reason "by berk" 2>&1)
code=$?
expect "a concurrent change gets a conflict" equal "$code" 2
expect "the conflict shows the other operator's change" contains "$answer" "by ayse"
expect "generation 2 is in force on all hosts" wait_until 5 in_force_everywhere 2 8

printf '[fleet]\nname = x\n[region a]\ncolour = red\n' >"$work/bad.ini"
answer=$(tool apply "$work/bad.ini" --read-at 2 2>&1)
expect "a fleet text with findings is rejected as a whole" contains "$answer" "bad.ini:4: 1005 unknown_key"
expect "all findings are reported in one run" contains "$answer" "1007 missing_section"

kill -STOP "$(pid_of host-3-1)"
fault save
tool drain target ledger-1-1 --reason "night work" >/dev/null
expect "generation 3 is in force on the others" wait_until 5 in_force_everywhere 3 7
answer=$(tool status)
expect "status reports a host that does not answer" contains "$answer" "no answer"
kill -CONT "$(pid_of host-3-1)"
expect "the paused host catches up" wait_until 5 in_force_everywhere 3 8

fault rollback
contains_generation() { tool show --json | grep -q "\"generation\":$1,"; }
expect "generation 3 is written back to the restored platform" wait_until 5 contains_generation 3
expect "no host went back to an older generation" in_force_everywhere 3 8

fault down 1
kill -KILL "$(pid_of host-4-1)"
sleep 0.5
start_host 4 1
expect "a restarted host gets generation 3 from peers while the platform is down" wait_until 10 in_force_everywhere 3 8
answer=$(get 127.0.4.1:7000 ledger "/x")
expect "the restarted host serves" contains "$answer" "200 OK"
fault down 0

kill -TERM "$(pid_of host-2-1)"
sleep 0.2
answer=$(get 127.0.2.2:7000 x "/.well-known/almondquay/lookup?service=ledger&block=127.1.0.1")
expect "a leaving host is removed from lookups at once" test "${answer#*127.0.2.1:}" = "$answer"
kill -TERM "$(pid_of host-2-1)"
ended() { ! kill -0 "$(pid_of host-2-1)" 2>/dev/null; }
expect "the leaving host exits by itself" wait_until 8 ended
expect "a second signal logged what the host was waiting for" grep -q "event=still_stopping" "$work/host-2-1.out"

id=$(tool timeline | grep "drain target" | tail -1 | grep -o '[a-z0-9-]*/[0-9]*/[0-9]*' | head -1)
expect "a decision is explained" contains "$(tool explain "$id")" "rule: only a higher generation"
expect "an unknown decision id gives its result code" contains "$(tool explain none 2>&1)" "6004"
finish
