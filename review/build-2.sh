#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 10 start, into target/review-2/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/{6,7,8,9,10}/case.cpp; do
    [ -f "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    "${CXX:-g++}" -std=c++20 -O1 -pthread -Wall -Wextra -Wno-missing-field-initializers \
        -o "target/review-2/case-$number" "$source"
done
