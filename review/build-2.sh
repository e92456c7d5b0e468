#!/bin/sh
# Builds the stand-ins of the second review (review/6 to review/10), with the tool chain of the project's own build.
set -e
cd "$(dirname "$0")"
mkdir -p build-standins-2
"${CXX:-c++}" -std=c++20 -O1 -pthread standins-2/rig.cpp standins-2/cases.cpp -o build-standins-2/cases
