#!/usr/bin/env bash
# Builds the fuzz targets with clang and runs each for a bounded count from the
# committed corpus. The seed is fixed, so two runs agree.
#
#   support/fuzz.sh [runs]
set -euo pipefail

cd "$(dirname "$0")/.."
readonly build=${BORAGEHILL_FUZZ_BUILD:-build-fuzz}
readonly runs=${1:-20000}

CC=clang-14 CXX=clang++-14 cmake -G Ninja -S . -B "$build" \
  -DBORAGEHILL_FUZZ=ON -DBORAGEHILL_TEST=OFF -DBORAGEHILL_BENCH=OFF
for name in frames messages settings profile platform; do
  cmake --build "$build" --target "${name}_fuzz"
  # New inputs go to the build folder, so the committed corpus stays as it is.
  mkdir -p "$build/corpus/$name"
  "$build/fuzz/${name}_fuzz" -seed=20250901 -runs="$runs" -max_len=4096 \
    -artifact_prefix="$build/" "$build/corpus/$name" "fuzz/corpus/$name"
done
echo "fuzz: 5 targets, $runs runs each, no finding"
