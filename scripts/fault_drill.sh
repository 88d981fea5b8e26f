#!/usr/bin/env bash
# Runs a load against the small site beside faults on real processes, and checks the event logs of all processes.
#
# usage: scripts/fault_drill.sh [BUILD]
# JAYMAST_DRILL_TIMEOUT_MS is the time that callers wait for an answer [2000].
# Needs a build, see scripts/build.sh. Takes about 2 min. Everything is written to out/drill/. Ends with a code that is
# not 0 when an answer was wrong, a guarantee was violated, an accepted task has no end, an entry did not recover or a
# process ended with an error. All processes are stopped at the end, by their ids.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
out=out/drill
# shellcheck source=lib/site.sh
source scripts/lib/site.sh

# A caller closes its connection after this time. The event log does not record that, see KNOWN-RED.txt.
readonly kTimeoutMs=${JAYMAST_DRILL_TIMEOUT_MS:-2000}
readonly kPreviewRate=100
readonly kSubmitRate=10
readonly kCalmMs=10000
readonly kFaultDelayS=2     # load before the fault
readonly kSettleAttempts=30  # at 0.5 s each, until all upstreams have an owner
readonly kDrainAttempts=20   # at 1 s each, until all accepted work has ended
readonly kUpstreams=12
load_pid=
stopped_pid=

# Stops everything also when a step fails. A paused process must continue to be able to stop.
on_exit() {
  local status=$?
  trap - EXIT
  [ -z "$stopped_pid" ] || kill -CONT "$stopped_pid" 2>/dev/null || true
  [ -z "$load_pid" ] || kill -TERM "$load_pid" 2>/dev/null || true
  stop_site || [ "$status" -ne 0 ] || status=1
  exit "$status"
}

now_us() { date +%s%6N; }

# Sum of a field of /v1/status over the entries that answer.
status_sum() {
  local field=$1 number sum=0 value
  for number in $(seq 1 "$site_entries"); do
    value=$(curl -sf --max-time 1 -H "Authorization: Bearer demo-operator" \
      "http://$(entry_address "$number")/v1/status" | grep -o "\"$field\":[0-9]*" | cut -d: -f2) || value=0
    sum=$((sum + ${value:-0}))
  done
  echo "$sum"
}

# Waits until all upstreams have an owner and no entry is in another state than serving.
settle() {
  local number
  for _ in $(seq 1 "$kSettleAttempts"); do
    if [ "$(status_sum owned_upstreams)" -eq "$kUpstreams" ]; then
      for number in $(seq 1 "$site_entries"); do
        await "entry e$number" "http://$(entry_address "$number")/readyz" || return 1
      done
      return 0
    fi
    sleep 0.5
  done
  echo "not all upstreams have an owner" >&2
  return 1
}

wait_for_work() {
  for _ in $(seq 1 "$kDrainAttempts"); do
    [ "$(($(status_sum running) + $(status_sum queued)))" -eq 0 ] && return 0
    sleep 1
  done
  echo "work is left over" >&2
}

# Number of the entry, of those given, that owns the most upstreams. A fault of an entry without any shows no takeover.
busiest_entry() {
  local number owned most=-1 busiest=$1
  for number in "$@"; do
    owned=$(curl -sf --max-time 1 -H "Authorization: Bearer demo-operator" \
      "http://$(entry_address "$number")/v1/status" | grep -o '"owned_upstreams":[0-9]*' | cut -d: -f2) || owned=0
    if [ "${owned:-0}" -gt "$most" ]; then
      most=${owned:-0}
      busiest=$number
    fi
  done
  echo "$busiest"
}

# Runs one phase: the load, and beside it the fault function, which sets fault_from and fault_to.
phase() {
  local name=$1 duration_ms=$2 entry=$3 fault=$4 from
  fault_from=0
  fault_to=0
  echo "phase $name"
  from=$(now_us)
  "$build/jaymast-load" --key demo-desk --team desk --preview-rate "$kPreviewRate" --submit-rate "$kSubmitRate" \
    --duration-ms "$duration_ms" --run-ms 20 --timeout-ms "$kTimeoutMs" --json "${load_entries[@]}" \
    >"$out/load-$name.json" &
  load_pid=$!
  if [ -n "$fault" ]; then
    sleep "$kFaultDelayS"
    "$fault"
  fi
  # Exit code 3 means wrong answers, which the report counts.
  wait "$load_pid" || [ "$?" -eq 3 ]
  load_pid=
  settle
  printf '{"name":"%s","entry":"%s","from":%s,"to":%s,"fault_from":%s,"fault_to":%s,"entries":%s}\n' \
    "$name" "$entry" "$from" "$(now_us)" "$fault_from" "$fault_to" "$site_entries" >>"$out/phases.jsonl"
}

pause_entry() {
  stopped_pid=${entry_pid[$paused]}
  fault_from=$(now_us)
  kill -STOP "$stopped_pid"
  sleep 8
  kill -CONT "$stopped_pid"
  fault_to=$(now_us)
  stopped_pid=
}

# The restart waits longer than the lease, so that the other entry of the domain has to take over.
kill_entry() {
  fault_from=$(now_us)
  kill -KILL "${entry_pid[$killed]}"
  wait "${entry_pid[$killed]}" 2>/dev/null || true
  sleep 6
  start_entry "$killed"
  fault_to=$(now_us)
}

table_outage() {
  fault_from=$(now_us)
  set_fault '{"table":{"outage":true}}'
  sleep 20
  set_fault '{"table":{"outage":false}}'
  fault_to=$(now_us)
}

lost_answers() {
  fault_from=$(now_us)
  set_fault '{"table":{"lose_answers":true}}'
  sleep 5
  set_fault '{"table":{"lose_answers":false}}'
  fault_to=$(now_us)
}

failing_runner() {
  fault_from=$(now_us)
  set_fault '{"runner":{"id":"u5","fail":true}}'
  sleep 8
  set_fault '{"runner":{"id":"u5","fail":false}}'
  fault_to=$(now_us)
}

begin=$(date +%s%N)
mkdir -p "$out"
rm -f "$out"/load-* "$out"/*.jsonl
trap on_exit EXIT
start_site
settle
curl -sf --max-time 5 "http://$platform_address/v1/instances" >"$out/instances.json"
save_config

phase calm-before "$kCalmMs" "" ""
paused=$(busiest_entry 1 2)
phase pause 14000 "e$paused" pause_entry
killed=$(busiest_entry 3 4)
phase kill 14000 "e$killed" kill_entry
phase outage 28000 "" table_outage
phase lost-answers 14000 "" lost_answers
phase failing-runner 14000 "" failing_runner
phase calm-after "$kCalmMs" "" ""
wait_for_work
save_config
stop_site

# The callers of the entry that was killed saw a closed connection instead of an answer.
PYTHONPATH=scripts/lib python3 -c 'import site_log, sys; site_log.write_facts(sys.argv[1], [sys.argv[2]])' \
  "$out" "e$killed"
code=0
"$build/jaymast-timeline" --check --facts "$out/facts.json" "$out"/*.events >"$out/check.txt" || code=$?
tail -n 1 "$out/check.txt"
python3 scripts/lib/drill_report.py "$out" "$out/check.txt" || code=1
echo "wall time: $((($(date +%s%N) - begin) / 1000000)) ms"
exit "$code"
