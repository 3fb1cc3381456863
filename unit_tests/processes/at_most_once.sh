#!/usr/bin/env bash
# At-most-once execution of non-repeatable requests: callers resend through any host while hosts are
# killed, paused and restarted and the platform is slow, loses answers and is unavailable. The
# targets count the executions of each key; no key may run twice.
. "$(dirname "$0")/checks.sh"
deploy

# A request target in absolute form names the same path.
for target in /stamp http://ledger/stamp HTTP://ledger:80/stamp; do
    answer=$(printf 'GET %s HTTP/1.1\r\nHost: ledger\r\nConnection: close\r\n\r\n' "$target" | raw 127.0.3.1:7000 2)
    expect "GET $target must not repeat, so it needs a key" contains "$answer" "Almondquay-Result: 4001"
done

caller --service ledger --method POST --path "/stamp?ms=10" --keys --rate 60 --seconds 22 \
    --resends 4 --connections 12 >"$work/stamps.txt" &
stamps=$!
sleep 1
fault lose_writes 10
sleep 2
kill -KILL "$(pid_of host-1-1)"
sleep 2
kill -STOP "$(pid_of host-1-2)"
sleep 4
fault delay_ms 300
kill -CONT "$(pid_of host-1-2)"
sleep 2
fault delay_ms 0
fault down 1
sleep 3
during=$(post 127.0.2.1:7000 "/stamp" "$(make_key 7)" x)
fault down 0
sleep 1
start_host 1 1
sleep 2
fault lose_writes 5
kill -STOP "$(pid_of host-2-1)"
wait "$stamps"
kill -CONT "$(pid_of host-2-1)"
sleep 1

expect "no key ran twice" equal "$(repeated_keys)" 0
expect "a request during a platform outage is refused with its result code" contains "$during" "Almondquay-Result: 4008"
expect "the refusal says that it has not run" contains "$during" "Almondquay-Outcome: not-run"
expect "no answer was truncated or for another request" equal "$(count_of "$work/stamps.txt" wrong)" 0
expect "most stamps were served" test "$(count_of "$work/stamps.txt" served)" -gt 400

key=$(make_key 9)
first=$(post 127.0.2.2:7000 "/stamp?echo=one" "$key" body)
again=$(post 127.0.3.1:7000 "/stamp?echo=one" "$key" body)
other=$(post 127.0.4.1:7000 "/stamp?echo=one" "$key" "another body")
expect "the first request is run" contains "$first" "Almondquay-Outcome: ran"
expect "a resend elsewhere gets the first answer" contains "$again" "Almondquay-Replayed: yes"
expect "a key reused for another body is refused" contains "$other" "Almondquay-Result: 4005"

key=$(make_key 10)
post 127.0.2.2:7000 "/stamp?ms=1500" "$key" slow >"$work/slow.txt" &
sleep 0.5
running=$(post 127.0.3.1:7000 "/stamp?ms=1500" "$key" slow)
expect "a resend during execution gets the result code for a running request" contains "$running" "Almondquay-Result: 4006"
kill -KILL "$(pid_of host-2-2)"
gone() { contains "$(post 127.0.3.1:7000 "/stamp?ms=1500" "$key" slow)" "Almondquay-Result: 4007"; }
# Another failure domain must detect the death first: far_timeout is 13 s with 8 hosts.
expect "after the host that ran it died, the outcome is unknown" wait_until 14 gone
expect "still no key ran twice" equal "$(repeated_keys)" 0
cat "$work/stamps.txt"
finish
