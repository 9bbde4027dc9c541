#!/usr/bin/env bash
# Configures and builds into build/. The output goes to build/build.log; if the build fails, its last lines are shown.
set -euo pipefail
cd "$(dirname "$0")/.."

log=build/build.log
mkdir -p build
: >"$log"

fail() {
    tail -n 40 "$log" >&2
    echo "The build failed; its whole output is in $PWD/$log" >&2
    exit 1
}

cmake -S . -B build -G Ninja >>"$log" 2>&1 || fail
# Ninja prints a line a step when its output is not a terminal; one in fifty is shown, and the last one.
cmake --build build 2>&1 | tee -a "$log" | awk '/^\[[0-9]+\/[0-9]+\]/ { last = $1; if (++steps % 50 == 1) print "building", last; fflush() }
    END { if (steps) print "built", last }' || fail
