#!/usr/bin/env bash
# Sets up, builds and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh
scripts/build.sh build
ctest --test-dir build --output-on-failure -j "$(nproc)"
