#!/usr/bin/env bash
# A gang that no runner can hold keeps the work of others from all runners.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.." || exit 2
for program in target/jaymast-platform-entry target/review/review-case; do
  [ -x "$program" ] || { echo "$program is not built: run the build of the deploy file and review/build.sh" >&2; exit 2; }
done
exec target/review/review-case hopeless-gang review/2
