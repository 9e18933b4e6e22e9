#!/usr/bin/env bash
# Runs four entry hosts (`anvilmill machine`) in two data centres against the platform stand-in,
# stops one gracefully and kills one under load. Checks that no executor exceeded its capacity, no
# task ran twice at the same time, and every job was answered.
# Usage: tests/process/fleet.sh PATH_TO_ANVILMILL PATH_TO_FLEET_STANDIN
set -u
# shellcheck disable=SC2034
anvilmill=$1
standin=$2
# shellcheck source=lib/processes.bash
source "$(dirname "$0")/lib/processes.bash"
# shellcheck source=lib/fleet.bash
source "$(dirname "$0")/lib/fleet.bash"

start_fleet_platform 4 --count 32 --data-centres 2 --scale 0.05 --settle 8 --length 8
for i in 1 2 3 4; do start_fleet_host "$i" $((i % 2)); done
is_ready() {
    python3 -c 'import sys, urllib.request; urllib.request.urlopen(sys.argv[1])' \
        "http://$(fleet_ip "$1"):28167/api/ready"
}
for i in 1 2 3 4; do retry is_ready "$i" || fail "host $i is not ready"; done

# Waits for load, so that jobs are open at the stop: each takes at least 51 ms.
has_jobs() { grep -q event=job.ended "$folder/fleet$1.log"; }
retry has_jobs 2 || fail "host 2 serves nothing"
# shellcheck disable=SC2154
kill -TERM "$pid_fleet2"
wait "$pid_fleet2" || fail "the planned stop of host 2 failed"
grep -q event=host.stopped "$folder/fleet2.log" || fail "host 2 doesn't say that it stopped"
grep -qE 'event=host.stopped .*jobs=0' "$folder/fleet2.log" || fail "host 2 left jobs unanswered"
broken_by_stop=$(grep -c 'end=broken' "$folder/fleet2.log")
[ "$broken_by_stop" = 0 ] || fail "the planned stop broke $broken_by_stop jobs"

# shellcheck disable=SC2154
kill -KILL "$pid_fleet3"
retry standin_is_done || fail "the load does not end"
cat "$folder/standin.out"
grep -q ' overfilled=0 doubled=0 ' "$folder/standin.out" || fail "a promise to executors is broken"
[ "$(standin_sum lost)" = 0 ] || fail "jobs were lost"
[ $(($(standin_sum served) + $(standin_sum refused))) = "$(standin_sum sent)" ] \
    || fail "not every job has an answer"
[ "$(standin_sum served)" -gt 0 ] || fail "no job was served"
finish
