#!/usr/bin/env bash
# Plays the case; TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# couldn't run.
set -u
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || exit 2
exec timeout 118 python3 -B case.py
