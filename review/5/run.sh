#!/usr/bin/env bash
set -euo pipefail
# shellcheck source=review/common/run.sh
. "$(dirname "$0")/../common/run.sh"
run_case "$(dirname "$0")"
