#!/usr/bin/env bash
# Runs clang-tidy over every source file of a build's compilation database, in
# as many jobs as given. A file that has passed is not read again while nothing
# that its verdict rests on has changed: the file and all of the project's that
# it includes, the linter's settings and version, the compile command, and the
# system's packages.
#
#   support/lint.sh BUILD JOBS
set -euo pipefail

cd "$(dirname "$0")/.."
readonly build=${1:?build folder}
readonly jobs=${2:?jobs}
readonly passed=${XDG_CACHE_HOME:-$HOME/.cache}/boragehill-lint
mkdir -p "$passed"

# What the verdict on every file rests on.
common() {
  clang-tidy --version
  cat .clang-tidy
  dpkg-query -W | sha256sum
}

# The source files, without the one that has to be C++14, which the linter's
# checks don't fit.
linted_files() {
  sed -n 's/^ *"file": "\(.*\)",\{0,1\}$/\1/p' "$build/compile_commands.json" |
    grep -v '/src/wire/json_rpc_client\.cpp$' | sort -u
}

# What the verdict on one file rests on, as a hash.
key_of() {
  local file=$1 compile includes
  compile=$(grep -F -B1 "\"file\": \"$file\"" "$build/compile_commands.json" |
    sed -n 's/^ *"command": "\(.*\)",$/\1/p' | sed 's/ -o .*//' | head -n 1)
  [ -n "$compile" ] || return 0
  # The compiler's own list of what the file includes, without the system's.
  includes=$(sh -c "${compile//\\\"/\"} -MM '$file'" | tr -d '\\\n' |
    cut -d: -f2-)
  [ -n "$includes" ] || return 0
  {
    echo "$common_key ${compile//$PWD/}"
    # shellcheck disable=SC2086 # The list is of words.
    sha256sum $includes | sed "s,$PWD/,,"
  } | sha256sum | cut -d' ' -f1
}

lint_one() {
  local key
  key=$(key_of "$1")
  if [ -n "$key" ] && [ -f "$passed/$key" ]; then
    echo "$1"
    return
  fi
  clang-tidy -p "$build" --quiet --extra-arg=-Wno-unknown-warning-option "$1" \
    2> >(grep -v 'warnings\{0,1\} generated\.$' >&2 || true) >&2
  [ -z "$key" ] || touch "$passed/$key"
}

common_key=$(common | sha256sum | cut -d' ' -f1)
readonly common_key
export build passed common_key
export -f key_of lint_one

unchanged=$(linted_files |
  xargs -d '\n' -P "$jobs" -n 1 bash -c 'set -euo pipefail; lint_one "$1"' _)
echo "lint: $(linted_files | wc -l) files passed," \
  "$(grep -c . <<<"$unchanged" || true) of them unchanged since they did before"
