# Shared by the scripts of the review; sourced by review/N/run.sh. Starts entry hosts with the command of the deploy
# file and the settings of deploy/entry-host.ini, and the stand-ins of review/bin, on loopback addresses.
#
# A script ends with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 the disruption
# is left out: each script reads TROUBLE into `trouble`. What was sent, answered and run is written to record.txt beside the script.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
daemon=$PWD/target/source/almondquayd/almondquayd
bin=$PWD/review/bin
record=$here/record.txt
work=$(mktemp -d)
pids=()
: >"$record"

end_all() {
    local pid
    for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null; done
    wait 2>/dev/null
    rm -rf "$work"
}
trap end_all EXIT

cannot_run() {
    echo "cannot run: $*" >&2
    exit 2
}
for program in "$daemon" "$bin/store" "$bin/backend" "$bin/client"; do
    [ -x "$program" ] || cannot_run "$program is missing: run the build of the deploy file and review/build.sh"
done

# An address range of this run, so that runs beside each other do not meet.
net=127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))
port() { "$bin/client" port "$1" || cannot_run "no free port"; }
note() { echo "$(date +%s%3N) $*" >>"$record"; }

start() { # name command...: the process id is then in pid[name]
    local name=$1
    shift
    "$@" >>"$work/$name.out" 2>&1 &
    pid[$name]=$!
    pids+=($!)
    disown $!
}
declare -A pid front ready peers backend_at

start_store() {
    store=$net.1:$(port "$net.1")
    start store "$bin/store" "$store"
}

start_backend() { # id number slots
    backend_at[$1]=$net.$((100 + $2)):$(port "$net.$((100 + $2))")
    start "$1" "$bin/backend" "${backend_at[$1]}" "$1" "$3" "$record"
}

name_host() { # name number: chooses its addresses; all hosts are named before the first one starts
    local ip=$net.$((10 + $2))
    front[$1]=$ip:$(port "$ip")
    ready[$1]=$ip:$(port "$ip")
    peers[$1]=$ip:$(port "$ip")
}

start_host() { # name zone weight seed...
    local name=$1 zone=$2 weight=$3 ip=${front[$1]%:*}
    shift 3
    {
        printf '[host]\nid = %s\nfailure_domain = %s\naddress = %s\n' "$name" "$zone" "$ip"
        printf 'callers = %s\nreadiness = %s\npeers = %s\n' "${front[$name]}" "${ready[$name]}" "${peers[$name]}"
        printf 'weight = %s\nfailure_domains[] = north-a/north\nfailure_domains[] = north-b/north\n' "$weight"
        printf '[platform]\nstore = registry\naddress = %s\ntimeout_ms = 1000\n' "$store"
        printf '[peers]\nshared_secret = almondquay-entry-hosts\n'
        for seed in "$@"; do printf 'seeds[] = %s\n' "${peers[$seed]}"; done
        printf 'news_within_s = 2\n[traffic]\nthreads = 1\nmax_connections = 3000\n'
        printf '[stop]\ngrace_s = 6\n[budgets]\nretry_ratio = 0.2\nretry_slack = 62\nretry_window_s = 10\n'
        printf 'cold_factor = 1.5\ncold_slack = 5\nlookup_ttl_s = 2\n'
    } >"$work/$name.ini"
    start "$name" "$daemon" --settings "$work/$name.ini"
}

write() { # METHOD KIND/NAME [body]: a call to the store, by a backend or the operator
    printf '%s' "${3:-}" | "$bin/client" write "$store" "$1" "$2" "$record"
}

backend_entry() { # id state
    printf '{"service":"s","address":"%s","zone":"north-a","version":"v1","slots":3,"state":"%s","cold_left_s":0,"sequence":1,"born":1700000000000}' \
        "${backend_at[$1]}" "$2"
}

route() { # name kind
    printf '{"name":"%s","host":"a.example","path_prefix":"/%s/","kind":"%s","timeout_s":4,"target_latency_s":1,"priority":2,"service":"s","max_attempts":2,"sticky":true,"home_regions":[]}' \
        "$1" "$1" "$2"
}

write_manifest() {
    write PUT config/main "{\"version\":\"00000002\",\"routes\":[$(route view idempotent),$(route stamp non_idempotent)],\"services\":[{\"name\":\"s\",\"health_path\":\"/health\",\"max_conns\":390,\"warmup_s\":3,\"cold_per_s\":1000}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":1000000,\"header_timeout_s\":3,\"idle_timeout_s\":15}}"
}

wait_until() { # seconds command...
    local tries=$(($1 * 10))
    shift
    until "$@" >/dev/null 2>&1; do
        tries=$((tries - 1))
        [ "$tries" -gt 0 ] || return 1
        sleep 0.1
    done
}

is_ready() { "$bin/client" ready "${ready[$1]}"; }
serves() { is_ready "$1" && "$bin/client" get "${front[$1]}" "/view/first?bytes=10" "first-$1-$RANDOM" "$record"; }

verdict() { # number-of-breaks what
    note "verdict: $2: $1"
    echo "$2: $1"
    [ "$1" -eq 0 ] && exit 0
    exit 1
}
