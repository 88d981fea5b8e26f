#!/usr/bin/env bash
# Sets up, builds and runs all tests. Tests that KNOWN-RED.txt lists as "- test NAME:" run too, but do not decide.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh
scripts/build.sh build
mapfile -t known_red < <(sed -n 's/^- test \([A-Za-z0-9_./]*\):.*/\1/p' KNOWN-RED.txt)
for test in "${known_red[@]}"; do
  echo "known red, does not decide: $test"
  ctest --test-dir build --output-on-failure -R "^${test//./\\.}\$" || echo "known red: $test failed, see KNOWN-RED.txt"
done
excluded=$(IFS='|'; echo "${known_red[*]//./\\.}")
ctest --test-dir build --output-on-failure -j "$(nproc)" -E "^(${excluded:-none})\$"
