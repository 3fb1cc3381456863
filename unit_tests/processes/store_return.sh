#!/usr/bin/env bash
# Guards against changes that hosts miss for good after the store has returned from an older copy:
# its counter is back at the revision that they watch from, so that their watches go on without 410.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/checks.sh"
. "$here/registry_hosts.sh"

target_entry() { # number state cold
    store PUT "servers/i-$1" "{\"service\":\"s\",\"address\":\"127.1.1.$1:9000\",\"zone\":\"south-a\",\"version\":\"v1\",\"slots\":3,\"state\":\"$2\",\"cold_left_s\":$3,\"born\":5}"
}
drill() { http_post "$registry" "/control?fault=$1"; }
logged() { grep -q "event=$2 .*$3" "$work/entry-$1.out"; }
evacuates() { logged "$1" evacuate south-a; }
configuration=$(cat <<'END'
{"version":"00000002","routes":[{"name":"r","host":"a.example","path_prefix":"/x/","kind":"idempotent","timeout_s":2,"target_latency_s":0.5,"priority":2,"service":"s","max_attempts":2,"sticky":true,"home_regions":[]}],"services":[{"name":"s","health_path":"/healthz","max_conns":100,"protocol":"h1","tls":false,"warmup_s":1,"cold_per_s":4}],"limits":{"max_header_bytes":16384,"max_body_bytes":1000000,"header_timeout_s":3,"idle_timeout_s":15}}
END
)

start registry "$build/unit_tests/fakes/fake_registry" --listen "$registry"
wait_until 5 store PUT config/main "$configuration" || exit 1
target_entry 1 ready 0
start_registry_host 1 north-a "$registry"
start_registry_host 2 south-a "$registry"
expect "host 1 becomes ready" wait_until 5 ready 1
expect "host 2 becomes ready" wait_until 5 ready 2
sleep 1

# Three revisions are lost, and three others are given out again.
drill copy
for cold in 3 2 1; do target_entry 2 ready $cold; done
sleep 4 # Until the watches go on from the last of them.
drill return
store PUT evacuations/south-a '{"spec":{}}'
target_entry 3 ready 0
target_entry 4 ready 0
expect "host 1 learns of the evacuation within 5 s" wait_until 5 evacuates 1
expect "host 2 learns of the evacuation within 5 s" wait_until 5 evacuates 2
expect "host 1 reports the new era" logged 1 store_era "era:2 era_before:1"
expect "host 2 reports the new era" logged 2 store_era "era:2 era_before:1"
registered() { [ "$(printf 'GET /-/objects/almondquay-hosts HTTP/1.0\r\n\r\n' | raw "$registry" 1 | grep -o '"name":"entry-[12]"' | sort -u | wc -l)" -eq 2 ]; }
expect "both hosts are registered" wait_until 4 registered
expect "both hosts are ready" ready 1
finish
