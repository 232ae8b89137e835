#!/usr/bin/env bash
# Measures, in one run, the latency of requests through the entries and of direct calls to the same
# targets, and the CPU time that the entries spend per request.
set -euo pipefail
. scripts/local.sh
trap stop_all EXIT
TARGET_MEAN=1us start_fleet
targets=()
for t in $(target_addresses | sed -n 1,4p); do targets+=(--target "$t"); done

cpu() {
  local total=0 i
  for i in 1 2 3; do
    curl -fsS "http://127.0.0.1:730$i/metrics" | awk '/^process_cpu_seconds_total/ {print $2}'
  done | awk '{s+=$1} END {print s}'
}

for rate in ${RATES:-0 500 1000 2000}; do
  before=$(cpu)
  if [ "$rate" = 0 ]; then
    sleep 10
    echo "idle: $(echo "$before $(cpu)" | awk '{printf "%.2f%% of a core per entry", ($2-$1)/10/3*100}')"
    continue
  fi
  echo "rate $rate requests per second:"
  "$BIN/basilwood-load" --duration 10s --skip-check "${targets[@]}" \
    --entry 127.0.0.1:7101 --entry 127.0.0.1:7102 --entry 127.0.0.1:7103 \
    --work "profile=curator-checks,service=drawer,rate=$rate,timeout=2s" \
    --work "profile=direct,service=drawer,rate=$rate,direct=true"
  echo "CPU time of the entries: $(echo "$before $(cpu) $rate" | awk '{printf "%.3f ms per request", ($2-$1)*1000/($3*10)}')"
done
