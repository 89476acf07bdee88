#!/usr/bin/env bash
# Builds the stand-ins and callers of the second review into target/review-2.
# Needs what deploy/system.toml lists as packages, and nothing else.
set -euo pipefail

cd "$(dirname "$0")/.."
readonly out=target/review-2
mkdir -p "$out"

compile() {
  g++ -std=c++20 -O1 -Ireview/common-2 "$2" -o "$out/$1" "${@:3}" -pthread
}

compile review_worker review/common-2/plain_worker.cpp
compile review_store review/common-2/store.cpp $(pkg-config --cflags --libs jsoncpp) -lcpp-httplib
for number in 6 7 8 9 10; do
  [ -f "review/$number/caller.cpp" ] || continue
  compile "review_caller_$number" "review/$number/caller.cpp"
done
