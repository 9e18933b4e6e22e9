#!/usr/bin/env bash
# Measures the CPU time per run and the peak memory of `anvilmill machine` against the platform
# stand-in.
# Usage: tools/measure_fleet.sh ANVILMILL FLEET_STANDIN [HOSTS [EXECUTORS [SCALE [SECONDS]]]]
# SCALE is a factor on a load of 742 jobs and 2,636 runs per second.
set -u
# shellcheck disable=SC2034
anvilmill=$1
standin=$2
hosts=${3:-6}
executors=${4:-80}
scale=${5:-0.2}
seconds=${6:-8}
data_centres=2
settle_seconds=5
here=$(dirname "$0")
# shellcheck source=../tests/process/lib/processes.bash
source "$here/../tests/process/lib/processes.bash"
# shellcheck source=../tests/process/lib/fleet.bash
source "$here/../tests/process/lib/fleet.bash"

# Sums the user and system CPU time (fields 14 and 15 of /proc/PID/stat, in ticks of 10 ms) over the
# hosts.
cpu_ticks() {
    for i in $(seq "$hosts"); do
        pid=pid_fleet$i
        awk '{print $14 + $15}' "/proc/${!pid}/stat"
    done | awk '{sum += $1} END {print sum}'
}
peak_kb() {
    for i in $(seq "$hosts"); do
        pid=pid_fleet$i
        awk '/VmHWM/ {print $2}' "/proc/${!pid}/status"
    done | sort -n | tail -n 1
}

start_fleet_platform "$hosts" --count "$executors" --data-centres "$data_centres" --scale "$scale" \
    --settle "$settle_seconds" --length "$seconds"
for i in $(seq "$hosts"); do start_fleet_host "$i" $((i % data_centres)); done
sleep "$settle_seconds"
before=$(cpu_ticks)
retry standin_is_done || fail "the load does not end"
after=$(cpu_ticks)
cat "$folder/standin.out"
starts=$(standin_sum starts)
echo "usARun=$(((after - before) * 10000 / (starts > 0 ? starts : 1))) peakKb=$(peak_kb)"
finish
