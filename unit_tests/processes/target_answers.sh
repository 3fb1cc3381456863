#!/usr/bin/env bash
# A target repeats an earlier refusal on a kept connection, or closes in the middle of an answer's header: no caller
# is told that its request did not run, and none gets a complete-looking answer.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/checks.sh"
. "$here/registry_hosts.sh"

ask() { # id path [method]
    printf '%s %s HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 2000\r\nContent-Length: 0\r\nConnection: close\r\n\r\n' \
        "${3:-GET}" "$2" "$1" | raw 127.0.1.1:7000 3
}
runs() { http_get 127.1.1.1:9000 /stats | awk '/^runs /{print $2}'; }
served() { contains "$(ask warm /view/a)" "200 OK"; }
route() { # name kind
    printf '{"name":"%s","host":"a.example","path_prefix":"/%s/","kind":"%s","timeout_s":2,"target_latency_s":0.5,"priority":2,"service":"s","max_attempts":2,"sticky":false,"home_regions":[]}' "$1" "$1" "$2"
}

start registry "$build/unit_tests/fakes/fake_registry" --listen "$registry"
start target-1 "$build/unit_tests/fakes/fake_target" --listen 127.1.1.1:9000 --id i-1 --slots 50
registry_seeds=127.0.1.1:7001 start_registry_host 1 north-a "$registry"
wait_until 5 store PUT servers/i-1 '{"service":"s","address":"127.1.1.1:9000","zone":"north-a","version":"v1","slots":50,"state":"ready","cold_left_s":0,"sequence":1,"born":5}' || exit 1
store PUT config/main "{\"version\":\"00000002\",\"routes\":[$(route view idempotent),$(route stamp non_idempotent)],\"services\":[{\"name\":\"s\",\"health_path\":\"/healthz\",\"max_conns\":200,\"warmup_s\":0,\"cold_per_s\":1000}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":1000000,\"header_timeout_s\":3,\"idle_timeout_s\":15}}"
expect "a request is served" wait_until 10 served

for kind in "GET view" "POST stamp"; do
    read -r method path <<<"$kind"
    for n in 1 2 3; do
        ask "first-$path-$n" "/view/a?fault=repeat" >/dev/null
        before=$(runs)
        answer=$(ask "second-$path-$n" "/$path/a?ms=50" "$method")
        sleep 0.1
        if [ "$(runs)" -gt "$before" ]; then
            case $answer in
            *" 503 "* | *" 429 "* | *" 408 "* | *" 421 "*) fail "a $path that ran is answered: $answer" ;;
            *) say "ok: a $path that ran is not said to be not run" ;;
            esac
        fi
        expect "a $path runs at most once" at_most $(($(runs) - before)) "$([ "$path" = stamp ] && echo 1 || echo 2)"
        sleep 1.2 # Until the host uses the target again after a malformed answer.
    done
done

for shape in 0 1 2; do
    for kind in "GET view" "POST stamp"; do
        read -r method path <<<"$kind"
        answer=$(ask "head-$shape-$path" "/$path/a?fault=head$shape" "$method")
        case $answer in
        *" 502 "*) say "ok: a $path whose answer ends in its header is answered 502 (shape $shape)" ;;
        *) fail "a $path whose answer ends in its header (shape $shape) is answered: $answer" ;;
        esac
        sleep 1.2
    done
done
finish
