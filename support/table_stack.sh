#!/usr/bin/env bash
# Starts or stops a small boragehill on this machine: two routers, two model
# servers and a plain service with their agents, and stand-ins for the
# platform's services. Everything listens on 127.0.0.1, ports 17001 to 17222.
#
#   support/local_stack.sh start
#   support/local_stack.sh stop
set -euo pipefail

root=$(cd "$(dirname "$0")/.." && pwd)
build=$(cd "${BORAGEHILL_BUILD:-$root/build}" && pwd)
readonly root build
readonly state=$build/local_stack
readonly examples=$root/examples/local
readonly start_seconds=30
readonly stop_seconds=20

launch() {
  local name=$1
  shift
  "$@" >"$state/$name.log" 2>&1 </dev/null &
  echo "$! $name" >>"$state/processes"
}

standin() {
  local name=$1
  shift
  launch "$name" "$build/test/boragehill_standin" "$@"
}

await() {
  local url=$1 deadline=$((SECONDS + start_seconds))
  until curl -fs -o /dev/null --max-time 1 "$url"; do
    if [ "$SECONDS" -ge "$deadline" ]; then
      echo "no answer from $url; see $state/*.log" >&2
      return 1
    fi
    sleep 0.1
  done
}

start_standins() {
  standin table table --port 17001
  standin objects object --port 17002
  standin vm_list vm_list --port 17003
  standin weight_store weight_store --port 17004
  standin engine_a engine --port 17011 --weight_store 127.0.0.1:17004
  standin engine_b engine --port 17012 --weight_store 127.0.0.1:17004
  standin service_a service --port 17013
  local port
  for port in 17001 17002 17003 17004 17011 17012 17013; do
    await "http://127.0.0.1:$port/standin/ready"
  done
  curl -fs -o /dev/null -H 'Content-Type: application/json' \
    --data-binary "@$examples/vms.json" http://127.0.0.1:17003/standin/vms
}

start_product() {
  local name
  for name in router_1 router_2; do
    launch "$name" "$build/boragehill" router --settings "$examples/$name.toml"
  done
  for name in agent_a agent_b agent_service; do
    launch "$name" "$build/boragehill" agent --settings "$examples/$name.toml"
  done
  local port
  for port in 17202 17212 17222; do await "http://127.0.0.1:$port/healthz"; done
  for port in 17101 17111; do await "http://127.0.0.1:$port/healthz"; done
}

publish_profile() {
  "$build/boragehill" profile publish "$examples/profile.toml" \
    --router 127.0.0.1:17103 --token_file "$state/admin.token"
}

start() {
  if [ -s "$state/processes" ]; then
    echo "already started; stop it first" >&2
    return 1
  fi
  mkdir -p "$state"
  # Relative paths in the settings are below this folder.
  cd "$state"
  od -An -N16 -tx1 /dev/urandom | tr -d ' \n' >admin.token
  chmod 600 admin.token
  : >processes
  start_standins
  start_product
  publish_profile
  local port
  for port in 17101 17111; do await "http://127.0.0.1:$port/readyz"; done
}

# True while the process is one of ours: its number may be another's by now.
is_running() {
  [[ "$(ps -p "$1" -o comm= 2>/dev/null)" == boragehill* ]]
}

# Ends the processes whose line in the list does, or does not, match.
end_group() {
  local process name running=() deadline=$((SECONDS + stop_seconds))
  while read -r process name; do
    is_running "$process" || continue
    kill -TERM "$process" 2>/dev/null || true
    running+=("$process")
  done < <(grep "$@" "$state/processes" || true)
  for process in "${running[@]}"; do
    while is_running "$process"; do
      if [ "$SECONDS" -ge "$deadline" ]; then
        echo "process $process did not stop in time and is killed" >&2
        kill -KILL "$process" 2>/dev/null || true
        break
      fi
      sleep 0.1
    done
  done
}

# Routers and agents stop before the stand-ins that they speak to.
stop() {
  [ -f "$state/processes" ] || return 0
  end_group -E ' (router|agent)_'
  end_group -Ev ' (router|agent)_'
  rm -f "$state/processes"
}

# A start that fails or is interrupted leaves nothing running.
stop_after_failure() {
  local status=$?
  if [ "$status" != 0 ]; then stop; fi
}

case "${1:-}" in
  start)
    trap stop_after_failure EXIT
    trap 'exit 130' INT TERM
    start
    ;;
  stop) stop ;;
  *)
    echo "usage: support/local_stack.sh start|stop" >&2
    exit 2
    ;;
esac
