#!/usr/bin/env bash
# Kills and freezes real processes under load, with store faults, and compares replies,
# accounts and executions afterwards. Exits non-zero on any disagreement.
set -euo pipefail
. scripts/local.sh
trap stop_all EXIT

faults() { curl -fsS -o /dev/null -X PUT -d "$2" "$1/faults"; }

start_fleet
targets=()
for t in $(target_addresses); do targets+=(--target "$t"); done
"$BIN/basilwood-load" --duration 30s --seed "${SEED:-1}" --settle 4s --may-miss-accounts \
  --entry 127.0.0.1:7101 --entry 127.0.0.1:7102 --entry 127.0.0.1:7103 \
  --live-entry 127.0.0.1:7101 --live-entry 127.0.0.1:7102 --live-entry 127.0.0.1:7103 "${targets[@]}" \
  --work profile=curator-checks,service=drawer,rate=100,timeout=2s \
  --work profile=germination-reads,service=germination,rate=80,timeout=3s \
  --work profile=seed-counts,service=germination,rate=60,timeout=3s,keyed=true,repeat=0.2 \
  --work profile=purchase-orders,service=orders,rate=60,timeout=3s,keyed=true,repeat=0.2 &
load=$!
sleep 3
echo "3 s: kill entry-3 (SIGKILL)"
kill -KILL "$PID_entry_3"
sleep 2
echo "5 s: start entry-3 again"
start_entry 3
sleep 2
echo "7 s: freeze entry-2 for 8 s, past its lease (SIGSTOP)"
kill -STOP "$PID_entry_2"
sleep 2
echo "9 s: replies of the store are lost (one in three)"
faults http://127.0.0.1:7001 '{"dropReplyRatio":0.33}'
sleep 6
kill -CONT "$PID_entry_2"
echo "15 s: entry-2 goes on"
faults http://127.0.0.1:7001 '{}'
sleep 2
echo "17 s: store down for 4 s"
faults http://127.0.0.1:7001 '{"refuse":true}'
sleep 4
faults http://127.0.0.1:7001 '{}'
echo "21 s: store silent for 3 s while entry-1 is killed"
faults http://127.0.0.1:7001 '{"silent":true}'
kill -KILL "$PID_entry_1"
sleep 3
faults http://127.0.0.1:7001 '{}'
start_entry 1
wait "$load"
