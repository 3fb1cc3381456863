#!/usr/bin/env bash
# The time-out of a route becomes shorter than its requests took; later its targets turn slow for a while and need nearly
# all of the time. Guards against a route whose requests are refused for good although its targets would answer in time.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/checks.sh"
. "$here/registry_hosts.sh"

ask() { # work in ms: the status
    { printf 'GET /report/%s?ms=%s HTTP/1.1\r\nHost: s.example\r\nX-Request-Id: id-%s\r\nX-Deadline-Ms: 5000\r\nConnection: close\r\n\r\n' "$RANDOM$RANDOM" "$1" "$RANDOM"; } |
        raw 127.0.1.1:7000 7 | head -1 | awk '{print $2}'
}
served() { equal "$(ask 0)" 200 >/dev/null; }
ask_together() { # requests work: in rounds of 12 at a time, the status of each
    local n
    for n in $(seq "$1"); do
        ask "$2" &
        [ $((n % 12)) -ne 0 ] || wait $(jobs -p)
    done
    wait $(jobs -p)
}
served_of() { ask_together "$1" "$2" | grep -c 200; } # requests work
manifest() { # version timeout_s
    store PUT config/main "{\"version\":\"$1\",\"routes\":[{\"name\":\"report\",\"host\":\"s.example\",\"path_prefix\":\"/report/\",\"kind\":\"idempotent\",\"timeout_s\":$2,\"target_latency_s\":0.4,\"priority\":2,\"service\":\"s\",\"max_attempts\":1,\"sticky\":false,\"home_regions\":[]}],\"services\":[{\"name\":\"s\",\"health_path\":\"/healthz\",\"max_conns\":200,\"warmup_s\":0,\"cold_per_s\":1000}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":1000000,\"header_timeout_s\":3,\"idle_timeout_s\":15}}"
}
at_least() { [ "$1" -ge "$2" ] || { say "  $1 is less than $2"; return 1; }; }

start registry "$build/unit_tests/fakes/fake_registry" --listen "$registry"
registry_threads=1 start_registry_host 1 north-a "$registry" # Each thread has estimates of its own.
start target-1 "$build/unit_tests/fakes/fake_target" --listen 127.1.1.1:9000 --id i-1 --slots 50
wait_until 5 store PUT servers/i-1 '{"service":"s","address":"127.1.1.1:9000","zone":"north-a","version":"v1","slots":50,"state":"ready","cold_left_s":0,"sequence":1,"born":5}' || exit 1
manifest 00000002 3
expect "a request is served" wait_until 10 served

ask_together 96 800 >/dev/null
manifest 00000004 0.5
sleep 2.5
expect "a request is served in the shorter time" equal "$(ask 50)" 200
expect "all further ones are" equal "$(served_of 24 50)" 24
expect "the log names the trial" grep -q "event=route_trial .*route=report" "$work/entry-1.out"

ask_together 96 470 >/dev/null # The targets are slow for a while.
sleep 1
expect "a request is served once the targets are fast again" equal "$(ask 50)" 200
expect "all further ones are then" equal "$(served_of 24 50)" 24

manifest 00000006 3
sleep 2.5
ask_together 96 800 >/dev/null
manifest 00000008 0.5
sleep 2.5
prompt=0
for n in $(seq 20); do
    began=$(date +%s%3N)
    [ "$(ask 800)" = 503 ] && [ $(($(date +%s%3N) - began)) -lt 250 ] && prompt=$((prompt + 1))
done
expect "most requests that would take too long are refused at once" at_least "$prompt" 15
finish
