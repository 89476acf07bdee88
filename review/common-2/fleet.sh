# shellcheck shell=bash
# What the scripts of the second review share: one router of the project, one
# platform store and plain workers, all on loopback addresses. A script sets
# `here` and `record`, sources this, calls start_fleet, runs its caller, and ends with the
# caller's exit code. Whatever can't start ends the script with 2.

root=$(cd "$here/../.." && pwd)
readonly root
readonly stand_ins=$root/target/review-2
readonly trouble=${TROUBLE:-1}
readonly ip=127.0.2.1
# A script runs for 120 s at most: what has to start does so within the first of
# these times, in seconds, and the caller ends within the second one.
readonly start_limit=20
readonly caller_limit=80
await_until=$start_limit
# A part of the script that runs beside the caller, if there is one.
disruption=
work=$(mktemp -d)
readonly work
worker_pids=()
: >"$work/pids"

stop_fleet() {
  local pid
  # It may start a process, which has to be ended as well.
  [ -z "$disruption" ] || wait "$disruption" 2>/dev/null
  while read -r pid; do kill -KILL "$pid" 2>/dev/null; done <"$work/pids"
  wait 2>/dev/null
  rm -rf "$work"
}
trap stop_fleet EXIT
trap 'exit 2' INT TERM

cannot_run() {
  echo "the case couldn't run: $1" | tee -a "$record"
  exit 2
}

say() { echo "$*" >>"$record"; }

is_free() { ! (exec 3<>"/dev/tcp/$ip/$1") 2>/dev/null; }

# Sets `base`, the first of eight free ports.
find_ports() {
  local try port
  for try in $(seq 1 50); do
    base=$((20000 + (RANDOM % 1100) * 8))
    for port in $(seq "$base" $((base + 7))); do
      is_free "$port" || continue 2
    done
    return
  done
  cannot_run "no free ports"
}

launch() {
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  last_pid=$!
  echo "$last_pid" >>"$work/pids"
}

# Sends one HTTP request and prints the status of its answer; takes IP:PORT, the
# method, the path and the body.
http_status() {
  local line
  exec 3<>"/dev/tcp/${1%:*}/${1#*:}" || return
  printf '%s %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n' "$2" "$3" "$1" >&3
  printf 'Content-Type: application/json\r\nContent-Length: %s\r\n\r\n%s' \
    "${#4}" "$4" >&3
  read -r -t 2 line <&3
  exec 3<&- 3>&-
  line=${line#* }
  echo "${line%% *}"
}

await() {
  local address=${1#http://}
  local path=/${address#*/}
  while [ "$SECONDS" -lt "$await_until" ]; do
    [ "$(http_status "${address%%/*}" GET "$path" "" 2>/dev/null)" = 200 ] && return
    sleep 0.05
  done
  cannot_run "no answer from $1"
}

put_row() {
  local body
  body=$(printf '{"table": "%s", "key": "%s", "value": "%s"}' "$1" "$2" \
    "$(base64 -w 0)")
  [ "$(http_status "$ip:$base" POST /test/put "$body" 2>/dev/null)" = 200 ] ||
    cannot_run "no store"
}

# The settings of a router, from the template of the deploy file.
write_settings() {
  sed -e '/{{#bounds.quotaWindowS}}/,/{{\/bounds.quotaWindowS}}/d' \
    -e 's|{{node}}|router-1|' -e 's|{{zone}}|zone-1|' -e "s|{{ip}}|$ip|" \
    -e "s|{{portRange.0}}|$((base + 3))|" \
    -e 's|{{limits.linkMbps}}|1000|' -e 's|{{limits.memoryMb}}|260|' \
    -e "s|{{platform.addr}}|$ip:$base|" \
    -e "s|{{listen.front}}|$ip:$((base + 1))|" \
    -e "s|{{listen.ready}}|$ip:$((base + 2))|" \
    -e 's|{{bounds.graceS}}|8|' -e 's|{{bounds.budgetRatio}}|0.2|' \
    -e 's|{{bounds.budgetExtra}}|54|' -e 's|{{bounds.budgetWindowS}}|10|' \
    "$root/deploy/router.toml" >"$work/router.toml"
}

configuration() {
  cat <<'JSON'
{"version": 7, "tenants": [],
 "routes": [
  {"name": "order", "host": "sheets.example", "prefix": "/order/",
   "kind": "non_idempotent", "service": "spec-sheets", "attempts": 1,
   "timeoutMs": 20000, "sloMs": 150, "priority": 2},
  {"name": "look-up", "host": "sheets.example", "prefix": "/lookup/",
   "kind": "idempotent", "service": "spec-sheets", "attempts": 2,
   "timeoutMs": 20000, "sloMs": 150, "priority": 2},
  {"name": "draft", "host": "sheets.example", "prefix": "/stream/",
   "kind": "stream", "service": "spec-sheets", "attempts": 1,
   "timeoutMs": 20000, "sloMs": 500, "gapAimMs": 250, "priority": 2},
  {"name": "quote", "host": "sheets.example", "prefix": "/resumable/",
   "kind": "stream", "service": "spec-sheets", "attempts": 2,
   "resumable": true, "timeoutMs": 25000, "sloMs": 3000, "gapAimMs": 250,
   "priority": 0}],
 "services": [
  {"name": "spec-sheets", "maxConns": 100, "healthPath": "/healthz"}],
 "limits": {"maxHeaderBytes": 8192, "maxBodyBytes": 1048576,
            "headerTimeoutMs": 2000, "idleTimeoutMs": 10000}}
JSON
}

worker_address() { echo "127.0.2.$((10 + $1)):$((base + 5))"; }

worker_entry() {
  printf '{"service": "spec-sheets", "addr": "%s", "zone": "zone-1",' \
    "$(worker_address "$1")"
  printf ' "version": "%s", "slots": 32, "state": "ready", "coldLeftMs": 0,' "$2"
  printf ' "seq": 0, "born": %s}' "$3"
}

# Starts a worker's process; takes its number and its software. Sets `born`.
start_worker_process() {
  local address
  address=$(worker_address "$1")
  born=$(date +%s%3N)
  launch "worker-$1-$2" "$stand_ins/review_worker" "${address%:*}" \
    "${address#*:}" "i-worker-$1" "$2"
  await "http://$address/healthz"
}

start_worker() {
  start_worker_process "$1" "$2"
  worker_pids+=("$last_pid")
  worker_entry "$1" "$2" "$born" | put_row servers "i-worker-$1"
}

# Starts all; takes the software of each worker.
start_fleet() {
  local number=0 software
  : >"$record"
  [ -x "$root/target/boragehill" ] || cannot_run "target/boragehill is missing"
  [ -x "$stand_ins/review_store" ] || cannot_run "review/build-2.sh not run"
  cd "$root" || exit 2
  find_ports
  launch store "$stand_ins/review_store" "$ip" "$base"
  await "http://$ip:$base/rows-get?table=op"
  configuration | put_row op config
  for software in "$@"; do
    number=$((number + 1))
    start_worker "$number" "$software"
  done
  write_settings
  launch router target/boragehill router --settings "$work/router.toml"
  router_pid=$last_pid
  await "http://$ip:$((base + 2))/readyz"
  say "trouble: $trouble; the router is $ip:$((base + 1))"
}

# Runs the caller of the case, appends what the worker ran, and ends the script
# with the caller's exit code.
finish_with() {
  timeout "$caller_limit" "$@" >>"$record" 2>&1
  local code=$?
  say "--- what the workers ran"
  cat "$work"/worker-*.log >>"$record"
  kill -0 "$router_pid" 2>/dev/null || say "the router has ended"
  case $code in
    0 | 1) ;;
    *) code=2 ;;
  esac
  say "exit code $code"
  exit "$code"
}
