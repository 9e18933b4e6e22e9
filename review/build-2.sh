#!/usr/bin/env bash
# Builds the stand-in that the scripts in review/6/ to review/10/ start, into target/review-2/. Run it after the
# build of the deploy file, whose libraries it uses.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++17 -O2 -o target/review-2/review_standin review/standin-2/*.cpp platform/standin/standinstore.cpp \
    -I review/standin-2 -I platform/standin -I include -I src/daemon -I platform \
    -isystem generated -isystem platform/generated \
    target/libanvilmill_platform.a target/libanvilmill_daemon.a target/libanvilmill_core.a \
    -lPocoNet -lPocoUtil -lPocoFoundation -llog4cxx -lpthread
