# Shared by the process tests: starts a deployment, checks expectations and ends all processes.
set -u
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 1
build=${ALMONDQUAY_BUILD:-$PWD/build}
work=$(mktemp -d)
. tools/deployment.sh
failures=0
trap 'stop_all; rm -rf "$work"' EXIT

fail() {
    say "FAILED: $*"
    failures=$((failures + 1))
}

expect() { # what command...: the command must succeed
    local what=$1
    shift
    if "$@"; then say "ok: $what"; else fail "$what"; fi
}

at_most() { [ "$1" -le "$2" ] || { say "  $1 is more than $2"; return 1; }; }
equal() { [ "$1" = "$2" ] || { say "  '$1' is not '$2'"; return 1; }; }
contains() { case "$1" in *"$2"*) return 0 ;; *) say "  no '$2' in: $1"; return 1 ;; esac; }

deploy() { # starts a deployment and puts the first fleet text in force on all 8 hosts
    start_deployment
    wait_until 10 tool show || { say "the platform did not start"; exit 1; }
    tool apply "$work/fleet.ini" --reason "first text" >/dev/null || exit 1
    wait_until 14 in_force_everywhere 1 8 || { say "generation 1 was not in force on 8 hosts in time"; exit 1; }
}

fault() { http_post "$platform" "/control?fault=$1&value=${2:-1}"; } # name [value]: injects a fault into the fake platform


raw() { # IP:PORT seconds: sends standard input, prints what comes back
    exec 7<>"/dev/tcp/${1%:*}/${1#*:}" || return 1
    cat >&7
    timeout "$2" cat <&7
    exec 7<&-
}

get() { # IP:PORT service path [header...]: one request, prints header and body
    local at=$1 service=$2 path=$3 headers=
    shift 3
    for h in "$@"; do headers="$headers$h"$'\r\n'; done
    printf 'GET %s HTTP/1.1\r\nHost: %s\r\n%sConnection: close\r\n\r\n' "$path" "$service" \
        "$headers" | raw "$at" 8
}

post() { # IP:PORT path key body: one non-repeatable request to the service ledger
    printf 'POST %s HTTP/1.1\r\nHost: ledger\r\nIdempotency-Key: %s\r\nContent-Length: %s\r\nConnection: close\r\n\r\n%s' \
        "$2" "$3" "${#4}" "$4" | raw "$1" 8
}

make_key() { # number: a version 7 UUID with the current time; different numbers give different keys
    local ms
    ms=$(printf '%012x' "$(date +%s%3N)")
    printf '%s-%s-7%03x-8%03x-%012x' "${ms:0:8}" "${ms:8:4}" $((RANDOM % 4096)) \
        $((RANDOM % 4096)) "$1"
}

repeated_keys() { # how many keys ran more than once, over all targets
    local d n
    for d in 1 2 3 4; do
        for n in 1 2 3; do http_get "127.1.$d.$n:9000" /keys; done
    done | sort | uniq -d | wc -l
}

over_limit() { # how many requests exceeded their target's 3 slots, over all targets
    local d n
    for d in 1 2 3 4; do
        for n in 1 2 3; do http_get "127.1.$d.$n:9000" /stats; done
    done | awk '/^over_limit /{sum += $2} END{print sum + 0}'
}

count_of() { awk -v w="$2" '$1 == w {print $NF}' "$1"; } # file label: a count from the fake caller's table

finish() {
    [ "$failures" -eq 0 ] && say "all expectations met"
    exit $((failures > 0))
}
