#!/usr/bin/env bash
# Builds the stand-ins of the script cases 6 to 10 into target/, beside the programs of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
CGO_ENABLED=0 go build -o target/review-2/stand2 ./review/stand2
