#!/usr/bin/env bash
# Latency of the path beside direct calls to the same targets, in one run, and the
# processor time of an entry for each request.
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
    echo "idle: $(echo "$before $(cpu)" | awk '{printf "%.2f%% of a core for each entry", ($2-$1)/10/3*100}')"
    continue
  fi
  echo "rate $rate requests a second:"
  "$BIN/basilwood-load" --duration 10s --skip-check "${targets[@]}" \
    --entry 127.0.0.1:7101 --entry 127.0.0.1:7102 --entry 127.0.0.1:7103 \
    --work "profile=curator-checks,service=drawer,rate=$rate,timeout=2s" \
    --work "profile=direct,service=drawer,rate=$rate,direct=true"
  echo "processor time of the entries: $(echo "$before $(cpu) $rate" | awk '{printf "%.3f ms a request", ($2-$1)*1000/($3*10)}')"
done
