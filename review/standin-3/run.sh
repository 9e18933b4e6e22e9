#!/bin/sh
# Runs the stand-in $2 of the case in folder $1 with entry hosts of its own, for 110 seconds at most.
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
program=target/anvilmill
standin=target/review-3/$2
[ -x "$program" ] && [ -x "$standin" ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout 110 "$standin" "$program" "$folder" "$1/record.txt"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
