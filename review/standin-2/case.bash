# Helpers for the scripts in review/6/ to review/10/: entry hosts of the deploy file as processes of their own, on
# loopback addresses of a network of their own. Source it from a case's folder.

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
case_folder=$(cd "$(dirname "$0")" && pwd)
record=${RECORD:-$case_folder/record.txt}
anvilmill=$root/target/anvilmill
standin=$root/target/review-2/review_standin
folder=$(mktemp -d)

cleanup() {
    # A shell that restarts a host ends that host when it gets TERM.
    for pid in $(jobs -pr); do kill -TERM "$pid" 2>/dev/null; done
    sleep 0.2
    for pid in $(jobs -pr); do kill -KILL "$pid" 2>/dev/null; done
    wait 2>/dev/null
    rm -rf "$folder"
}
trap cleanup EXIT
trap 'exit 2' INT TERM

[ -x "$anvilmill" ] && [ -x "$standin" ] || { echo "build the deploy file and review/build-2.sh first"; exit 2; }

# A network in which nobody listens on the ports used.
is_used() { (exec 3<>"/dev/tcp/$1/$2") 2>/dev/null; }
for _ in $(seq 20); do
    network=127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))
    is_used "$network.200" 8169 || is_used "$network.1" 8161 || is_used "$network.1" 7720 || break
done
store=$network.200:8169
executors=$network.201:8080

# Starts host $1 (a number) with the CPU share $2, which determines its weight and is not enforced. If $3 is given, the
# host is started again that many seconds after its end, once.
start_host() {
    local ip=$network.$1
    cat >"$folder/host$1.conf" <<CONF
node=front-bole-$1
role=entry
class=front
serves=front
ip=$ip
zone=bole
region=addis
zones.bole=addis
listen.front=$ip:8161
listen.ready=$ip:8167
internal_ports=7720,7735
bootstrap=true
limits.cpu_share=$2
limits.cores=1
limits.memory_mb=260
limits.max_fds=4100
heartbeat_ms=1500
bounds.grace_s=6
bounds.drain_ms=2000
bounds.hold_max_ms=1000
bounds.stop_ms=50
bounds.cancel_ms=3000
bounds.status_s=120
bounds.resend_ms=1300
orders=invoke
platform.address=$store
platform.form=kv
CONF
    if [ -n "${3:-}" ]; then
        restarting "$1" "$3" &
        until [ -s "$folder/pid$1" ]; do sleep 0.01; done
        host_pid=$(<"$folder/pid$1")
    else
        machine "$1" &
        host_pid=$!
    fi
    host_arguments+=(--host "$ip:8161,$host_pid")
}

machine() {
    cd "$root" && ANVILMILL_NODE_FILE="$folder/host$1.conf" exec target/anvilmill machine >>"$folder/host$1.log" 2>&1
}

restarting() {
    trap - EXIT
    trap '[ -n "$host" ] && kill -KILL "$host" 2>/dev/null; exit' TERM
    machine "$1" &
    host=$!
    echo "$host" >"$folder/pid$1"
    wait "$host"
    host=
    sleep "$2" &
    wait "$!"
    machine "$1" &
    host=$!
    wait "$host"
}
host_arguments=()

# Runs scenario $1 until its end and exits with its result.
run_scenario() {
    "$standin" "$@" --store "$store" --executors "$executors" --record "$record" "${host_arguments[@]}" &
    local pid=$!
    wait "$pid"
    local result=$?
    [ -n "${KEEP_LOGS:-}" ] && cp "$folder"/*.log "$KEEP_LOGS"
    exit "$result"
}
