#!/usr/bin/env bash
# Installs, builds, starts a small boragehill on this machine, sends it two
# requests and stops it again.
#
#   support/quickstart.sh                 everything
#   support/quickstart.sh --no-install    when the packages are there already
set -euo pipefail

cd "$(dirname "$0")/.."
readonly build=${BORAGEHILL_BUILD:-build}
export BORAGEHILL_BUILD=$build

if [ "${1:-}" != --no-install ]; then support/install.sh; fi
cmake -G Ninja -S . -B "$build"
cmake --build "$build" --target boragehill boragehill_standin

# Also after an error or Ctrl-C, nothing started here stays behind.
trap support/local_stack.sh\ stop EXIT
trap 'exit 130' INT TERM
support/local_stack.sh start

readonly caller=(curl -sS -N --max-time 12 -H 'Host: valves.example'
  -H 'Boragehill-Deadline-Ms: 10000')

echo
echo "A streamed request to a model that no worker holds yet:"
"${caller[@]}" http://127.0.0.1:17110/stream/ask \
  -H 'Boragehill-Attempt-Id: quickstart-1' \
  -H 'Boragehill-Model: spools-70b' -d 'Which spool for two ports?'

echo "An order, which may run only once:"
"${caller[@]}" http://127.0.0.2:17110/plain/orders \
  -H 'Boragehill-Attempt-Id: quickstart-2' -d 'one manifold'

echo
echo
echo "What became of the first one, from the logs alone:"
"$build/boragehill" explain quickstart-1 --log "$build/local_stack/router_1.log"

cat <<'END'

Where to look next:
  README.md              what boragehill is and how to run it
  examples/local/        the settings and the configuration used here
  docs/OPERATIONS.md     running it: settings, what to watch
  docs/CONTRIBUTING.md   changing it
END
