# Functions that run a fleet on loopback. Sourced by the other scripts.
# Ports: 7001 store, 7002 platform; of the entries, 7101-7103 for callers, 7201-7203 for peers and
# 7301-7303 for operations; of the controllers, 7401-7403 for administration and 7501-7503 for
# operations; 7800-7823 targets.
BIN=${BIN:-bin}
RUN=${RUN:-run}
PIDS=()
mkdir -p "$RUN"

# start NAME COMMAND... runs a command in the background, logs to $RUN/NAME.log and stores the
# process id in PIDS and in PID_NAME, with underscores for hyphens.
start() {
  local name=$1
  shift
  "$@" >"$RUN/$name.log" 2>&1 &
  PIDS+=($!)
  eval "PID_${name//-/_}=$!"
}

# stop_all terminates every process that start has started, by process id, and waits for it.
stop_all() {
  local pid
  for pid in "${PIDS[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${PIDS[@]}"; do wait "$pid" 2>/dev/null || true; done
  PIDS=()
}

# target_flags prints --host flags for every host of the example fleet.
target_flags() {
  sed -n "s/.*{name: \([a-z0-9-]*\), pool.*address: '\([0-9.:]*\)'.*/--host \1=\2/p" examples/fleet.yaml
}

# target_addresses prints the address of every host of the example fleet.
target_addresses() {
  sed -n "s/.*address: '\([0-9.:]*\)'.*/\1/p" examples/fleet.yaml
}

start_entry() {
  local i=$1
  shift
  start "entry-$i" "$BIN/basilwood-entry" --id "entry-$i" --data-centre "dc$i" \
    --callers-address "127.0.0.1:710$i" --peer-address "127.0.0.1:720$i" \
    --operations-address "127.0.0.1:730$i" \
    --seed 127.0.0.1:7201 --seed 127.0.0.1:7202 --seed 127.0.0.1:7203 "$@"
}

start_controller() {
  local i=$1
  start "controller-$i" "$BIN/basilwood-controller" --id "controller-$i" --data-centre "dc$i" \
    --administration-address "127.0.0.1:740$i" --operations-address "127.0.0.1:750$i"
}

# start_fleet [FLAG...] starts the stand-ins, 3 entries with the given flags and 3 controllers, waits
# until all are ready and applies the configuration in examples/fleet.yaml.
start_fleet() {
  local i
  start store "$BIN/basilwood-standin" store
  start targets "$BIN/basilwood-standin" target --mean "${TARGET_MEAN:-20ms}" $(target_flags)
  start platform "$BIN/basilwood-standin" platform $(target_flags)
  for i in 1 2 3; do
    start_entry "$i" "$@"
    start_controller "$i"
  done
  "$BIN/basilwood" ready 127.0.0.1:7301 127.0.0.1:7302 127.0.0.1:7303 127.0.0.1:7501 127.0.0.1:7502 127.0.0.1:7503
  "$BIN/basilwood" --controller http://127.0.0.1:7401 apply -f examples/fleet.yaml --wait >"$RUN/apply.log"
}
