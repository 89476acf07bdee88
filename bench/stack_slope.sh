#!/usr/bin/env bash
# Measures processor time, memory and control bytes of the local stack's
# processes at several loads. All requests enter at router 2.
#
#   support/table_stack.sh start
#   bench/stack_slope.sh 0:16 10:16 40:16 20:64     rate:tokens, 15 s each
set -euo pipefail

root=$(cd "$(dirname "$0")/.." && pwd)
build=$(cd "${BORAGEHILL_BUILD:-$root/build}" && pwd)
load=${BORAGEHILL_LOAD:-$build/bench/boragehill_load}
ticks=$(getconf CLK_TCK)
readonly root build load ticks
readonly state=$build/table_stack
readonly seconds=15
readonly first=127.0.0.1:17101 entry=127.0.0.1:17111

# One line a process: name, ticks of processor time, resident kB, threads.
processes() {
  local number name
  while read -r number name; do
    [[ $name == router_* || $name == agent_* ]] || continue
    awk -v name="$name" '
      FILENAME ~ /stat$/ { ticks = $14 + $15 }
      /^VmRSS:/ { memory = $2 }
      /^Threads:/ { threads = $2 }
      END { print name, ticks, memory, threads }
    ' "/proc/$number/stat" "/proc/$number/status"
  done <"$state/processes"
}

# Control bytes of one router so far: out and in.
control_bytes() {
  curl -fs --max-time 3 "http://$1/metrics" |
    awk '/^boragehill_router_control_bytes/ { print $2 }' | paste -sd' '
}

measure() {
  local rate=$1 tokens=$2 began ended
  began=$(date +%s%N)
  processes >"$state/slope_before"
  { control_bytes "$first"; control_bytes "$entry"; } >"$state/bytes_before"
  if [ "$rate" = 0 ]; then
    sleep "$seconds"
  else
    "$load" --router="$entry" --rate="$rate" --seconds="$seconds" \
      --max_tokens="$tokens"
  fi
  processes >"$state/slope_after"
  { control_bytes "$first"; control_bytes "$entry"; } >"$state/bytes_after"
  ended=$(date +%s%N)
  local span=$((ended - began))
  paste "$state/slope_before" "$state/slope_after" |
    awk -v span="$span" -v ticks="$ticks" '{
      printf "%-14s %6.2f %% of a core  %5.1f MB  %d threads\n", $1,
             100 * ($6 - $2) / ticks / (span / 1e9), $7 / 1024, $8 }'
  paste -d' ' "$state/bytes_before" "$state/bytes_after" |
    awk -v span="$span" '{
      printf "router_%d control bytes/s: out %.0f in %.0f\n", NR,
             ($3 - $1) / (span / 1e9), ($4 - $2) / (span / 1e9) }'
}

for point in "$@"; do
  echo "-- ${point%%:*} requests/s of ${point##*:} tokens"
  measure "${point%%:*}" "${point##*:}"
done
