#!/usr/bin/env bash
# Runs clang-tidy over every source file in parallel. Usage: tools/lint.sh BUILD_FOLDER [FILE...]
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
shift
files=("$@")
if [ ${#files[@]} -eq 0 ]; then
    mapfile -t files < <(git ls-files 'src/*.cpp' 'platform/*.cpp' 'tests/*.cpp' 'bench/*.cpp' 'examples/*.cpp')
fi
printf '%s\n' "${files[@]}" | xargs -P "$(nproc)" -n 4 clang-tidy -p "$build" --quiet 2>/dev/null
