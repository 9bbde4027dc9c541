#!/usr/bin/env bash
# Installs the packages, builds, and runs the example deployments with stand-ins on loopback addresses: requests are
# served while balancers, upstreams and availability zones come and go. Prints a table and exits non-zero when a promise
# was broken. Arguments name the sites to run; without any, all are run.
set -euo pipefail
cd "$(dirname "$0")/.."

Meta/setup.sh
Meta/build.sh
exec python3 Meta/example_run.py "$@"
