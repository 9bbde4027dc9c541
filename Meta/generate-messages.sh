#!/usr/bin/env bash
# Regenerates the C++ code of the Thrift messages. The result is committed, so that a build needs no generator.
set -euo pipefail
cd "$(dirname "$0")/../Libraries/LibMessages"
rm -rf gen
mkdir gen
for file in membership placement distribution load peer; do
    thrift --gen cpp:no_skeleton,moveable_types -out gen "$file.thrift"
done
