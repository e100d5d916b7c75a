# Sourced by the benchmarks: starts and stops the processes of a fleet on loopback.
#
# Signals are sent only to the process identifiers recorded at the start, never to processes found by name.

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
router_count=${ROUTERS:-9}
declare -A process_ids=()

# prepare_fleet DEPLOYMENT DIRECTORY: copies the distribution, which a later build may replace, and the example settings,
# and adapts the settings to PORT_PREFIX, POLICY, CONTROL_PLANE and ROUTERS.
prepare_fleet() {
  deployment=$1
  run_directory=$2
  mkdir -p "$run_directory"
  "$root/build-distribution"
  home="$run_directory/home"
  cp -r "$("$root/build-distribution" --print-home)" "$home"
  cp "$home"/examples/"$deployment"/*.toml "$run_directory/"
  example_prefix=$(sed -n 's/^address = "127.0.0.1:\([0-9][0-9]\)000"/\1/p' "$run_directory/platform.toml")
  port_prefix=${PORT_PREFIX:-$example_prefix}
  sed -i "s/127\.0\.0\.1:$example_prefix\([0-9][0-9][0-9]\)/127.0.0.1:$port_prefix\1/g" "$run_directory"/*.toml
  for file in "$run_directory"/router-*.toml; do
    sed -i "s/^\[router\]/[router]\nscheduling_policy = \"${POLICY:-fair}\"\ncontrol_plane = \"${CONTROL_PLANE:-membership}\"/" "$file"
  done
  keep_first_routers
}

keep_first_routers() {
  for number in 1 2 3 4 5 6 7 8 9; do
    if [ "$number" -gt "$router_count" ]; then
      sed -i "s/, \"127\.0\.0\.1:${port_prefix}[13]0$number\"//g" "$run_directory"/callers*.toml
    fi
  done
}

# start_process NAME COMMAND...: starts a program of the distribution in the background and appends its output to NAME.log.
start_process() {
  local name=$1
  shift
  "$home/bin/$1" "${@:2}" >>"$run_directory/$name.log" 2>&1 </dev/null &
  process_ids[$name]=$!
}

start_router() {
  start_process "router-$1" mangowall-router --settings "$run_directory/router-$1.toml"
}

start_surroundings() {
  start_process platform mangowall-standin platform --settings "$run_directory/platform.toml"
  start_process engines mangowall-standin engine --inventory "$run_directory/inventory.toml" \
    --settings "$run_directory/runners.toml"
  start_process plains mangowall-standin plain --inventory "$run_directory/inventory.toml" \
    --settings "$run_directory/runners.toml"
}

start_fleet() {
  start_surroundings
  await_http "http://127.0.0.1:${port_prefix}000/control"
  for number in $(seq 1 "$router_count"); do
    start_router "$number"
  done
  for number in $(seq 1 "$router_count"); do
    await_http "http://127.0.0.1:${port_prefix}30$number/metrics"
  done
  "$home/bin/mangowall" apply --routers "127.0.0.1:${port_prefix}301" "$run_directory/inventory.toml"
  for number in $(seq 1 "$router_count"); do
    await_http "http://127.0.0.1:${port_prefix}10$number/mangowall/ready"
  done
}

# await_http URL: waits until a GET succeeds; fails after 300 attempts.
await_http() {
  for _ in $(seq 1 300); do
    if curl --silent --fail --max-time 2 --output /dev/null "$1"; then
      return 0
    fi
    sleep 0.1
  done
  echo "no successful response from $1 after 300 attempts" >&2
  return 1
}

# end_process NAME SIGNAL: sends a signal to a process of this run and waits until it has ended.
end_process() {
  local identifier=${process_ids[$1]:-}
  [ -n "$identifier" ] || return 0
  kill "-$2" "$identifier" 2>/dev/null || true
  wait "$identifier" 2>/dev/null || true
  unset "process_ids[$1]"
}

end_fleet() {
  for name in "${!process_ids[@]}"; do
    kill -CONT "${process_ids[$name]}" 2>/dev/null || true
    kill -KILL "${process_ids[$name]}" 2>/dev/null || true
  done
  for name in "${!process_ids[@]}"; do
    wait "${process_ids[$name]}" 2>/dev/null || true
  done
  process_ids=()
}

# router_usage: prints the name, resident memory in KiB and processor time in clock ticks of each router.
router_usage() {
  for number in $(seq 1 "$router_count"); do
    local identifier=${process_ids[router-$number]:-}
    [ -n "$identifier" ] && [ -r "/proc/$identifier/stat" ] || continue
    local resident ticks
    resident=$(awk '/^VmRSS/ {print $2}' "/proc/$identifier/status")
    ticks=$(awk '{print $14 + $15}' "/proc/$identifier/stat")
    echo "router-$number $resident $ticks"
  done
}
