#!/usr/bin/env bash
# Checks format and runs clang-tidy on the project's own sources. Needs a configured build folder.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cc' '*.h' | grep -v '/generated/')
clang-format --dry-run --Werror "${files[@]}"
run-clang-tidy -quiet -p "$build" -j "$(nproc)" '/(src|examples|platform)/.*\.cc$' > "$build/clang-tidy.log" 2>&1 || {
  grep -E 'error:|warning:' "$build/clang-tidy.log" | sort -u | head -n 50
  exit 1
}
echo "format and clang-tidy clean"
