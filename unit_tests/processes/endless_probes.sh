#!/usr/bin/env bash
# Ejected targets answer health probes without end. Guards against a host that keeps these answers until its
# memory is used up, with which the requests of all callers end.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/checks.sh"
. "$here/registry_hosts.sh"

memory_limit_kb=131072 # Memory limit of the daemon on a host.
faulty=40

manifest='{"version":"00000002","routes":[{"name":"r","host":"a.example","path_prefix":"/x/","kind":"idempotent","timeout_s":2,"target_latency_s":0.5,"priority":2,"service":"s","max_attempts":1,"sticky":false,"home_regions":[]},{"name":"f","host":"a.example","path_prefix":"/f/","kind":"idempotent","timeout_s":2,"target_latency_s":0.5,"priority":2,"service":"faulty","max_attempts":1,"sticky":false,"home_regions":[]}],"services":[{"name":"s","health_path":"/healthz","max_conns":400,"protocol":"h1","tls":false,"warmup_s":0,"cold_per_s":1000},{"name":"faulty","health_path":"/healthz","max_conns":400,"protocol":"h1","tls":false,"warmup_s":0,"cold_per_s":1000}],"limits":{"max_header_bytes":16384,"max_body_bytes":1000000,"header_timeout_s":3,"idle_timeout_s":15}}'

target_entry() { # number service
    store PUT "servers/i-$1" "{\"service\":\"$2\",\"address\":\"127.1.1.$1:9000\",\"zone\":\"north-a\",\"version\":\"v1\",\"slots\":20,\"state\":\"ready\",\"cold_left_s\":0,\"sequence\":1,\"born\":5}"
}
ask() { # path: one request
    printf 'GET %s HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: id-%s\r\nX-Deadline-Ms: 2000\r\nConnection: close\r\n\r\n' \
        "$1" "$RANDOM" | raw 127.0.1.1:7000 3
}
served() { contains "$(ask /x/a)" "200 OK"; }
peak_kb() { awk '/^VmHWM/{print $2}' "/proc/$(cat "$work/entry-1.pid" 2>/dev/null || pgrep -f "$work/entry-1.ini")/status"; }
ejected() { grep -c 'event=eject_target' "$work/entry-1.out"; }
half_ejected() { [ "$(ejected)" -ge $((faulty / 2)) ]; }
fail_requests() { # until half of the faulty targets are ejected
    local n
    for n in $(seq 1 40); do ask "/f/$n?fault=drop" >/dev/null & done
    wait $(jobs -p)
    half_ejected
}

start registry "$build/unit_tests/fakes/fake_registry" --listen "$registry"
start target-1 "$build/unit_tests/fakes/fake_target" --listen 127.1.1.1:9000 --id i-1 --slots 20
shapes=(body extension headers trailers)
for n in $(seq 2 $((faulty + 1))); do
    start "target-$n" "$build/unit_tests/fakes/fake_target" --listen "127.1.1.$n:9000" --id "i-$n" \
        --slots 20 --endless-health "$([ $((n % 4)) -eq 0 ] && echo "${shapes[n / 4 % 4]}" || echo body)"
done
start_registry_host 1 north-a "$registry"
wait_until 5 target_entry 1 s || exit 1
for n in $(seq 2 $((faulty + 1))); do target_entry "$n" faulty; done
store PUT config/main "$manifest"
expect "a request is served" wait_until 10 served
expect "half of the faulty targets are ejected" wait_until 20 fail_requests
sleep 6 # Several rounds of probes.
expect "memory stays bounded" at_most "$(peak_kb)" "$memory_limit_kb"
expect "no probe with an endless answer counts" equal "$(grep -c 'event=readmit_target' "$work/entry-1.out")" 0
expect "the host still serves" wait_until 5 served
finish
