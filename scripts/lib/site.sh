# Functions that start and stop the small site on loopback: three failure domains with two entries each, a stand-in
# platform and 12 runners. Sourced by scripts/demo.sh and scripts/fault_drill.sh, which set `build` and `out` first.
#
# JAYMAST_SITE_PORTS is the prefix of all ports [7]: with 17 the first entry listens on 17001 instead of 7001, so that
# two sites can run on one machine.

site_ports=${JAYMAST_SITE_PORTS:-7}
site_entries=6
site_ready_attempts=200  # at 0.1 s each
declare -A entry_pid=()
declare -A entry_start=()
standin_pid=
entry_addresses=
load_entries=()

entry_address() { echo "127.0.0.1:${site_ports}00$1"; }
platform_address="127.0.0.1:${site_ports}101"
control_address="127.0.0.1:${site_ports}100"

for site_number in $(seq 1 "$site_entries"); do
  entry_addresses+="${entry_addresses:+,}$(entry_address "$site_number")"
  load_entries+=(--entry "$(entry_address "$site_number")")
done

# Replaces the first digit of the ports in a settings file by the prefix.
with_ports() { sed -e "s/127\.0\.0\.1:7/127.0.0.1:$site_ports/" "$1"; }

await() {
  local what=$1 url=$2
  for _ in $(seq 1 "$site_ready_attempts"); do
    curl -sf -o /dev/null --max-time 1 "$url" && return 0
    sleep 0.1
  done
  echo "$what is not ready, see $out" >&2
  return 1
}

# Starts entry NUMBER. A restart after a crash writes to a log of its own, because the old one may end in half a line.
start_entry() {
  local number=$1 run name
  name=e$number
  run=$((${entry_start[$number]:-0} + 1))
  entry_start[$number]=$run
  "$build/jaymast-entry" --config "$out/$name.toml" >"$out/$name-$run.events" 2>"$out/$name-$run.log" &
  entry_pid[$number]=$!
}

start_site() {
  local number
  mkdir -p "$out"
  rm -f "$out"/*.events "$out"/*.log
  with_ports examples/demo/standin.toml | sed -e "s|^events = .*|events = \"$out/standin.events\"|" >"$out/standin.toml"
  "$build/jaymast-standin" --config "$out/standin.toml" 2>"$out/standin.log" &
  standin_pid=$!
  await "the platform" "http://$platform_address/v1/instances"
  for number in $(seq 1 "$site_entries"); do
    sed -e "s/@NAME@/e$number/" -e "s/@DOMAIN@/d$(((number + 1) / 2))/" \
      -e "s/@HTTP_PORT@/700$number/" -e "s/@PEER_PORT@/701$number/" examples/demo/entry.toml.in >"$out/entry.toml"
    with_ports "$out/entry.toml" >"$out/e$number.toml"
    start_entry "$number"
  done
  rm -f "$out/entry.toml"
  for number in $(seq 1 "$site_entries"); do
    await "entry e$number" "http://$(entry_address "$number")/readyz"
  done
}

# Entries stop first, so that they can hand over and delete their records while the platform is up.
stop_site() {
  local failed=0 number code
  for number in "${!entry_pid[@]}"; do kill -TERM "${entry_pid[$number]}" 2>/dev/null || true; done
  for number in $(echo "${!entry_pid[@]}" | tr ' ' '\n' | sort); do
    code=0
    wait "${entry_pid[$number]}" || code=$?
    echo "entry e$number ended with code $code"
    [ "$code" -eq 0 ] || failed=1
  done
  entry_pid=()
  if [ -n "$standin_pid" ]; then
    code=0
    kill -TERM "$standin_pid" 2>/dev/null || true
    wait "$standin_pid" || code=$?
    echo "jaymast-standin ended with code $code"
    [ "$code" -eq 0 ] || failed=1
    standin_pid=
  fi
  return "$failed"
}

# Sets faults of the stand-ins, for example '{"table":{"outage":true}}'.
set_fault() { curl -sf --max-time 5 -o /dev/null -X POST -d "$1" "http://$control_address/v1/faults"; }

# Saves the configuration in force, which the checkers of the guarantees compare the event logs with.
save_config() {
  curl -sf --max-time 5 -X POST -d '{"keys":["config"],"prefixes":[]}' "http://$platform_address/v1/read" \
    >>"$out/configs.jsonl"
  echo >>"$out/configs.jsonl"
}
