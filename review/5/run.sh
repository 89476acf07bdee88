#!/usr/bin/env bash
# Writes record.txt beside it; TROUBLE=0 leaves the disruption out.
set -euo pipefail

export TROUBLE=${TROUBLE:-1}
folder=$(cd "$(dirname "$0")" && pwd)
# shellcheck source=review/common/run.sh
. "$folder/../common/run.sh"
run_case "$(basename "$folder")" "$folder/record.txt"
