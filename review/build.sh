#!/usr/bin/env bash
# Builds the stand-ins of the cases. Needs what the build of the deploy file needs.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for name in main site runner store; do
  g++ -std=c++20 -O1 -Wall -Wextra -c "review/standin/$name.cc" -o "target/review/$name.o" &
  builds+=($!)
done
for build in "${builds[@]}"; do wait "$build"; done
g++ -pthread -o target/review/review-case target/review/{main,site,runner,store}.o
