#!/usr/bin/env bash
# Starts or stops a small boragehill on this machine as it runs for its users:
# two routers, and stand-ins for the platform's store, two model workers with
# an agent each, and a plain service. A machine is a loopback address: the
# routers are 127.0.0.1 and 127.0.0.2, the workers 127.0.0.11 and 127.0.0.12,
# the plain service 127.0.0.21. Ports are 17001 to 17111.
#
#   support/local_stack.sh start
#   support/local_stack.sh stop
set -euo pipefail

root=$(cd "$(dirname "$0")/.." && pwd)
build=$(cd "${BORAGEHILL_BUILD:-$root/build}" && pwd)
readonly root build
readonly state=$build/local_stack
readonly examples=$root/examples/local
readonly store=127.0.0.1:17001
# shellcheck source=support/stack_processes.sh
. "$root/support/stack_processes.sh"

# The operator writes the configuration to the store; no process of ours is
# called.
write_configuration() {
  printf '{"table": "op", "key": "config", "value": "%s"}' \
    "$(base64 -w 0 "$examples/config.json")" |
    curl -fsS -o /dev/null -H 'Content-Type: application/json' \
      --data-binary @- "http://$store/standin/put"
}

start_server() {
  local name=$1 service=$2 address=$3
  shift 3
  standin "$name" worker --address="$address" --port=17010 --id="$name" \
    --service_name="$service" --store="$store" --delay_ms=20 "$@"
}

start_worker() {
  local name=$1 address=$2 held=$3
  start_server "$name" valve-assistant "$address" --load_ms_disk=300 \
    --disk_checkpoints=2 --cached_memory="$held" \
    --cached_disk=valves-70b,quotes-70b,spools-70b
}

start() {
  standin store rows --address=127.0.0.1 --port=17001
  await "http://$store/standin/ready"
  write_configuration
  start_worker worker_a 127.0.0.11 valves-70b
  start_worker worker_b 127.0.0.12 quotes-70b
  start_server sheets spec-sheets 127.0.0.21
  local name address
  for name in router_1 router_2; do
    launch "$name" "$build/boragehill" router --settings "$examples/$name.toml"
  done
  for name in agent_a agent_b; do
    launch "$name" "$build/boragehill" agent --settings "$examples/$name.toml"
  done
  for address in 127.0.0.11 127.0.0.12 127.0.0.21; do
    await "http://$address:17010/standin/ready"
  done
  for address in 127.0.0.1 127.0.0.2; do await "http://$address:17111/readyz"; done
}

run_stack "$@"
