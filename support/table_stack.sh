#!/usr/bin/env bash
# Starts or stops the first stack on this machine: two routers, two model
# servers and a plain service with their agents, and stand-ins for the
# platform's services. Everything listens on 127.0.0.1, ports 17001 to 17222.
#
#   support/table_stack.sh start
#   support/table_stack.sh stop
set -euo pipefail

root=$(cd "$(dirname "$0")/.." && pwd)
build=$(cd "${BORAGEHILL_BUILD:-$root/build}" && pwd)
readonly root build
readonly state=$build/table_stack
readonly examples=$root/examples/table
# shellcheck source=support/stack_processes.sh
. "$root/support/stack_processes.sh"

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
  # Relative paths in the settings are below this folder.
  cd "$state"
  od -An -N16 -tx1 /dev/urandom | tr -d ' \n' >admin.token
  chmod 600 admin.token
  start_standins
  start_product
  publish_profile
  local port
  for port in 17101 17111; do await "http://127.0.0.1:$port/readyz"; done
}

run_stack "$@"
