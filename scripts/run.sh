#!/usr/bin/env bash
# End-to-end demonstration with the built-in stand-ins: a fleet on loopback serves load while an
# entry is shut down gracefully, a host is moved to another pool and a maintenance wave reboots the
# hosts of another pool. Exits non-zero if replies, accounts and executions disagree, or if the
# shutdown, the move or the wave fails. With KEEP=1 the fleet is left running.
set -euo pipefail
. scripts/local.sh
trap stop_all EXIT

start_fleet
echo "fleet: 3 entries, 3 controllers, $(target_flags | wc -l) targets; logs in $RUN/"
targets=()
for t in $(target_addresses); do targets+=(--target "$t"); done
"$BIN/basilwood-load" --duration "${DURATION:-10s}" --seed 1 \
  --entry 127.0.0.1:7101 --entry 127.0.0.1:7102 \
  --live-entry 127.0.0.1:7101 --live-entry 127.0.0.1:7102 "${targets[@]}" \
  --work profile=curator-checks,service=drawer,rate=100,timeout=2s \
  --work profile=drawer-scans,service=drawer,rate=50,timeout=5s \
  --work profile=germination-reads,service=germination,rate=80,timeout=3s \
  --work profile=seed-counts,service=germination,rate=30,timeout=3s,keyed=true,repeat=0.05 \
  --work profile=lineage-bursts,service=lineage,rate=200,timeout=5s \
  --work profile=repair-quotes,service=quotes,rate=80,timeout=3s \
  --work profile=purchase-orders,service=orders,rate=30,timeout=3s,keyed=true,repeat=0.05 \
  --work profile=dairy-invoices,service=invoices,rate=20,timeout=5s,keyed=true,repeat=0.05 &
load=$!
sleep 2
echo "stopping entry-3 gracefully (SIGTERM)"
kill -TERM "$PID_entry_3"
cli=("$BIN/basilwood" --controller http://127.0.0.1:7401)
echo "moving host quotes-4 to pool orders; starting maintenance of pool lineage"
"${cli[@]}" host move quotes-4 --to orders
"${cli[@]}" maintenance start lineage
if wait "$PID_entry_3"; then echo "entry-3 stopped without interrupting a request"; else echo "entry-3 did not stop gracefully"; exit 1; fi
wait "$load"
"${cli[@]}" status
for i in $(seq 100); do
  "${cli[@]}" --output json maintenance status lineage | grep -q '"state": "completed"' && break
  sleep 0.2
done
"${cli[@]}" maintenance status lineage | grep -q 'wave completed, 4 of 4' || { echo "the maintenance wave over pool lineage did not complete"; exit 1; }
"${cli[@]}" host show quotes-4 | grep -q 'pool: orders' || { echo "the move of host quotes-4 did not complete"; exit 1; }
echo "maintenance wave over pool lineage completed; quotes-4 belongs to pool orders"
if [ -n "${KEEP:-}" ]; then
  trap - EXIT
  echo "The fleet is still running. Try:"
  echo "  $BIN/basilwood status"
  echo "  curl -si -XPOST -H 'Basilwood-Profile: curator-checks' -d hello http://127.0.0.1:7101/v1/services/drawer/requests"
  echo "  $BIN/basilwood account --request ID"
  echo "Stop it with: kill ${PIDS[*]}"
fi
