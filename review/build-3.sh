#!/usr/bin/env bash
# Builds the stand-ins of the cases of review/REPORT-3.md into build-review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-3
c++ -std=c++17 -O2 -Wall -Wextra -o build-review-3/review-standins \
    review/standins-3/*.cpp tests/soak/soak_store.cpp -lpthread
