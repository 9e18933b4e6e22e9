#!/usr/bin/env bash
# Builds the stand-in that the scripts of this folder start, into target/review_standin. Needs the
# build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
cmake --build target --target anvilmill_standin -j4
include=(-I. -Iinclude -Isrc -Isrc/daemon -Iplatform -Iplatform/generated -Igenerated -Itests)
libraries=(target/libanvilmill_standin.a target/libanvilmill_tools.a target/libanvilmill_platform.a
    target/libanvilmill_daemon.a target/libanvilmill_core.a)
for source in review/standin/*.cpp; do
    g++ -std=c++17 -O2 "${include[@]}" -c "$source" -o "target/review_$(basename "$source" .cpp).o" &
done
for job in $(jobs -p); do wait "$job"; done
g++ -o target/review_standin target/review_*.o "${libraries[@]}" \
    -lPocoNet -lPocoUtil -lPocoFoundation -llog4cxx -lcsv -lpthread
