#!/usr/bin/env bash
# Checks what the scripts of cases 6 to 10 start besides the program of the deploy file. The stand-ins are Python modules
# without dependencies: review/standins-2 and, of the project's own, Tests/Soak/packets.py.
set -euo pipefail
cd "$(dirname "$0")/.."
cache=$(mktemp -d)
trap 'rm -rf "$cache"' EXIT
PYTHONPYCACHEPREFIX="$cache" python3 -m py_compile Tests/Soak/packets.py review/standins-2/*.py review/6/*.py review/7/*.py review/8/*.py review/9/*.py
test -x target/bin/chicorytally-platform
