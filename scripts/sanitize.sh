#!/usr/bin/env bash
# Builds and runs tests under sanitizers. Any finding ends the run with an error.
#
# usage: scripts/sanitize.sh [address|thread|all]
# address: address and undefined behaviour, for the slices that parse outside input or hold the decision core.
# thread: data races, for the slices whose traffic threads talk to the control thread.
set -euo pipefail
cd "$(dirname "$0")/.."
stage=${1:-all}
jobs=${JAYMAST_JOBS:-$(nproc)}
address_slices=(base model net runtime testing placement standin cli timeline)
thread_slices=(net runtime)
export RC_PARAMS="seed=1"

# Configures folder $1 with sanitizers $2 and builds the test programs of the slices that follow.
# -O1 keeps the tests fast and the stack traces readable.
# Warnings are errors only in the plain build, because g++ reports false ones in instrumented code.
build_tests() {
  local folder=$1 sanitizers=$2
  shift 2
  cmake -S . -B "$folder" -G Ninja -DCMAKE_BUILD_TYPE=Debug -DCMAKE_CXX_FLAGS_DEBUG="-O1 -g1" \
    -DJAYMAST_SANITIZE="$sanitizers" -DJAYMAST_WERROR=OFF >/dev/null
  cmake --build "$folder" -j "$jobs" --target "${@/%/_tests}"
}

# Runs the test programs of the slices that follow in folder $1, all of them even when one fails.
run_tests() {
  local folder=$1 failed=()
  shift
  for slice in "$@"; do
    "$folder/${slice}_tests" --gtest_brief=1 || failed+=("$slice")
  done
  [ "${#failed[@]}" -eq 0 ] || { echo "$folder: failed in ${failed[*]}" >&2; return 1; }
}

run_address() {
  export ASAN_OPTIONS="detect_stack_use_after_return=1:strict_string_checks=1:check_initialization_order=1"
  export UBSAN_OPTIONS="halt_on_error=1:print_stacktrace=1"
  build_tests build-asan address,undefined "${address_slices[@]}"
  run_tests build-asan "${address_slices[@]}"
}

run_thread() {
  export TSAN_OPTIONS="halt_on_error=1:second_deadlock_stack=1"
  build_tests build-tsan thread "${thread_slices[@]}"
  run_tests build-tsan "${thread_slices[@]}"
}

case "$stage" in
  address) run_address ;;
  thread) run_thread ;;
  all) run_address; run_thread ;;
  *) echo "usage: scripts/sanitize.sh [address|thread|all]" >&2; exit 2 ;;
esac
echo "sanitizers clean: $stage"
