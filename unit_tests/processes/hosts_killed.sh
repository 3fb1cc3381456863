#!/usr/bin/env bash
# Entry hosts are killed during requests and while they transfer bodies: callers see a closed
# connection, never a truncated answer that looks complete, and a resend to another host is served.
# A graceful stop loses no request.
. "$(dirname "$0")/checks.sh"
deploy

caller --service archive --path "/sheets" --bytes 30000000 --connections 4 --rate 0 --seconds 6 \
    --resends 3 >"$work/large.txt" &
large=$!
caller --service ledger --path "/tickets?ms=20" --rate 150 --seconds 6 --resends 3 \
    >"$work/small.txt" &
small=$!
sleep 1.5
kill -KILL "$(pid_of host-1-1)"
sleep 1.5
kill -TERM "$(pid_of host-2-1)"
wait "$large" "$small"

# At least nine tenths of the finished requests, and one for each connection. The total depends on
# the machine's speed, so it is not checked.
mostly_served() {
    awk '/^(served|lost|wrong|refused)/ {all += $NF} /^served/ {served = $NF}
        END {print "  " served " of " all " served"; exit !(served >= 4 && served * 10 >= all * 9)}' "$1"
}
for size in large small; do
    expect "$size: no answer was truncated or for another request" equal "$(count_of "$work/$size.txt" wrong)" 0
    expect "$size: no request was lost after resends" equal "$(awk '/^lost/{print $NF}' "$work/$size.txt")" 0
    expect "$size: most requests were served" mostly_served "$work/$size.txt"
done
ended() { ! kill -0 "$(pid_of host-2-1)" 2>/dev/null; }
expect "the stopped host ended by itself" wait_until 10 ended
expect "it exited gracefully" grep -q "event=stopped" "$work/host-2-1.out"
expect "no target exceeded its slots" equal "$(over_limit)" 0
finish
