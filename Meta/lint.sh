#!/usr/bin/env bash
# Checks the format and lints our own code. Needs a configured build folder for the compile commands.
# With --fix the format is corrected instead.
set -euo pipefail
cd "$(dirname "$0")/.."

mapfile -t sources < <(git ls-files --cached --others --exclude-standard -- '*.cpp' '*.h' ':!*/gen/*')
if [ "${1:-}" = --fix ]; then
    clang-format -i "${sources[@]}"
    exit 0
fi
clang-format --dry-run --Werror "${sources[@]}"
mapfile -t scripts < <(git ls-files --cached --others --exclude-standard -- '*.sh' '.ci/run')
shellcheck "${scripts[@]}"

# A file whose content and headers were linted before is skipped: the stamp is a hash of the preprocessed sources.
stamps="${CCACHE_DIR:-$HOME/.cache/ccache}/chicorytally-lint"
mkdir -p "$stamps"
mapfile -t units < <(printf '%s\n' "${sources[@]}" | grep '\.cpp$')
settings=$(sha256sum <.clang-tidy | cut -c1-16)
export stamps settings
lint_unit() {
    local hash
    hash=$( (echo "$settings"; python3 Meta/preprocess.py build "$1") | sha256sum | cut -c1-40)
    [ -e "$stamps/$hash" ] && return 0
    clang-tidy --quiet -p build --extra-arg=-Wno-unknown-warning-option "$1" 2>/dev/null || { echo "lint failed: $1"; return 1; }
    touch "$stamps/$hash"
}
export -f lint_unit
printf '%s\0' "${units[@]}" | xargs -0 -P "${LINT_JOBS:-$(nproc)}" -I{} bash -c 'lint_unit {}'
