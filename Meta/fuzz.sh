#!/usr/bin/env bash
# Builds all fuzz targets (libFuzzer, with clang) and runs each for a fixed number of cases under a fixed seed:
# fuzz.sh [NAME] [--runs=N] [--seed=N]. A target is an executable fuzz-NAME at the top or in bin/ of the build folder. Its
# starting cases are the files seed-* in Benchmarks/FuzzName/, its dictionary is words.dict there, both if present.
set -euo pipefail
cd "$(dirname "$0")/.."

runs=20000
seed=1
only=
for argument in "$@"; do
    case $argument in
    --runs=*) runs=${argument#*=} ;;
    --seed=*) seed=${argument#*=} ;;
    -*)
        echo "usage: Meta/fuzz.sh [NAME] [--runs=N] [--seed=N]" >&2
        exit 2
        ;;
    *) only=$argument ;;
    esac
done

Meta/setup.sh
# A build folder of its own, because libFuzzer needs clang.
build="build-fuzz"
cmake -S . -B "$build" -G Ninja -DCMAKE_CXX_COMPILER=clang++ >/dev/null
mapfile -t targets < <(ninja -C "$build" -t targets all | sed -nE 's#^(bin/)?(fuzz-[a-z0-9-]+): .*#\2#p' | sort -u)
found=0
for target in "${targets[@]}"; do
    [ -z "$only" ] || [ "$target" = "fuzz-$only" ] || continue
    found=$((found + 1))
    cmake --build "$build" --target "$target" -j "${FUZZ_JOBS:-2}" >/dev/null
    program=$(find "$build" "$build/bin" -maxdepth 1 -type f -name "$target" | head -n 1)
    folder=$(find Benchmarks -maxdepth 1 -type d -iname "Fuzz${target#fuzz-}" | head -n 1)
    # New cases go to a scratch folder, so that every run starts alike.
    corpus=$(mktemp -d)
    trap 'rm -rf "$corpus"' EXIT
    options=("-runs=$runs" "-seed=$seed" -max_len=4096 -timeout=10 -rss_limit_mb=1024 -print_final_stats=1
        "-artifact_prefix=$build/$target-")
    if [ -n "$folder" ]; then
        find "$folder" -name 'seed-*' -exec cp {} "$corpus" \;
        [ ! -e "$folder/words.dict" ] || options+=("-dict=$folder/words.dict")
    fi
    echo "== $target"
    if ! "$program" "${options[@]}" "$corpus" >"$build/$target.log" 2>&1; then
        tail -n 40 "$build/$target.log"
        echo "$target failed with seed $seed; the case is in $build/$target-*" >&2
        exit 1
    fi
    grep -E '^(Done|stat::number_of_executed_units)|cov:' "$build/$target.log" | tail -n 3
    rm -rf "$corpus"
done
if [ "$found" -eq 0 ]; then
    echo "no fuzz target${only:+ fuzz-$only}" >&2
    exit 1
fi
