#!/usr/bin/env bash
# Runs one benchmark: bench.sh NAME [--seed N]. Prints its figures and exits non-zero when one is past its bound.
set -euo pipefail
cd "$(dirname "$0")/.."

if [ $# -lt 1 ]; then
    echo "usage: Meta/bench.sh NAME [--seed N]; NAME is one of:" >&2
    find Benchmarks -mindepth 1 -maxdepth 1 -type d ! -name Report ! -name 'Harness*' ! -name 'Fuzz*' -printf '  %f\n' | tr '[:upper:]' '[:lower:]' | sort >&2
    exit 2
fi
name=$1
shift
Meta/setup.sh
cmake -S . -B build -G Ninja >/dev/null
cmake --build build --target "bench-$name" >/dev/null
exec "build/bin/bench-$name" "$@"
