#!/usr/bin/env bash
# A failure domain whose targets have all died sends its requests to another one within its grants:
# no request is lost or runs twice, no target exceeds its slots, and requests beyond the grants are
# refused without being run.
. "$(dirname "$0")/checks.sh"
write_grants() {
    printf '[grant mersin-a mersin-b ledger]\nin_flight = 4\nmbit = 40\n' >>"$work/fleet.ini"
}
start_deployment
write_grants
wait_until 10 tool show || exit 1
tool apply "$work/fleet.ini" >/dev/null || exit 1
wait_until 14 in_force_everywhere 1 8 || { say "generation 1 was not in force on 8 hosts in time"; exit 1; }
sleep 1
kill -KILL "$(pid_of target-1-1)" "$(pid_of target-1-2)"
# The hosts detect the dead targets when requests to them fail; until then the retry budget may refuse
# a few requests.
for _ in 1 2 3 4 5 6 7 8; do
    get 127.0.1.1:7000 ledger "/x" >/dev/null
    get 127.0.1.2:7000 ledger "/x" >/dev/null
done
sleep 0.5

answer=$(get 127.0.1.1:7000 ledger "/x?echo=far")
expect "a host without targets serves through another domain" contains "$answer" "200 OK"
key=$(make_key 3)
first=$(post 127.0.1.1:7000 "/stamp?echo=one" "$key" body)
again=$(post 127.0.3.1:7000 "/stamp?echo=one" "$key" body)
expect "a non-repeatable request is spilled too" contains "$first" "Almondquay-Outcome: ran"
expect "its resend elsewhere gets the first answer" contains "$again" "Almondquay-Replayed: yes"

answer=$(printf 'POST /stamp HTTP/1.1\r\nHost: ledger\r\nAlmondquay-Spill: 00112233445566778899aabbccddeeff\r\nContent-Length: 1\r\nConnection: close\r\n\r\nx' | raw 127.0.2.1:7000 2)
expect "a forged spill header does not bypass the claim" contains "$answer" "Almondquay-Result: 4001"

"$build/unit_tests/fakes/fake_caller" --direct 127.0.1.1:7000,127.0.1.2:7000 --service ledger \
    --path "/tickets?ms=50" --connections 24 --seconds 4 >"$work/storm.txt"
expect "no answer was truncated or for another request" equal "$(count_of "$work/storm.txt" wrong)" 0
expect "no request was lost" equal "$(awk '/^lost/{print $NF}' "$work/storm.txt")" 0
expect "refusals say that the request has not run" equal "$(grep refused "$work/storm.txt" | grep -vc not-run)" 0
# 4 requests in flight of 50 ms each are 80 per second, for 4 s plus at most 0.5 s until the last one ends.
expect "no more requests than granted were in flight" at_most "$(count_of "$work/storm.txt" served)" 360
expect "most of the grant was used" test "$(count_of "$work/storm.txt" served)" -gt 160
over=0
for n in 1 2; do
    over=$((over + $(http_get "127.1.2.$n:9000" /stats | awk '/^over_limit /{print $2}')))
done
expect "no target exceeded its slots" equal "$over" 0

begin=$(date +%s%3N)
get 127.0.1.1:7000 ledger "/x?bytes=1000000" >/dev/null
took=$(($(date +%s%3N) - begin))
# 40 Mbit/s split over 2 x 2 paths with 1 request each: 1.25 MB/s per request.
expect "a large answer keeps to the granted rate ($took ms)" test "$took" -ge 700
cat "$work/storm.txt"
finish
