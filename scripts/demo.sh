#!/usr/bin/env bash
# Sets up, builds and runs the demo: a small site on loopback, the work of both users, one failure domain out of service
# and back, and a report. Needs less than 90 s after the build.
#
# usage: scripts/demo.sh [--no-build] [BUILD [COMMAND...]]
# With a command it runs this while the site is up, in place of the demo. Everything is written to out/demo/, the time
# line as timeline.svg. All processes are stopped at the end, by their ids.
set -euo pipefail
cd "$(dirname "$0")/.."
with_build=1
if [ "${1:-}" = --no-build ]; then
  with_build=0
  shift
fi
build=${1:-build}
shift || true
out=out/demo
# shellcheck source=lib/site.sh
source scripts/lib/site.sh

readonly kWaitAttempts=40  # at 1 s each, for the end of all work
readonly kPreviewMs=20000
sampler_pid=
load_pid=

# Stops everything also when a step fails, and keeps the first failure as the exit code.
on_exit() {
  local status=$?
  trap - EXIT
  [ -z "$sampler_pid" ] || kill -TERM "$sampler_pid" 2>/dev/null || true
  [ -z "$load_pid" ] || kill -TERM "$load_pid" 2>/dev/null || true
  stop_site || [ "$status" -ne 0 ] || status=1
  exit "$status"
}

client() {
  local key=$1
  shift
  "$build/jaymast" --server "$entry_addresses" --key-file "$out/$key.key" "$@"
}

# Submits the file of a team and round through one entry.
submit() {
  local team=$1 round=$2 number=$3
  "$build/jaymast" --server "$(entry_address "$number")" --key-file "$out/$team.key" --output json \
    submit "$out/submit-$team-$round.json" >"$out/submit-$team-$round.answer.json"
}

# Number of tasks that are not in a final state, over all entries, without those that run as a service.
open_tasks() {
  local number
  for number in $(seq 1 "$site_entries"); do
    curl -sf --max-time 5 -H "Authorization: Bearer demo-operator" "http://$(entry_address "$number")/v1/tasks"
    echo
  done | python3 -c '
import json, sys
final = {"succeeded", "failed", "cancelled", "refused", "unknown"}
rows = [row for line in sys.stdin for row in json.loads(line)["tasks"]]
print(sum(row["state"] not in final and row["class"] != "service" for row in rows))'
}

wait_for_work() {
  local left=unknown
  for _ in $(seq 1 "$kWaitAttempts"); do
    left=$(open_tasks)
    [ "$left" -eq 0 ] && return 0
    sleep 1
  done
  echo "$left tasks have not ended" >&2
  return 1
}

# Services run until they are cancelled. Only the home of a task can cancel it, so the entry that took it is asked.
cancel_services() {
  python3 - "$out" <<'PYTHON' | while read -r team task; do
import json, sys
for team in ("desk", "quilt"):
    with open(f"{sys.argv[1]}/submit-{team}-1.json") as file:
        tasks = json.load(file)["task"]
    with open(f"{sys.argv[1]}/submit-{team}-1.answer.json") as file:
        rows = json.load(file)["tasks"]
    for task, row in zip(tasks, rows):
        if task.get("class") == "service":
            print(team, row["id"])
PYTHON
    "$build/jaymast" --server "$(entry_address 1)" --key-file "$out/$team.key" cancel "$task" </dev/null
  done
}

start_sampler() {
  local number arguments=()
  for number in $(seq 1 "$site_entries"); do
    arguments+=("e$number=$(entry_address "$number")=${entry_pid[$number]}")
  done
  python3 scripts/lib/site_sampler.py demo-operator "$out/samples.jsonl" 90 "${arguments[@]}" "standin==$standin_pid" &
  sampler_pid=$!
}

run_demo() {
  local key
  rm -f "$out"/submit-* "$out/configs.jsonl"
  for key in operator desk quilt; do echo "demo-$key" >"$out/$key.key"; done
  curl -sf --max-time 5 "http://$platform_address/v1/instances" >"$out/instances.json"
  save_config
  start_sampler
  "$build/jaymast-load" --key demo-desk --team desk --preview-rate 50 --duration-ms "$kPreviewMs" --run-ms 20 \
    "${load_entries[@]}" >"$out/load.txt" &
  load_pid=$!
  "$build/jaymast" config check examples/submissions.json --kind tasks
  python3 scripts/lib/expand_submissions.py examples/submissions.json "$out" 1 desk=40 quilt=20
  python3 scripts/lib/expand_submissions.py examples/submissions.json "$out" 2 desk=40 quilt=20
  submit desk 1 1
  submit quilt 1 3
  client desk preview "$out/preview-desk.json" >"$out/preview.txt"
  sleep 3
  echo "taking failure domain d2 out of service"
  client operator drain d2 --yes --timeout 30
  save_config
  submit desk 2 2
  submit quilt 2 5
  sleep 3
  echo "returning failure domain d2 to service"
  client operator restore d2 --yes
  save_config
  wait_for_work
  cancel_services
  wait "$load_pid"
  load_pid=
  kill -TERM "$sampler_pid"
  wait "$sampler_pid"
  sampler_pid=
}

if [ "$with_build" -eq 1 ]; then
  scripts/setup.sh
  scripts/build.sh "$build" -j3
fi
begin=$(date +%s%N)
trap on_exit EXIT
start_site
echo "site is up: entries from $(entry_address 1) to $(entry_address "$site_entries"), control of the stand-ins on" \
  "$control_address"
if [ "$#" -gt 0 ]; then
  "$@"
  exit
fi
run_demo
stop_site
python3 scripts/lib/demo_report.py "$out"
echo
echo "Previews"
cat "$out/load.txt"
"$build/jaymast-timeline" --output svg "$out"/*.events >"$out/timeline.svg"
echo
echo "time line: $out/timeline.svg"
echo "guarantees:"
"$build/jaymast-timeline" --check --facts "$out/facts.json" "$out"/*.events
echo "wall time after the build: $((($(date +%s%N) - begin) / 1000000)) ms"
