# Shared by the scripts of review/11 to review/15: a small deployment on loopback addresses of its
# own, with the daemon as the deploy file runs it and the stand-ins of review/stand-ins-3.
# The caller sets `here`, the folder of its case, and `trouble`, 0 for a run without the disruption.
set -u
cd "$here/../.." || exit 2
daemon=target/source/almondquayd/almondquayd
standins=target/review-3
record=$here/record.txt
work=$(mktemp -d)
net=127.$((RANDOM % 180 + 40)).$((RANDOM % 250 + 1))
store=$net.3:8169
pids=()
declare -A pid_of

stop_all() {
    local pid
    for pid in "${pids[@]}"; do
        kill -CONT "$pid" 2>/dev/null
        kill -KILL "$pid" 2>/dev/null
    done
    wait 2>/dev/null
    rm -rf "$work"
}
trap stop_all EXIT
trap 'exit 2' INT TERM

: >"$record"
note() { printf '%s %s\n' "$(date +%s.%3N)" "$*" | tee -a "$record"; }
cannot_run() { note "could not run: $*"; exit 2; }

for program in "$daemon" "$standins/store" "$standins/backend" "$standins/client"; do
    [ -x "$program" ] || cannot_run "$program is not built"
done

start() { # name command...
    local name=$1
    shift
    "$@" >"$work/$name.out" 2>&1 &
    pids+=($!)
    pid_of[$name]=$!
    disown $!
}

start_store() { start store "$standins/store" --listen "$store"; }

start_backend() { # number service zone [option...]
    start "backend-$1" "$standins/backend" --listen "$net.$((100 + $1)):8300" --id "i-$1" \
        --service "$2" --zone "$3" --store "$store" --runs "$work/runs" "${@:4}"
}

start_host() { # number zone
    local at=$net.$((10 + $1))
    cat >"$work/host-$1.ini" <<END
[host]
id = edge-$2-$1
failure_domain = $2
address = $at
callers = $at:8161
lookups = $at:8164
readiness = $at:8167
peers = $at:8166
weight = 0.2
failure_domains[] = north-a/north
failure_domains[] = south-a/south
failure_domains[] = west-a/west
[platform]
store = registry
address = $store
timeout_ms = 1000
[peers]
shared_secret = almondquay-entry-hosts
seeds[] = $net.11:8166
seeds[] = $net.12:8166
news_within_s = 2
[traffic]
threads = 1
max_connections = 3000
[metrics]
address = $at:9464
[stop]
grace_s = 6
[budgets]
retry_ratio = 0.2
retry_slack = 62
retry_window_s = 10
cold_factor = 1.5
cold_slack = 5
lookup_ttl_s = 2
END
    start "host-$1" "$daemon" --settings "$work/host-$1.ini"
}

call() { # address method path body: prints the status
    local status
    exec 7<>"/dev/tcp/${1%:*}/${1#*:}" || return 1
    printf '%s %s HTTP/1.1\r\nHost: x\r\nContent-Length: %s\r\n\r\n%s' "$2" "$3" "${#4}" "$4" >&7
    IFS=' ' read -r -t 3 _ status _ <&7
    exec 7<&-
    printf '%s' "${status:-none}"
}

route() { # name prefix kind timeout_s service
    printf '{"name":"%s","host":"tickets.example","path_prefix":"%s","kind":"%s","timeout_s":%s,"target_latency_s":0.4,"priority":2,"service":"%s","max_attempts":2,"sticky":false,"home_regions":[]}' "$@"
}

service() { # name
    printf '{"name":"%s","health_path":"/health","max_conns":390,"protocol":"h1","tls":false,"warmup_s":3.0,"cold_per_s":3.5}' "$1"
}

joined() { local IFS=,; printf '%s' "$*"; }

write_manifest() { # version routes services
    local spec
    spec="{\"version\":\"$1\",\"routes\":[$2],\"services\":[$3],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_s\":3,\"idle_timeout_s\":15}}"
    local object="{\"metadata\":{\"name\":\"main\"},\"spec\":$spec}"
    local status
    status=$(call "$store" PUT /-/objects/config/main "$object")
    [ "$status" != 404 ] || status=$(call "$store" POST /-/objects/config "$object")
    case $status in 200 | 201) note "manifest $1 acknowledged by the store" ;; *) cannot_run "the store answers $status" ;; esac
}

is_ready() { [ "$(call "$net.$((10 + $1)):8167" GET /-/ready '' 2>/dev/null)" = 200 ]; }

wait_until() { # seconds command...
    local tries=$(($1 * 10))
    shift
    while ! "$@" 2>/dev/null; do
        tries=$((tries - 1))
        [ "$tries" -gt 0 ] || return 1
        sleep 0.1
    done
}

wait_for_store() { wait_until 5 answers "$store" || cannot_run "the store does not start"; }
answers() { [ "$(call "$1" GET /-/objects/none '')" = 200 ]; }

client() { "$standins/client" "$@"; }

count() { # kind verdict file: attempts of that kind whose verdict begins so
    grep -c -- " $1 .*-> $2" "$3"
}
