#!/usr/bin/env bash
# Builds the program of each case. The stand-ins are part of it.
set -euo pipefail
cd "$(dirname "$0")/.."
for main in review/[1-5]/main.go; do
  n=$(basename "$(dirname "$main")")
  go build -ldflags=-linkmode=external -o "target/review-$n" "./review/$n"
done
