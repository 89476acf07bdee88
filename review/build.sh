#!/usr/bin/env bash
# Builds the stand-ins and clients of the scripts, one program a case, in
# target/review/. Needs the compiler and libjsoncpp-dev, as the deploy file's
# build does.
set -euo pipefail

cd "$(dirname "$0")/.."
mkdir -p target/review
read -ra flags <<<"$(pkg-config --cflags --libs jsoncpp)"
for source in review/*/*.cpp; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" \
    -o "target/review/$(basename "$source" .cpp)-$number" "${flags[@]}"
done
