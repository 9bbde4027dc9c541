#!/usr/bin/env bash
# Prepares the stand-ins that the cases start. They are Python programs without dependencies, so this only checks the
# interpreter and the files.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 9))' || {
    echo "Python 3.9 or newer is needed" >&2
    exit 1
}
python3 -B -c 'import ast, pathlib; [ast.parse(path.read_text()) for path in pathlib.Path(".").rglob("*.py")]'
