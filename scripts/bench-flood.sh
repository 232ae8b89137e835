#!/usr/bin/env bash
# What the other work keeps while one profile floods its pool with 20 times the pool's
# capacity: the least urgent first, then the most urgent; one entry is killed in the
# middle. Policies: shares (the product's), fifo and priority as baselines.
# Pool drawer: 4 hosts of 8 slots, mean service time 200 ms, so 160 requests a second.
set -euo pipefail
. scripts/local.sh
trap stop_all EXIT

urgent() { echo "profile=curator-checks,service=drawer,rate=$1,timeout=2s"; }
background() { echo "profile=drawer-scans,service=drawer,rate=$1,timeout=5s"; }

measure() {
  local policy=$1 name=$2
  shift 2
  TARGET_MEAN=200ms start_fleet --queue-policy "$policy"
  (sleep 6; kill -KILL "$PID_entry_3") &
  local killer=$!
  echo "== policy $policy, $name"
  timeout 60 "$BIN/basilwood-load" --duration 12s --seed 7 --entry 127.0.0.1:7101 --entry 127.0.0.1:7102 "$@" || true
  wait "$killer" || true
  for i in 1 2; do
    curl -fsS "http://127.0.0.1:730$i/metrics" | awk '/^process_cpu_seconds_total/ {print "processor seconds of an entry:", $2}'
  done
  stop_all
}

for policy in ${POLICIES:-shares fifo priority}; do
  measure "$policy" "no flood" --work "$(urgent 40)" --work "$(background 10)"
  measure "$policy" "flood of the least urgent" --work "$(urgent 40)" --work "$(background 3200)"
  measure "$policy" "flood of the most urgent" --work "$(urgent 3200)" --work "$(background 10)"
done
