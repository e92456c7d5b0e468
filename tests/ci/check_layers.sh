#!/usr/bin/env bash
# Tests cmake/CheckLayers.cmake on a small tree: an include of a higher layer and a folder that is not a layer are
# reported with their location.
set -euo pipefail
script=$1/cmake/CheckLayers.cmake
tree=$(mktemp -d)
trap 'rm -rf "$tree" "$tree.out"' EXIT
mkdir "$tree/base" "$tree/policy"
echo '#include "base/time.h"' > "$tree/policy/policy.h"
echo '#include <vector>' > "$tree/base/time.h"

# Checks that the script exits with the given code (0 or 1) and that its output contains the given text.
expect() {
    local wanted=$1 words=$2 got=0
    cmake "-DROOT=$tree" "-DLAYERS=base;policy" -P "$script" > "$tree.out" 2>&1 || got=$?
    if [ $((got != 0)) -ne "$wanted" ] || [[ $(tr -s ' \n' ' ' < "$tree.out") != *"$words"* ]]; then
        echo "expected exit code $wanted and output with '$words', got exit code $got and output:" >&2
        cat "$tree.out" >&2
        exit 1
    fi
}
expect 0 ''
echo '#include "policy/policy.h"' > "$tree/base/time.h"
expect 1 'base/time.h: includes policy/, a layer above its own'
echo '#include <vector>' > "$tree/base/time.h"
mkdir "$tree/extra"
expect 1 'extra: not among the layers base;policy'
