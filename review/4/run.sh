#!/usr/bin/env bash
# A task that lasts is not started again after it has ended done.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.." || exit 2
for program in target/jaymast-platform-entry target/review/review-case; do
  [ -x "$program" ] || { echo "$program is not built: run the build of the deploy file and review/build.sh" >&2; exit 2; }
done
exec target/review/review-case lasting-ends-done review/4
