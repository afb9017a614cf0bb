#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start, in review/build/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
c++ -std=c++17 -O1 -Wall -Wextra -pthread -o build/world \
    standins/main.cpp standins/store.cpp standins/world.cpp
