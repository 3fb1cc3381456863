# Shared by the scripts of the cases: a small deployment on loopback addresses, with the programs
# that the deploy file and review/build-2.sh build. Sourced by review/N/run.sh.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
stand_ins=$root/target/review-2
daemon=$root/target/source/almondquayd/almondquayd
record=$here/record.txt
work=$(mktemp -d) || exit 2
pids=()

end_all() {
    local pid
    for pid in "${pids[@]}"; do kill -CONT "$pid" 2>/dev/null; kill -KILL "$pid" 2>/dev/null; done
    wait 2>/dev/null
    rm -rf "$work"
}
trap end_all EXIT
trap 'exit 2' INT TERM

now_ms() { "$stand_ins/note"; } # the steady clock, as in the stand-ins' lines
note() { "$stand_ins/note" "$record" "$*" >/dev/null; }
give_up() { note "cannot run: $*"; echo "cannot run: $*" >&2; exit 2; }

start() { # name command...
    local name=$1
    shift
    "$@" >"$work/$name.out" 2>&1 &
    eval "pid_${name//-/_}=$!"
    pids+=($!)
    disown $!
}
pid_of() { eval "echo \$pid_${1//-/_}"; }
ended() { ! kill -0 "$1" 2>/dev/null; }

wait_until() { # seconds command...
    local tries=$(($1 * 20))
    shift
    until "$@" >/dev/null 2>&1; do
        tries=$((tries - 1))
        [ "$tries" -gt 0 ] || return 1
        sleep 0.05
    done
}

send() { # IP:PORT: sends standard input, prints what comes back within 2 s
    exec 7<>"/dev/tcp/${1%:*}/${1#*:}" || return 1
    cat >&7
    timeout 2 cat <&7
    exec 7<&-
}

request() { # IP:PORT method path [body]
    printf '%s %s HTTP/1.1\r\nHost: x\r\nContent-Length: %s\r\nConnection: close\r\n\r\n%s' \
        "$2" "$3" "${#4}" "$4" | send "$1"
}

operator() { # method kind/name spec: a call of the operator, acknowledged by the store
    request "$store" "$1" "/-/objects/$2" "{\"spec\":$3}" | grep -q '^HTTP/1.1 200'
}

route() { # name prefix kind service [timeout_s [sticky]]
    printf '{"name":"%s","host":"ficu95.example","path_prefix":"%s","kind":"%s","timeout_s":%s,"target_latency_s":0.4,"priority":2,"service":"%s","max_attempts":2,"sticky":%s,"home_regions":[]}' \
        "$1" "$2" "$3" "${5:-3}" "$4" "${6:-false}"
}

manifest() { # version route...: the operator puts a manifest
    local version=$1 routes
    shift
    routes=$(IFS=,; echo "$*")
    operator PUT config/main "{\"version\":\"$version\",\"routes\":[$routes],\"services\":[{\"name\":\"huvo11a\",\"health_path\":\"/health\",\"max_conns\":390,\"protocol\":\"h1\",\"tls\":false,\"warmup_s\":3.0,\"cold_per_s\":3.5},{\"name\":\"wuno96b\",\"health_path\":\"/health\",\"max_conns\":390,\"protocol\":\"h1\",\"tls\":false,\"warmup_s\":3.0,\"cold_per_s\":3.5}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_s\":3,\"idle_timeout_s\":15}}"
}

zones=(mersin-liman antep-sanayi izmir-kemalpasa mersin-tarsus antep-nizip izmir-torbali)
regions=(mersin gaziantep izmir mersin gaziantep izmir)

# Addresses that are unlikely to be used by another run at the same time, and free ports.
net=127.$((64 + RANDOM % 128)).$((RANDOM % 256))
[ -x "$daemon" ] || give_up "the deploy file's build is missing"
[ -x "$stand_ins/note" ] || give_up "review/build-2.sh has not run"
mapfile -t port < <("$stand_ins/ports" 7)
[ ${#port[@]} -eq 7 ] || give_up "no free ports"
store=$net.200:${port[0]}
front() { echo "$net.$1:${port[1]}"; }
ready_at() { echo "$net.$1:${port[2]}"; }
control() { echo "$net.$1:${port[3]}"; }
directory() { echo "$net.$1:${port[4]}"; }
backend_at() { echo "$net.$((100 + $1)):${port[6]}"; }

start_store() {
    start store "$stand_ins/store" --listen "$store" --record "$record"
    wait_until 5 request "$store" GET /-/objects/config "" || give_up "the store does not answer"
}

start_server() { # number service [argument...]: in the zone of its number
    local n=$1 service=$2
    shift 2
    start "server-$n" "$stand_ins/server" --id "i-0000000$n" --service "$service" \
        --zone "${zones[$(((n - 1) % 6))]}" --listen "$(backend_at "$n")" --store "$store" \
        --record "$record" "$@"
}

# The settings are the deploy file's template, filled in.
start_host() { # number
    local n=$1 z
    {
        printf '[host]\nid = edge-%s-%s\nfailure_domain = %s\naddress = %s\n' \
            "${zones[$(((n - 1) % 6))]}" "$(((n + 5) / 6))" "${zones[$(((n - 1) % 6))]}" "$net.$n"
        printf 'callers = %s\nlookups = %s\nreadiness = %s\npeers = %s\nweight = 0.2\n' \
            "$(front "$n")" "$(directory "$n")" "$(ready_at "$n")" "$(control "$n")"
        for z in 0 1 2 3 4 5; do printf 'failure_domains[] = %s/%s\n' "${zones[z]}" "${regions[z]}"; done
        printf '[platform]\nstore = registry\naddress = %s\ntimeout_ms = 1000\n' "$store"
        printf '[peers]\nshared_secret = almondquay-entry-hosts\n'
        for z in 1 2 3; do printf 'seeds[] = %s\n' "$(control "$z")"; done
        printf 'news_within_s = 2\n[traffic]\nthreads = 1\nmax_connections = 3000\n'
        printf '[metrics]\naddress = %s\n' "$net.$n:${port[5]}"
        printf '[stop]\ngrace_s = 6\n[budgets]\nretry_ratio = 0.2\nretry_slack = 62\n'
        printf 'retry_window_s = 10\ncold_factor = 1.5\ncold_slack = 5\nlookup_ttl_s = 2\n'
    } >"$work/host-$n.ini"
    start "host-$n" "$daemon" --settings "$work/host-$n.ini"
}

ready() { request "$(ready_at "$1")" GET /-/ready "" | grep -q '^HTTP/1.1 200'; }

: >"$record"
