#!/usr/bin/env bash
# Builds the stand-ins of review/REPORT-2.md as target/review-standins-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
g++ -std=c++17 -O1 -Wall -Wextra -o target/review-standins-2 review/standins-2/*.cpp
