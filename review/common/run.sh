# Runs the program of a case; the folder of the case is the first argument.
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't
# run. With TROUBLE=0 there is no disruption.
run_case() {
  local case_folder number temporary status=0
  case_folder=$(cd "$1" && pwd)
  number=$(basename "$case_folder")
  cd "$case_folder/../.."
  if [ ! -x target/boragehill ] || [ ! -x "target/review/case-$number" ]; then
    echo "build the system and run review/build.sh first" >&2
    return 2
  fi
  temporary=$(mktemp -d)
  timeout -k 2 118 "target/review/case-$number" "$temporary" \
    "$case_folder/record.txt" || status=$?
  if [ -n "${KEEP_LOGS:-}" ]; then
    echo "logs: $temporary"
  else
    rm -rf "$temporary"
  fi
  if [ "$status" -gt 2 ]; then status=2; fi
  return "$status"
}
