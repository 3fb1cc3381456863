#!/usr/bin/env bash
# A request that crashes each target that runs it is resent through other hosts: all hosts quarantine
# it and refuse it, concurrent requests are served, and an operator can release it.
. "$(dirname "$0")/checks.sh"
deploy

caller --service ledger --path "/tickets?ms=20" --rate 100 --seconds 8 --resends 3 >"$work/others.txt" &
others=$!
sleep 1
first=$(get 127.0.1.1:7000 ledger "/tickets/9?fault=exit")
expect "the first attempt has an unknown outcome" contains "$first" "Almondquay-Outcome: unknown"
sleep 1
for host in 127.0.2.1 127.0.3.1 127.0.4.2; do
    again=$(get $host:7000 ledger "/tickets/9?fault=exit")
    expect "a resend through $host is refused" contains "$again" "Almondquay-Result: 3018"
    expect "the refusal says that it has not run" contains "$again" "Almondquay-Outcome: not-run"
done
expect "another request is served" contains "$(get 127.0.2.1:7000 ledger "/tickets/8")" "200 OK"
for try in 1 2 3; do
    lost=$(get 127.0.3.1:7000 ledger "/tickets/7?fault=drop")
    expect "a request whose answers are lost is not refused, attempt $try" contains "$lost" "Almondquay-Outcome: unknown"
    sleep 0.6
done
wait "$others"
expect "concurrent requests were served" equal "$(awk '/^lost/{print $NF}' "$work/others.txt")" 0
expect "concurrent requests were never quarantined" equal "$(grep -c 3018 "$work/others.txt")" 0

alive=0
for d in 2 3 4; do
    for n in 1 2; do kill -0 "$(pid_of "target-$d-$n")" 2>/dev/null && alive=$((alive + 1)); done
done
expect "no other domain's target has crashed" equal "$alive" 6

answer=$(tool status)
expect "status names the request" contains "$answer" "ledger GET /tickets/9"
fingerprint=$(awk '/quarantined/{print $2; exit}' <<<"$answer")
tool release "$fingerprint" >/dev/null
released() { ! contains "$(get 127.0.2.1:7000 ledger "/tickets/9?fault=exit" "Almondquay-Deadline-Ms: 500")" 3018 >/dev/null; }
expect "an operator can release it" wait_until 3 released
expect "the timeline records the quarantine" contains "$(tool timeline)" "is refused on this host"
finish
