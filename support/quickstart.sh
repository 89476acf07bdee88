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

echo
echo "A streamed request to a model that no server holds yet:"
curl -sS -N --max-time 40 http://127.0.0.1:17101/v1/chat/completions \
  -H 'X-Service: valve-assistant' -H 'Content-Type: application/json' -d '{
    "model": "valves-70b:spool", "stream": true, "max_tokens": 8,
    "messages": [{"role": "user", "content": "Which spool for two ports?"}]}'

echo
echo "An order to a plain service, sent twice with one key; it runs once:"
for router in 17101 17111; do
  curl -sS --max-time 40 "http://127.0.0.1:$router/services/spec-sheets/orders" \
    -H 'X-Service: valve-assistant' -H 'Content-Type: application/json' \
    -H 'Idempotency-Key: quickstart-1' -d '{"part": "manifold", "count": 1}'
  echo
done

cat <<'END'

Where to look next:
  README.md              what boragehill is and how to run it
  examples/local/        the settings and the profile used here
  docs/OPERATIONS.md     running it: settings, profiles, what to watch
  docs/CONTRIBUTING.md   changing it
END
