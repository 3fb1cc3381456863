#!/usr/bin/env bash
# Randomized soak test: runs real processes on loopback addresses, injects faults from outside, and
# checks the guarantees to callers by what callers and targets observe.
#
#     unit_tests/soak/soak.sh SEED [SECONDS]
#
# The seed determines which faults occur, where, when and for how long; faults overlap. There are four
# entry hosts in two failure domains, six targets and a store, with relays in front of two targets and
# between the store and two hosts. Signals go only to processes started here, by their ids.
seed=${1:?SEED [SECONDS]}
length=${2:-10}
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../processes/checks.sh"
. "$here/../processes/registry_hosts.sh"
RANDOM=$seed
registry_seeds="127.0.1.1:7001, 127.0.1.3:7001"
south_region=north # So that lookups name all hosts.
store_relay=127.0.0.4
hosts=(1 2 3 4)
targets=(1 2 3 4 5 6)
version=1

pick() { local -n from=$1; picked=${from[RANDOM % ${#from[@]}]}; } # array: sets `picked`
wait_ms() { sleep "$(printf '%d.%03d' $(($1 / 1000)) $(($1 % 1000)))"; }
log() { printf '%s %s\n' "$(date +%H:%M:%S.%3N)" "$*" >>"$work/faults.txt"; }

zone_of() { [ "$1" -le "${2}" ] && echo north-a || echo south-a; } # number last: the zone of a host or target; numbers up to `last` are in north-a

register() { # target state: registers the target, with its relay's address if it has one
    local at=127.1.1.$1
    case $1 in 1 | 4) at=127.1.9.$1 ;; esac
    store PUT "servers/i-$1" "{\"service\":\"s\",\"address\":\"$at:9000\",\"zone\":\"$(zone_of "$1" 3)\",\"version\":\"v1\",\"slots\":3,\"state\":\"$2\",\"cold_left_s\":0,\"sequence\":1,\"born\":$(date +%s%3N)}"
}

route() { # prefix kind [host path-prefix]
    printf '{"name":"r-%s","host":"%s","path_prefix":"%s","kind":"%s","timeout_s":2.5,"target_latency_s":0.5,"priority":2,"service":"s","max_attempts":2,"sticky":true,"home_regions":[]}' \
        "$1" "${3:-a.example}" "${4:-/$1/}" "$2"
}

apply_manifest() { # writes a new version with a route named after the version
    version=$((version + 1 + RANDOM % 3))
    store PUT config/main "{\"version\":\"$(printf '%08x' "$version")\",\"routes\":[$(route view idempotent),$(route stamp non_idempotent),$(route "v$version" idempotent),$(route app non_idempotent app.example /)],\"services\":[{\"name\":\"s\",\"health_path\":\"/healthz\",\"max_conns\":200,\"warmup_s\":1,\"cold_per_s\":4}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":1000000,\"header_timeout_s\":3,\"idle_timeout_s\":15}}"
}

start_entry() { # number
    local at=$registry
    case $1 in 1 | 3) at=$store_relay:7100 ;; esac
    log "start entry-$1"
    start_registry_host "$1" "$(zone_of "$1" 2)" "$at"
}

start_target() {
    start "target-$1" "$build/unit_tests/fakes/fake_target" --listen "127.1.1.$1:9000" --id "i-$1" \
        --runs "$work/runs.txt"
}

is_running() { kill -0 "$(pid_of "$1")" 2>/dev/null; }
serves_newest() { contains "$(printf 'GET /v%s/a HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: n\r\nX-Deadline-Ms: 2000\r\nConnection: close\r\n\r\n' "$version" | raw "127.0.1.$1:7000" 3)" "200 OK"; }

callers() { # name seconds
    local seeds=127.0.1.1:7002,127.0.1.2:7002,127.0.1.3:7002,127.0.1.4:7002
    local common=(--registry --keys --seeds "$seeds" --seconds "$2" --resends 3
        --refused "$work/refused.txt")
    "$build/unit_tests/fakes/fake_caller" "${common[@]}" --service a.example --seed "$((seed * 2))" --rate 60 \
        --path "/view/a?ms=20" >"$work/$1-views.txt" &
    callers_pids=($!)
    "$build/unit_tests/fakes/fake_caller" "${common[@]}" --service a.example --seed "$((seed * 2 + 1))" --rate 30 \
        --method POST --path "/stamp/a?ms=30" >"$work/$1-stamps.txt" &
    callers_pids+=($!)
    # A path that has another meaning at other addresses of a host.
    "$build/unit_tests/fakes/fake_caller" "${common[@]}" --service app.example --seed "$((seed * 2 + 100001))" \
        --rate 20 --method POST --path "/-/ready?ms=30" >"$work/$1-marks.txt" &
    callers_pids+=($!)
}

# Faults of hosts and targets come one after the other; those of network paths and of the store overlap
# with them.
strike_host() { # number
    local pid
    pid=$(pid_of "entry-$1")
    case $((RANDOM % 4)) in
    0)
        log "kill entry-$1"
        kill -KILL "$pid"
        wait_ms $((200 + RANDOM % 1200))
        ;;
    1)
        log "stop entry-$1"
        kill -TERM "$pid"
        wait_until 5 eval "! kill -0 $pid" || fail "entry-$1 did not exit within its grace period"
        ;;
    2)
        log "pause entry-$1"
        kill -STOP "$pid"
        wait_ms $((300 + RANDOM % 2200))
        kill -CONT "$pid"
        return
        ;;
    3)
        log "reload entry-$1"
        kill -HUP "$pid"
        return
        ;;
    esac
    cat "$work/entry-$1.out" >>"$work/entry-$1.all"
    start_entry "$1"
}

strike_target() { # number
    local kind=$((RANDOM % 3))
    if [ "$kind" -eq 0 ]; then
        log "kill target-$1"
        kill -KILL "$(pid_of "target-$1")"
        wait_ms $((300 + RANDOM % 1500))
        start_target "$1"
        wait_ms 100
    elif [ "$kind" -eq 1 ]; then
        local statements=("limit=$((1 + RANDOM % 5))" "leaving=1" "pause=$((1 + RANDOM % 3))" "limit=2&leaving=1" "limit=x")
        pick statements
        log "$picked at target-$1"
        http_get "127.1.1.$1:9000" "/state?$picked" >/dev/null
        wait_ms $((500 + RANDOM % 2500))
        http_get "127.1.1.$1:9000" "/state?limit=-&leaving=-&pause=-" >/dev/null
    else
        log "drain target-$1"
        register "$1" draining
        wait_ms $((500 + RANDOM % 1500))
    fi
    register "$1" ready
}

strike_path() { # control address of a relay
    local faults=(silence cut reset delay oneway)
    pick faults
    log "$picked at relay $1"
    http_post "$1" "/control?fault=$picked"
    wait_ms $((300 + RANDOM % 2000))
    http_post "$1" "/control?fault=heal"
}

strike_store() {
    local faults=(down deaf forget)
    pick faults
    log "store $picked"
    http_post "$registry" "/control?fault=$picked&value=1"
    wait_ms $((300 + RANDOM % 2500))
    [ "$picked" = forget ] || http_post "$registry" "/control?fault=$picked&value=0"
}

start registry "$build/unit_tests/fakes/fake_registry" --listen "$registry"
start relay-store "$build/unit_tests/fakes/fake_relay" --listen "$store_relay:7100" --to "$registry" \
    --control "$store_relay:7101"
for n in 1 4; do
    start "relay-$n" "$build/unit_tests/fakes/fake_relay" --listen "127.1.9.$n:9000" \
        --to "127.1.1.$n:9000" --control "127.1.9.$n:9001"
done
for n in "${targets[@]}"; do start_target "$n"; done
wait_until 5 store PUT servers/forged '{"service":5}' || exit 1
for n in "${targets[@]}"; do register "$n" ready; done
apply_manifest
for n in "${hosts[@]}"; do start_entry "$n"; done
for n in "${hosts[@]}"; do wait_until 10 ready "$n" || exit 1; done
touch "$work/runs.txt" "$work/refused.txt"

callers storm "$length"
ends=$((SECONDS + length - 3))
while [ "$SECONDS" -lt "$ends" ]; do
    kind=$((RANDOM % 6))
    case $kind in
    0 | 1) pick hosts; strike_host "$picked" ;;
    2) pick targets; strike_target "$picked" ;;
    3) relays=("127.1.9.1:9001" "127.1.9.4:9001" "$store_relay:7101"); pick relays
       strike_path "$picked" & overlapping+=($!) ;;
    4) strike_store & overlapping+=($!) ;;
    5) log "manifest"; apply_manifest ;;
    esac
    wait_ms $((RANDOM % 500))
done
wait "${overlapping[@]}" 2>/dev/null
http_post "$registry" "/control?fault=down&value=0"
http_post "$registry" "/control?fault=deaf&value=0"
apply_manifest
wait "${callers_pids[@]}"

for n in "${hosts[@]}"; do
    expect "entry-$n runs" is_running "entry-$n"
    expect "entry-$n is ready again" wait_until 15 ready "$n"
    expect "entry-$n has the newest manifest in force" wait_until 15 serves_newest "$n"
done
expect "no non-repeatable request ran twice" equal "$(sort "$work/runs.txt" | uniq -d | wc -l)" 0
expect "no refused request had run" equal \
    "$(sort -u "$work/runs.txt" | comm -12 - <(sort -u "$work/refused.txt") | wc -l)" 0
for kind in views stamps marks; do
    expect "no $kind got a wrong answer" equal "$(count_of "$work/storm-$kind.txt" wrong)" 0
    expect "some $kind were served" at_most 1 "$(count_of "$work/storm-$kind.txt" served)"
done
sleep 5 # After that the faults no longer affect how hosts treat targets and peers.
callers calm 2
wait "${callers_pids[@]}"
for kind in views stamps marks; do
    expect "after the faults have ended no $kind are lost" equal "$(awk '/^lost/{print $NF}' "$work/calm-$kind.txt")" 0
    expect "after the faults have ended no $kind are refused" equal "$(grep -c refused "$work/calm-$kind.txt")" 0
done
if [ "$failures" -gt 0 ] && [ -n "${SOAK_KEEP:-}" ]; then
    mkdir -p "$SOAK_KEEP" && cp -r "$work" "$SOAK_KEEP/seed-$seed"
fi
say "seed $seed: $(grep -vc start "$work/faults.txt") faults, $(sort -u "$work/runs.txt" | wc -l) stamps ran, $(wc -l <"$work/refused.txt") refusals"
finish
