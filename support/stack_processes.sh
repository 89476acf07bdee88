# Sourced by the scripts that start a small system on this machine, with
# `build` and `state` set: starts processes in the background, waits for them
# and ends them. `state` holds their logs and the list of those that run.

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

# Fails if a system of this folder runs already.
begin_stack() {
  if [ -s "$state/processes" ]; then
    echo "already started; stop it first" >&2
    return 1
  fi
  mkdir -p "$state"
  : >"$state/processes"
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
stop_stack() {
  [ -f "$state/processes" ] || return 0
  end_group -E ' (router|agent)_'
  end_group -Ev ' (router|agent)_'
  rm -f "$state/processes"
}

# A start that fails or is interrupted leaves nothing running.
stop_after_failure() {
  local status=$?
  if [ "$status" != 0 ]; then stop_stack; fi
}

# Runs what the command line asks for; the script has a function `start`.
run_stack() {
  case "${1:-}" in
    start)
      begin_stack
      trap stop_after_failure EXIT
      trap 'exit 130' INT TERM
      start
      ;;
    stop) stop_stack ;;
    *)
      echo "usage: $0 start|stop" >&2
      exit 2
      ;;
  esac
}
