#!/usr/bin/env bash
# Runs a small site on loopback: three failure domains with two entries each, a stand-in platform and 12 runners.
#
# usage: scripts/demo.sh [BUILD [COMMAND...]]
# Without a command it sends a load of 5 s and prints the result; with one it runs the command while the site is up.
# Event logs are written to out/demo/. All processes are stopped at the end, by their ids.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
shift || true
out=out/demo
mkdir -p "$out"
entry_pids=()
standin_pid=

# Entries stop first, so that they can hand over and delete their records while the platform is up.
stop_site() {
  local failed=0
  for pid in "${entry_pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${entry_pids[@]}"; do
    wait "$pid" || { echo "entry with id $pid ended with code $?" >&2; failed=1; }
  done
  if [ -n "$standin_pid" ]; then
    kill -TERM "$standin_pid" 2>/dev/null || true
    wait "$standin_pid" || { echo "jaymast-standin ended with code $?" >&2; failed=1; }
  fi
  return "$failed"
}

await() {
  local what=$1 url=$2
  for _ in $(seq 1 150); do
    curl -sf -o /dev/null --max-time 1 "$url" && return 0
    sleep 0.1
  done
  echo "$what is not ready, see $out" >&2
  return 1
}

# Stops the site also when a step fails, and keeps the first failure as the exit code.
on_exit() {
  local status=$?
  trap - EXIT
  stop_site || [ "$status" -ne 0 ] || status=1
  exit "$status"
}
trap on_exit EXIT

"$build/jaymast-standin" --config examples/demo/standin.toml 2>"$out/standin.log" &
standin_pid=$!
await "the platform" http://127.0.0.1:7101/v1/instances

for number in 1 2 3 4 5 6; do
  name=e$number
  sed -e "s/@NAME@/$name/" -e "s/@DOMAIN@/d$(((number + 1) / 2))/" \
    -e "s/@HTTP_PORT@/700$number/" -e "s/@PEER_PORT@/701$number/" examples/demo/entry.toml.in >"$out/$name.toml"
  "$build/jaymast-entry" --config "$out/$name.toml" >"$out/$name.events" 2>"$out/$name.log" &
  entry_pids+=($!)
done
for number in 1 2 3 4 5 6; do await "entry e$number" "http://127.0.0.1:700$number/readyz"; done
echo "site is up: entries on ports 7001 to 7006, control of the stand-ins on port 7100"

if [ "$#" -gt 0 ]; then
  "$@"
else
  "$build/jaymast-load" --key demo-desk --team desk --preview-rate 200 --submit-rate 20 --duration-ms 5000 \
    --run-ms 5 --baseline 127.0.0.1:7213 \
    --entry 127.0.0.1:7001 --entry 127.0.0.1:7002 --entry 127.0.0.1:7003 \
    --entry 127.0.0.1:7004 --entry 127.0.0.1:7005 --entry 127.0.0.1:7006
fi
