#!/usr/bin/env bash
# Runs the benchmarks of all areas, each with its baseline in the same run.
set -euo pipefail
cd "$(dirname "$0")/.."
"${BIN:-bin}/sesame-bench" "$@"
