#!/usr/bin/env bash
# Installs the packages, builds, checks format and lint, and runs all tests. The tests that KNOWN-RED.txt lists may fail;
# they are run and printed apart.
set -euo pipefail
cd "$(dirname "$0")/.."

Meta/setup.sh
Meta/build.sh
Meta/lint.sh

# What the platform builds, as it builds it: from what is committed, without tests.
release=$(mktemp -d)
trap 'rm -rf "$release"' EXIT
git archive HEAD | tar -x -C "$release"
(cd "$release" && bash -c "$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)" >"$release/build.log" 2>&1) || {
    tail -n 40 "$release/build.log"
    exit 1
}

known_red=()
if [ -e KNOWN-RED.txt ]; then
    mapfile -t known_red < <(sed -n 's/^test: *//p' KNOWN-RED.txt)
fi

# An entry names a test as Library/Suite/Case.
passed=0
failed=0
for program in build/bin/Test*; do
    library=${program##*/Test}
    filters=()
    for entry in "${known_red[@]}"; do
        [ "${entry%%/*}" = "$library" ] && filters+=("--run_test=!${entry#*/}")
    done
    echo "== $library"
    if "$program" --log_level=test_suite --report_level=short "${filters[@]}" >"build/$library.log" 2>&1; then
        passed=$((passed + 1))
    else
        failed=$((failed + 1))
        grep -E 'error|fatal|failed' "build/$library.log" | head -40
    fi
    tail -n 3 "build/$library.log"
done
for entry in "${known_red[@]}"; do
    echo "== known red: $entry"
    "build/bin/Test${entry%%/*}" --run_test="${entry#*/}" --report_level=short || true
done

echo "== Soak"
if Tests/Soak/soak.py --seed 7 --seconds 8 >build/Soak.log 2>&1; then
    passed=$((passed + 1))
else
    failed=$((failed + 1))
fi
tail -n 3 build/Soak.log

echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
