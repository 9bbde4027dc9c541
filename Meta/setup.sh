#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the benchmarks need.
set -euo pipefail

packages=(
    build-essential cmake ninja-build ccache mold pkg-config git
    clang clang-format clang-tidy libclang-rt-14-dev
    libabsl-dev libthrift-dev thrift-compiler
    libboost-dev libboost-test-dev librapidcheck-dev
    liblog4cxx-dev prometheus-cpp-dev libtomlplusplus-dev
    nlohmann-json3-dev libcpp-httplib-dev libxxhash-dev libsodium-dev
    libtins-dev libbenchmark-dev libevent-dev libzstd-dev
    python3 python3-matplotlib shellcheck
)

missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
if [ "${#missing[@]}" -eq 0 ]; then
    exit 0
fi

sudo_command=()
[ "$(id -u)" -eq 0 ] || sudo_command=(sudo)
export DEBIAN_FRONTEND=noninteractive
"${sudo_command[@]}" apt-get update -qq
"${sudo_command[@]}" apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
