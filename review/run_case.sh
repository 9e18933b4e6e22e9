#!/usr/bin/env bash
# Runs one case: starts the entry hosts with the command of the deploy file, and the stand-in of the
# platform, its executors and clients. Exits as the stand-in does: 1 if the rule was broken, 0 if it
# held, 2 if the case couldn't run.
# Usage: run_case.sh FOLDER SCENARIO HOSTS ZONES EXECUTORS [SEED]
set -u
root=$(cd "$(dirname "$0")/.." && pwd)
case_folder=$(cd "$1" && pwd)
scenario=$2
hosts=$3
zones=$4
executors=$5
seed=${6:-1}
cd "$root" || exit 2
if [ ! -x target/anvilmill ] || [ ! -x target/review_standin ]; then
    echo "target/anvilmill or target/review_standin is missing: run the deploy file's build and review/build.sh"
    exit 2
fi
folder=$(mktemp -d)
pids=()
# shellcheck disable=SC2329
cleanup() {
    touch "$folder/ended"
    for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null; done
    for pid in $(cat "$folder"/host*.pid 2>/dev/null); do
        kill -CONT "$pid" 2>/dev/null
        kill -KILL "$pid" 2>/dev/null
    done
    wait 2>/dev/null
    rm -rf "$folder"
}
trap cleanup EXIT
# Any address of 127.0.0.0/8 is a loopback address; a random part keeps concurrent runs apart.
network=127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))
for ((i = 0; i < hosts; i++)); do
    ip=$network.$((10 + i))
    cat >"$folder/host$i.conf" <<CONF
node=entry-$i
role=entry
class=front
serves=front
ip=$ip
zone=zone-$((i % zones))
region=region
listen.front=$ip:28161
listen.ready=$ip:28167
internal_ports=27720,27735
bootstrap=true
limits.cpu_share=0.25
limits.cores=1
limits.memory_mb=260
limits.max_fds=4100
limits.link_mbps=1000.0
heartbeat_ms=1500
bounds.contact_ms=3000
bounds.ack_ms=4000
bounds.drain_ms=2000
bounds.grace_s=6
bounds.hold_max_ms=1000
bounds.stop_ms=50
bounds.cancel_ms=3000
bounds.status_s=120
bounds.resend_ms=1300
orders=invoke
platform.address=$network.1:28169
platform.form=kv
platform.writes_per_s=400
platform.reads_per_s=2000
platform.history_s=20
CONF
done
target/review_standin --scenario "$scenario" --network "$network" --hosts "$hosts" --zones "$zones" \
    --executors "$executors" --seed "$seed" --trouble "${TROUBLE:-1}" --logs "$folder" --record "$case_folder/record.txt" &
standin=$!
pids+=("$standin")
sleep 0.3
mkfifo "$folder/pause"
# Like the platform, starts a host that was killed again after some seconds.
run_host() {
    while [ ! -e "$folder/ended" ]; do
        ANVILMILL_NODE_FILE=$folder/host$1.conf target/anvilmill machine >>"$folder/host$1.log" 2>&1 &
        echo "$!" >"$folder/host$1.pid"
        wait "$!"
        read -rt 3.5 <>"$folder/pause"
    done
}
for ((i = 0; i < hosts; i++)); do
    run_host "$i" &
    pids+=("$!")
done
wait "$standin"
code=$?
[ -n "${KEEP_LOGS:-}" ] && cp "$folder"/*.log "$KEEP_LOGS"
grep -E 'VIOLATION|result=|load ' "$case_folder/record.txt" | head -n 20
[ "$code" = 0 ] || [ "$code" = 1 ] || code=2
exit "$code"
