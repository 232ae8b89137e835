#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/rig-2 ./review/rig-2
