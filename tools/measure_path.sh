#!/usr/bin/env bash
# Measures the CPU time per task and the memory of one entry host that serves jobs through its HTTP
# interface, for several numbers of concurrent jobs. Uses loopback only.
# Usage: tools/measure_path.sh PATH_TO_ANVILMILL [JOBS_IN_FLIGHT...]
set -u
anvilmill=$1
shift
levels=("$@")
[ ${#levels[@]} -gt 0 ] || levels=(1 4 16 30)
# shellcheck source=../tests/process/lib/processes.bash
source "$(dirname "$0")/../tests/process/lib/processes.bash"

tasks_per_job=100
rounds_per_level=10
ticks_per_second=$(getconf CLK_TCK)

start_executor e1
start_executor e2
start_host h1 ""
# shellcheck disable=SC2154
cpu_ticks() { awk '{print $14 + $15}' "/proc/$pid_h1/stat"; }
memory_kb() { awk '/VmRSS/ {print $2}' "/proc/$pid_h1/status"; }

payloads=()
for _ in $(seq $tasks_per_job); do payloads+=(sleep:5:x); done

printf '%14s %10s %16s %12s\n' 'jobs at once' tasks 'us per task' 'memory MB'
for level in "${levels[@]}"; do
    before=$(cpu_ticks)
    for _ in $(seq $rounds_per_level); do
        submit_pids=()
        for _ in $(seq "$level"); do
            "$anvilmill" submit --host "$(host_address h1)" -s path "${payloads[@]}" >/dev/null &
            submit_pids+=($!)
        done
        for pid in "${submit_pids[@]}"; do wait "$pid"; done
    done
    used=$(($(cpu_ticks) - before))
    tasks=$((rounds_per_level * level * tasks_per_job))
    awk -v used=$used -v hz="$ticks_per_second" -v tasks=$tasks -v level="$level" -v kb="$(memory_kb)" \
        'BEGIN {printf "%14d %10d %16.1f %12.1f\n", level, tasks, used / hz * 1e6 / tasks, kb / 1024}'
done
