# Runs the program of a case, for its run.sh.

# run_case NUMBER RECORD: returns 1 if the rule was broken, 0 if it held and 2 if
# the case couldn't run. KEEP_LOGS=1 keeps the processes' logs.
run_case() {
  local number=$1 record=$2 temporary status=0
  cd "$(dirname "$record")/../.."
  if [ ! -x target/boragehill ] || [ ! -x "target/review/case-$number" ]; then
    echo "build the system and run review/build.sh first" >&2
    return 2
  fi
  temporary=$(mktemp -d)
  timeout -k 2 118 "target/review/case-$number" "$temporary" "$record" ||
    status=$?
  if [ -n "${KEEP_LOGS:-}" ]; then
    echo "logs: $temporary"
  else
    rm -rf "$temporary"
  fi
  if [ "$status" -gt 2 ]; then status=2; fi
  return "$status"
}
