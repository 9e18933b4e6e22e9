#!/usr/bin/env bash
# Runs a platform stand-in, two executors and three entry hosts of one data centre as separate
# processes. Checks that a submission sent through every host starts its tasks once, also after the
# host that runs it was killed, that a sheet takes effect, and that a drain stops a host.
# Usage: tests/process/cluster.sh PATH_TO_ANVILMILL
set -u
anvilmill=$1
# shellcheck source=lib/processes.bash
source "$(dirname "$0")/lib/processes.bash"

start_platform
start_executor e1
start_executor e2
platform="[platform]
server = $(listening_at platform)
[peer]
port = 0"
start_host h1 "$platform"
seeds="seeds = bole@$(peer_address h1)"
start_host h2 "$platform
$seeds"
start_host h3 "$platform
$seeds"

# Succeeds if the view of host $1 has $2 members and the host may act as an owner.
sees_members() {
    host_status=$("$anvilmill" status --json "$(host_address "$1")") || return 1
    [ "$(grep -o 'bole/h[0-9]*/' <<<"$host_status" | sort -u | wc -l)" = "$2" ] \
        && grep -q '"mayActAsOwner":true' <<<"$host_status"
}
for host in h1 h2 h3; do retry sees_members $host 3 || fail "$host does not see three members"; done

submit() {
    "$anvilmill" submit --host "$(host_address "$1")" -s lease -k "$2" --not-repeatable sleep:200:a \
        sleep:100:b 2>&1
}
starts() { cat "$folder"/e1.out "$folder"/e2.out | grep -c "event=start.*$1"; }

for i in 1 2 3 4 5 6; do
    for host in h1 h2 h3; do submit $host "key-$i" >"$folder/$host-$i.out" & done
    submit_pids=$(jobs -p | tail -n 3)
    for pid in $submit_pids; do wait "$pid"; done
    for host in h1 h2 h3; do
        grep -q '"tasks":\[.*sleep:200:a.*sleep:100:b' "$folder/$host-$i.out" \
            || fail "key-$i through $host: $(cat "$folder/$host-$i.out")"
    done
    [ "$(starts "key-$i\\.")" = 2 ] || fail "key-$i had $(starts "key-$i\\.") starts instead of 2"
done

# shellcheck disable=SC2154
kill -KILL "$pid_h2"
retry sees_members h1 2 || fail "h1 does not see the loss of h2"
retry sees_members h3 2 || fail "h3 does not see the loss of h2"
for i in 1 2 3 4 5 6; do
    submit h1 "key-$i" >"$folder/again-$i.out"
    grep -qE '"tasks":\[|"verdict":"(mayHaveRun|ran)"' "$folder/again-$i.out" \
        || fail "key-$i after the loss of h2: $(cat "$folder/again-$i.out")"
    [ "$(starts "key-$i\\.")" = 2 ] || fail "key-$i started again after the loss of h2"
done
submit h3 key-new >"$folder/new.out"
grep -qE '"tasks":\[' "$folder/new.out" || fail "a new key after the loss: $(cat "$folder/new.out")"

# A sheet takes effect on both hosts, and a drain in the sheet stops one of them without a signal.
"$anvilmill" sheet apply "$(dirname "$0")/../../docs/sample-sheet.csv" --wait \
    --platform "$(listening_at platform)" >"$folder/apply.out" 2>&1 \
    || fail "the sheet is not in force: $(cat "$folder/apply.out")"
for host in h1 h3; do
    [ "$(status_column $host 8)" = 1 ] || fail "$host does not hold revision 1"
done
"$anvilmill" drain bole/h3 --platform "$(listening_at platform)" >"$folder/drain.out" 2>&1 \
    || fail "drain: $(cat "$folder/drain.out")"
# shellcheck disable=SC2154
wait "$pid_h3" || fail "the drain of h3 left work behind"
finish
