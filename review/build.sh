#!/bin/sh
# Builds the stand-ins of all cases into build/review.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build/review
for source in review/[0-9]*/case.cpp; do
    name=$(basename "$(dirname "$source")")
    "${CXX:-c++}" -std=c++20 -O1 -Wall -Wextra -pthread -o "build/review/case$name" "$source"
done
