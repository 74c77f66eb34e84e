#!/usr/bin/env bash
# Runs the measures of all areas, each against its baseline in the same run.
set -euo pipefail
cd "$(dirname "$0")/.."
"${BIN:-bin}/sesame-bench" "$@"
