#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
set -euo pipefail
cd "$(dirname "$0")"
export NODE=../../target/basilwood-node RECORD=record.txt TROUBLE="${TROUBLE:-1}"
for program in "$NODE" ../../target/review-2; do
  [ -x "$program" ] || { echo "missing: $program" >&2; exit 2; }
done
exec ../../target/review-2
