#!/usr/bin/env bash
# Builds the programs that the scripts of the review start, into target/review/.
set -eu
cd "$(dirname "$0")"
out=../target/review
mkdir -p "$out"
builds=()
for number in 1 2 3 4 5; do
    if [ -f "$number/case.cpp" ]; then
        g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "$out/case-$number" "$number/case.cpp" \
            rig/fleet.cpp rig/rig.cpp &
        builds+=($!)
    fi
done
for build in "${builds[@]}"; do
    wait "$build"
done
