#!/usr/bin/env bash
# Builds the stand-ins of review/11 to review/15 into target/review-3/, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra)
g++ "${flags[@]}" -c -o "$out/json.o" review/standin-3/json.cc
g++ "${flags[@]}" -c -o "$out/main.o" review/standin-3/main.cc
g++ -o "$out/site3" "$out/main.o" "$out/json.o" -pthread
