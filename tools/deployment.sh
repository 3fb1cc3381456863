# Functions that start a small deployment on loopback addresses and stop it.
# Sourced by tools/demo, tools/measure and the process tests; needs $build and $work.
#
# Topology: regions mersin and gaziantep with failure domains a and b each; in each domain two entry
# hosts, two targets of the service ledger and one of archive. Host N of domain D listens on
# 127.0.D.N, target N on 127.1.D.N.

platform=127.0.0.2:7100
pids=()

say() { printf '%s\n' "$*"; }

start() { # name command...: runs a process in the background and remembers its id
    local name=$1
    shift
    "$@" >"$work/$name.out" 2>"$work/$name.log" &
    pids+=($!)
    disown $! # Keeps the shell from reporting processes that a test kills.
    eval "pid_${name//-/_}=$!"
}

pid_of() { eval "echo \$pid_${1//-/_}"; }

stop_all() {
    local pid
    for pid in "${pids[@]}"; do kill -CONT "$pid" 2>/dev/null; kill -KILL "$pid" 2>/dev/null; done
    wait 2>/dev/null
    return 0
}

domains=(mersin-a mersin-b gaziantep-a gaziantep-b)

write_fleet() { # file: writes the fleet text of the deployment
    local d n
    {
        printf '[fleet]\nname = kaju\nlookup_ttl_ms = 1000\n'
        printf '[region mersin]\n[region gaziantep]\n'
        printf '[link mersin gaziantep]\nlimit_mbit = 4000\n'
        printf '[callers coast]\nregion = mersin\nblocks = 127.1.0.0/16\n'
        printf '[callers inland]\nregion = gaziantep\nblocks = 127.2.0.0/16\n'
        printf '[service ledger]\ndeadline_ms = 4000\nnot_repeatable = /stamp\n'
        printf '[service archive]\ndepends_on = ledger\nrank = 2\n'
        for d in 1 2 3 4; do
            printf '[failure_domain %s]\nregion = %s\n' "${domains[d-1]}" "${domains[d-1]%-?}"
            for n in 1 2; do
                printf '[host %s-%s]\nfailure_domain = %s\naddress = 127.0.%s.%s\n' \
                    "${domains[d-1]}" "$n" "${domains[d-1]}" "$d" "$n"
                printf '[target ledger-%s-%s]\nservice = ledger\nfailure_domain = %s\n' \
                    "$d" "$n" "${domains[d-1]}"
                printf 'address = 127.1.%s.%s:9000\n' "$d" "$n"
            done
            printf '[target archive-%s]\nservice = archive\nfailure_domain = %s\naddress = 127.1.%s.3:9000\n' \
                "$d" "${domains[d-1]}" "$d"
        done
    } >"$1"
}

write_settings() { # file domain-number host-number, or only a file for the operators' tool
    {
        if [ $# -eq 3 ]; then
            printf '[host]\nid = %s-%s\nfailure_domain = %s\naddress = 127.0.%s.%s\n' \
                "${domains[$2-1]}" "$3" "${domains[$2-1]}" "$2" "$3"
        fi
        printf '[platform]\naddress = %s\ntimeout_ms = 1000\n' "$platform"
        printf '[peers]\nshared_secret = a secret for the demo\n'
        printf 'seeds = 127.0.1.1:7001, 127.0.2.1:7001, 127.0.3.1:7001, 127.0.4.1:7001\n'
        [ $# -ne 3 ] || printf '%s' "${host_settings:-}" # Further sections, set by the test.
    } >"$1"
}

start_host() { # domain-number host-number
    local name="host-$1-$2"
    write_settings "$work/$name.ini" "$1" "$2"
    start "$name" "$build/source/almondquayd/almondquayd" --settings "$work/$name.ini"
}

start_deployment() {
    local d n
    write_fleet "$work/fleet.ini"
    write_settings "$work/tool.ini"
    start platform "$build/unit_tests/fakes/fake_platform" --listen "$platform"
    for d in 1 2 3 4; do
        for n in 1 2 3; do
            start "target-$d-$n" "$build/unit_tests/fakes/fake_target" --listen "127.1.$d.$n:9000"
        done
        for n in 1 2; do start_host "$d" "$n"; done
    done
}

tool() { "$build/source/almondquay/almondquay" "$@" --settings "$work/tool.ini"; }

wait_until() { # seconds command...: polls until the command succeeds
    local tries=$(($1 * 10))
    shift
    while ! "$@" >/dev/null 2>&1; do
        tries=$((tries - 1))
        [ "$tries" -gt 0 ] || return 1
        sleep 0.1
    done
}

in_force_everywhere() { # generation hosts: whether that many hosts have it in force
    [ "$(tool status --json | grep -o "\"in_force\":$1," | wc -l)" -eq "$2" ]
}

caller() { # arguments...: runs the fake caller with the deployment's hosts as seeds
    "$build/unit_tests/fakes/fake_caller" \
        --seeds 127.0.1.1:7000,127.0.2.2:7000,127.0.3.1:7000,127.0.4.2:7000 "$@"
}

http_get() { # IP:PORT path: prints the body
    local host=${1%:*} port=${1#*:}
    exec 9<>"/dev/tcp/$host/$port" || return 1
    printf 'GET %s HTTP/1.0\r\nHost: x\r\n\r\n' "$2" >&9
    timeout 2 cat <&9 | sed '1,/^\r*$/d'
    exec 9<&-
}

http_post() { # IP:PORT path
    exec 8<>"/dev/tcp/${1%:*}/${1#*:}" || return 1
    printf 'POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\nConnection: close\r\n\r\n' "$2" >&8
    timeout 2 cat <&8 >/dev/null
    exec 8<&-
}
