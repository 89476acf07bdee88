#!/usr/bin/env bash
# Plays the standard days of sites with one mechanism of a router switched off
# at a time, by a setting, and prints the mean worth of each as a row of a table.
#
#   FLEETBENCH=path/to/fleetbench bench/ablation.sh "SEEDS" SITE...
#
# Runs in the checkout that it is called in, which should be a scratch one: it
# changes deploy/router.toml and puts it back. BORAGEHILL_JOBS: plays at once.
set -euo pipefail

readonly bench=${FLEETBENCH:?path of the bench}
readonly seeds=${1:?seeds}
shift
readonly jobs=${BORAGEHILL_JOBS:-4}
readonly settings=deploy/router.toml
readonly days="quiet-1 trouble-1 scale-1 trouble-2 scale-2 trouble-3"
readonly only=${BORAGEHILL_ABLATION:-.}

# Name, section, key and the value that switches it off; "-": nothing.
mechanisms() {
  cat <<END
all on|-||
relief of busy models|planner|requests_per_replica|1000
relief from the store|planner|starved_ms|60000
stock of free places|planner|stock_gain_s|1000000
loads ahead of need|planner|idle_loss_s|0
settling of new models|planner|settle_ms|0
pace of the store|planner|store_loads|1000
observing before the store|planner|observe_ms|0
waiting for reports|planner|acquaint_ms|0
retries|retries|extra|0
late requests yield|entry|late_prompt_tokens|1000000000
filling beyond the slots|entry|queue_share|0
END
}

saved=$(mktemp)
results=$(mktemp -d)
cp "$settings" "$saved"
trap 'cp "$saved" "$settings"; rm -rf "$saved" "$results"' EXIT

# Sets one key of a section, in place of one that stands there.
switch_off() {
  local section=$1 key=$2 value=$3
  cp "$saved" "$settings"
  [ "$section" = - ] && return
  sed -i "/^$key = /d" "$settings"
  if grep -q "^\[$section\]" "$settings"; then
    sed -i "s/^\[$section\]/&\n$key = $value/" "$settings"
  else
    printf '\n[%s]\n%s = %s\n' "$section" "$key" "$value" >>"$settings"
  fi
}

# The mean worth of the quiet day, and that of the days with trouble.
means() {
  awk '/^worth [-0-9.]+ = / { quiet = FILENAME ~ /quiet/
         sum[quiet] += $2; count[quiet]++ }
       /BROKEN/ { broken++ }
       END { printf "%.3f, %.3f%s", sum[1] / count[1], sum[0] / count[0],
         broken ? " (" broken " broken)" : "" }' "$results"/*.out
}

while IFS='|' read -r name section key value; do
  grep -Eq "$only" <<<"$name" || continue
  switch_off "$section" "$key" "$value"
  row="| $name | ${key:+$section.$key = $value} |"
  for site in "$@"; do
    rm -f "$results"/*.out
    for seed in $seeds; do
      for day in $days; do echo "$day $seed"; done
    done | xargs -P "$jobs" -L 1 bash -c '"$0" run "$1" "$3" --seed "$4" \
      --no-cpu --jobs 1 --why "ablation: $2" >"'"$results"'/$3.$4.out" 2>&1' \
      "$bench" "$site" "$name" || true
    row+=" $(means) |"
  done
  echo "$row"
done < <(mechanisms)
