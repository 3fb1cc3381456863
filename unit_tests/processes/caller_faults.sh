#!/usr/bin/env bash
# Targets that send truncated, late, duplicate, malformed or no answers, and callers that send
# malformed, oversized or slow requests: each failure is refused with its result code, no truncated
# answer passes for a complete one, and other callers are unaffected.
. "$(dirname "$0")/checks.sh"
deploy
host=127.0.1.1:7000

caller --service ledger --path "/tickets?ms=5" --rate 50 --seconds 14 >"$work/others.txt" &
others=$!

answer=$(get "$host" ledger "/x?bytes=5&echo=1")
expect "a plain request is served" contains "$answer" "200 OK"
closed_in_time() { printf 'GET /x HTTP/1.1\r\nHost: ledger\r\nConnection: close\r\n\r\n' | { exec 7<>"/dev/tcp/${host%:*}/${host#*:}"; cat >&7; timeout 4 cat <&7 >/dev/null; }; }
expect "a connection is closed when the caller asks for it" closed_in_time
expect "its answer says that it ran" contains "$answer" "Almondquay-Outcome: ran"

answer=$(post "$host" "/stamp?fault=cut" "$(make_key 1)" x)
expect "an answer truncated in its only piece is not passed on as complete" contains "$answer" "Almondquay-Result: 3010"
expect "its outcome is unknown" contains "$answer" "Almondquay-Outcome: unknown"

answer=$(get "$host" ledger "/x?fault=garbage" "Almondquay-Deadline-Ms: 1000")
expect "an answer that is not HTTP is refused" contains "$answer" "Almondquay-Result: 3011"

hanging=$(make_key 3)
answer=$(get "$host" ledger "/x?fault=never" "Almondquay-Deadline-Ms: 700" "Idempotency-Key: $hanging")
expect "a request to a target that never answers ends at the deadline" contains "$answer" "Almondquay-Result: 3008"

cancelled() { for n in 1 2; do http_get "127.1.1.$n:9000" /stats; done | awk '/^cancelled/{sum += $2} END{print sum + 0}'; }
expect "the request is cancelled at the target" test "$(cancelled)" -ge 1

# Pauses the other caller, so that its requests come in bursts that use all slots of the targets.
stall_now_and_then() {
    local process i
    process=$(cat "/proc/$others/task/$others/children")
    for i in 1 2 3 4 5; do
        kill -STOP $process
        sleep 0.8
        kill -CONT $process
        sleep 0.4
    done
}
stall_now_and_then &
bursts=$!

answer=$(get "$host" ledger "/x?fault=twice&bytes=3"; get "$host" ledger "/x?bytes=4&echo=mine")
expect "a second answer is never given to another request" contains "$answer" "Echo: mine"

answer=$(printf 'NONSENSE\r\n\r\n' | raw "$host" 2)
expect "a malformed request is refused" contains "$answer" "Almondquay-Result: 3001"

answer=$(printf 'GET / HTTP/1.1\r\nHost: ledger\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n' | raw "$host" 2)
expect "a request with both Content-Length and Transfer-Encoding is refused" contains "$answer" "Almondquay-Result: 3001"

answer=$({ printf 'GET / HTTP/1.1\r\nHost: ledger\r\nX: '; head -c 20000 /dev/zero | tr '\0' 'x'; printf '\r\n\r\n'; } | raw "$host" 2)
expect "an oversized header is refused" contains "$answer" "Almondquay-Result: 3002"

answer=$({ printf 'GET / HTTP/1.1\r\nHost: led'; sleep 11; } | raw "$host" 2)
expect "a slow header is refused" contains "$answer" "Almondquay-Result: 3004"

answer=$(get "$host" nobody "/")
expect "an unknown service is refused" contains "$answer" "Almondquay-Result: 3005"

answer=$(printf 'POST /stamp HTTP/1.1\r\nHost: ledger\r\nContent-Length: 1\r\nConnection: close\r\n\r\nx' | raw "$host" 2)
expect "a non-repeatable request needs an idempotency key" contains "$answer" "Almondquay-Result: 4001"

answer=$({ printf 'POST /stamp HTTP/1.1\r\nHost: ledger\r\nIdempotency-Key: %s\r\nContent-Length: 200000\r\nConnection: close\r\n\r\n' "$(make_key 2)"; head -c 200000 /dev/zero; } | raw "$host" 3)
expect "a body too large for its route is refused" contains "$answer" "Almondquay-Result: 3003"

attempts_of() { for n in 1 2 3; do http_get "127.1.1.$n:9000" /keys; done | grep -c "$1"; }
expect "a request that hangs at targets is sent to two of them at most" at_most "$(attempts_of "$hanging")" 2

wait "$bursts" "$others"
expect "other callers got only complete answers to their own requests" equal "$(count_of "$work/others.txt" wrong)" 0
expect "other callers lost no request" equal "$(awk '/^lost/{print $NF}' "$work/others.txt")" 0
expect "no target exceeded its slots" equal "$(over_limit)" 0
finish
