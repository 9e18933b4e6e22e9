#!/usr/bin/env bash
# Runs two entry hosts and two executors as separate processes, kills one executor under load, and
# checks that every job gets a complete answer or a verdict.
# Usage: tests/process/wholepath.sh PATH_TO_ANVILMILL
set -u
anvilmill=$1
# shellcheck source=lib/processes.bash
source "$(dirname "$0")/lib/processes.bash"

start_executor e1
start_executor e2
start_host h1 ""
start_host h2 ""

"$anvilmill" submit --host "$(host_address h1)" -s quotes sleep:20:a sleep:10:b >"$folder/first.json" \
    || fail "the first job was not answered whole"

jobs=()
for i in $(seq 20); do
    host=$([ $((i % 2)) = 0 ] && echo h1 || echo h2)
    "$anvilmill" submit --host "$(host_address $host)" -s quotes sleep:1600:x sleep:800:y sleep:200:z \
        >"$folder/job$i.out" 2>&1 &
    jobs+=($!)
done
# Both executors run tasks once more tasks are in flight than one executor has slots. The number per
# entry host depends on the order in which the jobs arrive, so only the sum is checked.
both_executors_busy() { [ $(($(status_column h1 5) + $(status_column h2 5))) -ge 9 ]; }
retry both_executors_busy || fail "too few tasks are in flight: $(status_column h1 5), $(status_column h2 5)"
kill -KILL "${pids[0]}"
for pid in "${jobs[@]}"; do wait "$pid"; done
for i in $(seq 20); do
    grep -qE '"tasks":\[.*sleep:1600:x.*sleep:800:y.*sleep:200:z|"verdict":"(notRun|mayHaveRun|ran)"' \
        "$folder/job$i.out" || fail "job $i: $(cat "$folder/job$i.out")"
done
whole=$(grep -l '"tasks":\[' "$folder"/job*.out | wc -l)
echo "$whole of 20 jobs whole, the others failed with a verdict"
[ "$whole" -lt 20 ] || fail "no job was on the killed executor"

"$anvilmill" submit --host "$(host_address h2)" -s quotes sleep:10:after >"$folder/last.json" \
    || fail "no answer after the executor was killed"

# shellcheck disable=SC2154
kill -TERM "$pid_h1"
wait "$pid_h1" || fail "the planned stop of h1 left work behind"
finish
