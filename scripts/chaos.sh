#!/usr/bin/env bash
# Kills and freezes processes of a local fleet under load, injects store faults, and afterwards
# compares replies, accounts and executions. Exits non-zero if any of them disagree.
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
echo "5 s: restart entry-3"
start_entry 3
sleep 2
echo "7 s: freeze entry-2 for 8 s, past its lease (SIGSTOP)"
kill -STOP "$PID_entry_2"
sleep 2
echo "9 s: store drops the reply to one call in three"
faults http://127.0.0.1:7001 '{"dropReplyRatio":0.33}'
sleep 6
kill -CONT "$PID_entry_2"
echo "15 s: resume entry-2 (SIGCONT)"
faults http://127.0.0.1:7001 '{}'
sleep 2
echo "17 s: store refuses all calls for 4 s"
faults http://127.0.0.1:7001 '{"refuse":true}'
sleep 4
faults http://127.0.0.1:7001 '{}'
echo "21 s: store does not answer for 3 s; kill entry-1 (SIGKILL)"
faults http://127.0.0.1:7001 '{"silent":true}'
kill -KILL "$PID_entry_1"
sleep 3
faults http://127.0.0.1:7001 '{}'
start_entry 1
wait "$load"
