#!/usr/bin/env bash
# Measures the service that one profile still gets while another profile floods their pool with
# 20 times its capacity: without a flood, with a flood of the least urgent profile and with a flood
# of the most urgent one. One entry is killed halfway through each run.
# Queue policies: shares (the default of the entries) and, as baselines, fifo and priority.
# Pool drawer has 4 hosts of 8 slots; with a mean service time of 200 ms its capacity is
# 160 requests per second.
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
    curl -fsS "http://127.0.0.1:730$i/metrics" | awk '/^process_cpu_seconds_total/ {print "CPU seconds of an entry:", $2}'
  done
  stop_all
}

for policy in ${POLICIES:-shares fifo priority}; do
  measure "$policy" "no flood" --work "$(urgent 40)" --work "$(background 10)"
  measure "$policy" "flood of the least urgent" --work "$(urgent 40)" --work "$(background 3200)"
  measure "$policy" "flood of the most urgent" --work "$(urgent 3200)" --work "$(background 10)"
done
