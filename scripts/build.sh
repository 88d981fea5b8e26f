#!/usr/bin/env bash
# Configures and builds into build/, or into the folder given as first argument.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
cmake -S . -B "$build" -G Ninja >/dev/null
cmake --build "$build" "${@:2}"
