#!/usr/bin/env bash
# Fails if a name of the platform appears outside platform/.
set -euo pipefail
cd "$(dirname "$0")/.."
# Jaymast-Deadline-Ms is not listed: it is a header of the product's own interface as well.
names='run-start|run-stop|rows-tx|rows-get|rows-feed|lastSeen|untilMs|fencingToken|waitMs|decideMs|eachMs|validMs|expectedRev'
names+='|JAYMAST_BOOT|Jaymast-Expect-Instance|memMb|estimateMs|antiAffinity|preferredRack|apiKeys'
if git grep -nE "$names" -- src include examples; then
  echo "names of the platform outside platform/" >&2
  exit 1
fi
echo "no names of the platform outside platform/"
