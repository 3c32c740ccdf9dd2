#!/usr/bin/env bash
# Runs a small version of a deployment as separate processes on loopback: 3
# routers in 3 availability zones, the store, 4 engines in two versions and 2
# plain services.
#
#   scripts/fleet.sh start serumpun|oja [BIN]   starts the fleet, waits until ready
#   scripts/fleet.sh stop                       stops the fleet
#   scripts/fleet.sh register NAME SERVICE VERSION ZONE ADDRESS [STATE]
#                                               writes an upstream's row to the store
#
# Ports: routers 1810N (callers), 1910N (operators), 1710N (peers);
# store 18200; engines 1830N; services 1840N.
# PIDs and logs: $FLEET_DIR. Other settings: $V1_ENGINES, $SECOND_VERSION,
# $ENGINE_FLAGS, $MAX_CONNECTIONS, $BODY_BYTES, $POLL_MS, $TABLE_TIMEOUT_MS, $LOG_LEVEL.
set -euo pipefail
cd "$(dirname "$0")/.."
FLEET_DIR=${FLEET_DIR:-${TMPDIR:-/tmp}/hornbeamspool-fleet}

# Stops the processes whose names match the pattern $1, with SIGKILL after 5 s.
stop_matching() {
  local files=() file
  for file in "$FLEET_DIR"/$1.pid; do
    [ -e "$file" ] || continue
    files+=("$file")
    kill -CONT "$(cat "$file")" 2>/dev/null || true
    kill -TERM "$(cat "$file")" 2>/dev/null || true
  done
  for file in "${files[@]}"; do
    for _ in $(seq 100); do
      kill -0 "$(cat "$file")" 2>/dev/null || break
      sleep 0.05
    done
    kill -KILL "$(cat "$file")" 2>/dev/null || true
    rm -f "$file"
  done
}

# Stops the routers first: they return unused grants to the store on shutdown.
stop() {
  [ -d "$FLEET_DIR" ] || return 0
  stop_matching 'router-*'
  stop_matching '*'
}

run() {  # run NAME COMMAND...
  local name=$1
  shift
  "$@" >>"$FLEET_DIR/$name.out" 2>>"$FLEET_DIR/$name.log" </dev/null &
  echo $! >"$FLEET_DIR/$name.pid"
}

# Writes the row under which an upstream registers itself in the store.
register() {  # NAME SERVICE VERSION ZONE ADDRESS [STATE]
  printf '{"service":"%s","version":"%s","zone":"%s","address":"%s","slot_count":64,"state":"%s"}' \
    "${@:2:4}" "${6:-ready}" |
    curl -sf --retry 50 --retry-connrefused --retry-delay 1 -X PUT --data-binary @- \
      "http://127.0.0.1:18200/rows/servers/$1" >/dev/null
}

router_settings() {  # N ZONE
  cat <<EOF
{
  "kind": "node", "name": "router-$1", "region": "loopback", "availability_zone": "$2",
  "callers": {"address": "127.0.0.1:1810$1", "max_connections": ${MAX_CONNECTIONS:-20000}, "body_bytes": ${BODY_BYTES:-4194304}},
  "operators": {"address": "127.0.0.1:1910$1", "key_sha256": "$(printf operator-key | sha256sum | cut -d' ' -f1)"},
  "peers": {"address": "127.0.0.1:1710$1", "key": "loopback-peer-key-0123"},
  "platform": {"store": "127.0.0.1:18200", "poll_ms": ${POLL_MS:-250}, "timeout_ms": ${TABLE_TIMEOUT_MS:-1000}},
  "log_level": "${LOG_LEVEL:-info}"
}
EOF
}

start() {
  local deployment=$1 bin=${2:-build/release/bin} zones model plain_service
  case "$deployment" in
    serumpun) zones=(kul-a kul-b kul-c) model=planner plain_service=ordering ;;
    oja) zones=(lag-a lag-b ibd-a) model=label-model plain_service=label-desk ;;
    *) echo "unknown deployment: $deployment" >&2; exit 2 ;;
  esac
  stop
  if (exec 3<>/dev/tcp/127.0.0.1/18200) 2>/dev/null; then
    echo "port 18200 is in use; is another fleet running?" >&2
    exit 1
  fi
  rm -rf "$FLEET_DIR"
  mkdir -p "$FLEET_DIR"
  local n
  run store "$bin/standin" store --listen=127.0.0.1:18200
  for n in 1 2 3 4; do
    local version=v1
    [ "$n" -gt "${V1_ENGINES:-2}" ] && version=${SECOND_VERSION:-v2}
    run "engine-$n" "$bin/standin" engine --listen="127.0.0.1:1830$n" --name="engine-$n" \
      --engine_version="$version" ${ENGINE_FLAGS:-}
    register "engine-$n" "$model" "$version" "${zones[(n-1)%3]}" "127.0.0.1:1830$n"
  done
  for n in 1 2; do
    run "desk-$n" "$bin/standin" service --listen="127.0.0.1:1840$n" --name="desk-$n"
    register "desk-$n" "$plain_service" v1 "${zones[n-1]}" "127.0.0.1:1840$n"
  done
  for n in 1 2 3; do
    router_settings "$n" "${zones[n-1]}" >"$FLEET_DIR/router-$n.json"
    run "router-$n" "$bin/hornbeamspool" --settings="$FLEET_DIR/router-$n.json"
  done
  for _ in $(seq 1200); do
    "$bin/hornbeamctl" --router=127.0.0.1:19101 --key=operator-key \
      config put "deployments/$deployment/fleet.json" >/dev/null 2>&1 && break
    sleep 0.05
  done
  for n in 1 2 3; do
    for _ in $(seq 1200); do
      curl -sf "http://127.0.0.1:1810$n/readyz" >/dev/null && break
      sleep 0.05
    done
  done
}

case "${1:-}" in
  start) start "${@:2}" ;;
  stop) stop ;;
  register) register "${@:2}" ;;
  *) sed -n '2,14p' "$0"; exit 2 ;;
esac
