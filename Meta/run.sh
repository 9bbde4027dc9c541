#!/usr/bin/env bash
# Installs the packages, builds, starts the example deployment of Accra with stand-ins on loopback addresses and serves
# requests through it. Exits non-zero when a promise was broken.
set -euo pipefail
cd "$(dirname "$0")/.."

Meta/setup.sh
cmake -S . -B build -G Ninja >/dev/null
cmake --build build >/dev/null
bin=build/bin

processes=()
stop_processes() {
    for process in "${processes[@]}"; do
        kill "$process" 2>/dev/null || true
    done
    wait
}
trap stop_processes EXIT

export CHICORYTALLY_PEER_KEY
CHICORYTALLY_PEER_KEY=$(printf 'c1%.0s' {1..32})

for service in register:1:15 packs:2:4; do
    IFS=: read -r name net count <<<"$service"
    for i in $(seq 1 "$count"); do
        $bin/standin-upstream --listen="127.10.$net.$i:6080" --name="$name-$i" &
        processes+=($!)
    done
done
balancers=()
for i in 1 2 3 4; do
    $bin/chicorytallyd --vm_name="accra-$i" --zone="accra-$(echo abcd | cut -c"$i")" --data_address="127.10.0.$i:6080" \
        --config_dir=examples/accra --log_level=warn &
    processes+=($!)
    balancers+=("127.10.0.$i:6080")
done
$bin/standin-fabric --listen=127.10.8.1:6080 --balancers="$(IFS=,; echo "${balancers[*]}")" &
processes+=($!)

$bin/standin-caller --listen=127.10.9.1:6080 --fabric=127.10.8.1:6080 --service=198.51.100.10:7000 --upstream_prefix=register --flows=200
$bin/standin-caller --listen=127.10.9.2:6080 --fabric=127.10.8.1:6080 --service=198.51.100.11:7000 --upstream_prefix=packs --flows=100
