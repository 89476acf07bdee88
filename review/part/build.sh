#!/usr/bin/env bash
# Builds the programs of the cases and the project's own stand-in of the store,
# after the build of deploy/system.toml. They lie in target/review.
set -euo pipefail
cd "$(dirname "$0")/../.."
out=target/review
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra)
g++ "${flags[@]}" -Iinclude -Isrc -Itest test/standin/*.cpp \
  $(pkg-config --cflags --libs cpp-httplib jsoncpp absl_flags absl_flags_parse absl_strings libxxhash) \
  -lpthread -o "$out/standin" &
for each in cut gone rest empty; do
  g++ "${flags[@]}" "review/part/lab.cpp" "review/part/$each/$each.cpp" -lpthread -o "$out/$each" &
done
wait
for each in standin cut gone rest empty; do test -x "$out/$each"; done
