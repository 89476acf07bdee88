#!/usr/bin/env bash
# Builds the stand-ins and callers of the second review into target/review-2.
# Needs what deploy/system.toml lists as packages, and nothing else.
set -euo pipefail

cd "$(dirname "$0")/.."
readonly out=target/review-2
mkdir -p "$out"

compile() {
  g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers \
    "review/common-2/src/$2" -o "$out/$1" "${@:3}" -pthread
}

compile review_worker plain_worker.cpp
read -ra json <<<"$(pkg-config --cflags --libs jsoncpp)"
compile review_store store.cpp "${json[@]}" -lcpp-httplib
for number in 6 7 8 10; do
  compile "review_caller_$number" "caller_$number.cpp"
done
compile review_removed removed.cpp review/common-2/src/lab.cpp
