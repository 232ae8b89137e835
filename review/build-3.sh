#!/usr/bin/env bash
# Builds the stand-ins of the third review into target/review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-3/ ./review/rig-3
