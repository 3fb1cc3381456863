#!/usr/bin/env bash
# Connections to a target go silent for good while new ones work: requests move to new ones
# within their deadline, and nothing that must not repeat runs twice.
. "$(dirname "$0")/checks.sh"
sed_relay() { sed -i 's/address = 127.1.1.1:9000/address = 127.1.1.1:9900/' "$work/fleet.ini"; }
start_deployment
sed_relay
start relay "$build/unit_tests/fakes/fake_relay" --listen 127.1.1.1:9900 --to 127.1.1.1:9000 \
    --control 127.1.1.1:9901
wait_until 10 tool show || exit 1
tool apply "$work/fleet.ini" >/dev/null || exit 1
wait_until 14 in_force_everywhere 1 8 || { say "not in force in time"; exit 1; }

caller --service ledger --path "/tickets?ms=2" --rate 100 --seconds 8 >"$work/small.txt" &
small=$!
caller --service ledger --method POST --path "/stamp?ms=2" --keys --rate 30 --seconds 8 \
    >"$work/stamps.txt" &
stamps=$!
for _ in 1 2 3; do
    sleep 2
    http_post 127.1.1.1:9901 "/control?fault=silence"
done
wait "$small" "$stamps"
expect "repeatable requests lost nothing" equal "$(awk '/^lost/{print $NF}' "$work/small.txt")" 0
expect "repeatable requests were not refused" equal "$(grep -c refused "$work/small.txt")" 0
expect "no answer was somebody else's" equal "$(count_of "$work/small.txt" wrong)" 0
expect "no key ran twice" equal "$(repeated_keys)" 0
cat "$work/small.txt" "$work/stamps.txt"
finish
