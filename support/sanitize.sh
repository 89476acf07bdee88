#!/usr/bin/env bash
# Runs the in-process tests under AddressSanitizer and
# UndefinedBehaviorSanitizer, and those of threads and sockets under
# ThreadSanitizer.
#
#   support/sanitize.sh address|thread
set -euo pipefail

cd "$(dirname "$0")/.."
readonly kind=${1:?address or thread}
readonly build=${BORAGEHILL_SANITIZE_BUILD:-build-$kind}
export RC_PARAMS="seed=20250901"

case "$kind" in
  address)
    sanitizers=address,undefined
    flags=
    tests=(kernel wire decide router http adapter)
    ;;
  thread)
    sanitizers=thread
    # g++ warns that ThreadSanitizer does not model Asio's fences.
    flags=-Wno-tsan
    tests=(kernel wire)
    ;;
  *)
    echo "usage: support/sanitize.sh address|thread" >&2
    exit 2
    ;;
esac

cmake -G Ninja -S . -B "$build" -DBORAGEHILL_SANITIZE=$sanitizers \
  -DCMAKE_CXX_FLAGS="$flags" -DCMAKE_BUILD_TYPE=RelWithDebInfo -DBORAGEHILL_BENCH=OFF
cmake --build "$build" -j "${BORAGEHILL_JOBS:-10}" --target "${tests[@]/%/_test}"
for unit in "${tests[@]}"; do
  echo "== $unit under $sanitizers"
  "$build/test/${unit}_test" --gtest_brief=1
done
