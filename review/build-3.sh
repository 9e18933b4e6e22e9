#!/bin/sh
# Builds the stand-ins of the cases 11 to 15 into target/review-3/, after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
objects=
for name in httpserver record store executor fleet; do
    g++ -std=c++17 -O1 -Wall -Wextra -c "review/standin-3/$name.cpp" -o "$out/$name.o"
    objects="$objects $out/$name.o"
done
for source in review/standin-3/case_*.cpp; do
    # shellcheck disable=SC2086
    g++ -std=c++17 -O1 -Wall -Wextra "$source" $objects -o "$out/$(basename "$source" .cpp)" -pthread
done
