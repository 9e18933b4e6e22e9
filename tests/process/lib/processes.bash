# Helpers for tests that run several processes of the program on loopback. The variable `anvilmill`
# must be set to the path of the program.

folder=$(mktemp -d)
pids=()
failures=0

cleanup() {
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null; done
    wait 2>/dev/null
    rm -rf "$folder"
}
trap cleanup EXIT

fail() {
    echo "FAILED: $1"
    failures=$((failures + 1))
}

# Repeats a command every 100 ms until it succeeds, at most 300 times.
retry() {
    for _ in $(seq 300); do "$@" >/dev/null 2>&1 && return 0; sleep 0.1; done
    return 1
}

# Prints the result line that check_tests.py reads, and exits.
finish() {
    echo "$([ $failures = 0 ] && echo 1 || echo 0) passed, $failures failed"
    exit $((failures > 0))
}

start_executor() {
    "$anvilmill" executor --port 0 --print-starts >"$folder/$1.out" 2>&1 &
    pids+=($!)
    retry grep -q listening "$folder/$1.out" || fail "$1 does not listen"
}

start_platform() {
    "$anvilmill" platform-standin --listen 127.0.0.1:0 >"$folder/platform.out" 2>&1 &
    pids+=($!)
    retry grep -qE '127\.0\.0\.1:[1-9]' "$folder/platform.out" || fail "the platform does not listen"
}

listening_at() { grep -oE '127\.0\.0\.1:[1-9][0-9]*' "$folder/$1.out" | head -n 1; }

# Starts entry host $1 with the executors e1 and e2 and the additional settings $2.
start_host() {
    cat >"$folder/$1.ini" <<INI
[host]
dataCentre = bole
name = $1
[caller]
port = 0
[backend]
executors = $(listening_at e1), $(listening_at e2)
silenceMs = 200
giveUpMs = 1000
[shutdown]
announceMs = 0
$2
INI
    "$anvilmill" serve --settings "$folder/$1.ini" 2>"$folder/$1.log" &
    pids+=($!)
    eval "pid_$1=$!"
    retry grep -q event=host.started "$folder/$1.log" || fail "$1 does not start"
}

host_address() { sed -n 's/.*event=host.started.*callers=\([^ ]*\).*/\1/p' "$folder/$1.log"; }
peer_address() { sed -n 's/.*event=host.started.*peers=\([^ ]*\).*/\1/p' "$folder/$1.log"; }

# Prints column $2 of `anvilmill status` for entry host $1.
status_column() { "$anvilmill" status "$(host_address "$1")" | awk -v column="$2" 'NR==2 {print $column}'; }
