#!/usr/bin/env bash
# Demo: starts one daemon with embedded stand-ins, sends a streamed model request
# and an order, and prints their bills, their events and the budget. Stops the
# daemon at the end.
#
#   scripts/demo.sh [BIN]
set -euo pipefail
cd "$(dirname "$0")/.."
bin=${1:-build/release/bin}
callers=http://127.0.0.1:18080
ctl() { "$bin/hornbeamctl" --router=127.0.0.1:18090 --key=demo-operator-key "$@"; }
say() { printf '\n== %s\n' "$*"; }

"$bin/hornbeamspool" --settings=deployments/demo/node.json --embedded &
daemon=$!
trap 'kill "$daemon" 2>/dev/null || true; wait "$daemon" 2>/dev/null || true' EXIT
for _ in $(seq 600); do
  ctl config put deployments/demo/fleet.json >/dev/null 2>&1 && break
  sleep 0.05
done
for _ in $(seq 600); do
  curl -sf "$callers/readyz" >/dev/null && break
  sleep 0.05
done
ctl budget create demo/main --tokens=100000 --id=first >/dev/null

say 'budget before the requests'
ctl budget show demo/main

say 'streamed model request'
curl -sN "$callers/v1/chat/completions" \
  -H 'Authorization: Bearer demo-caller-key' -H 'Idempotency-Key: forecast-1' \
  -d '{"model":"planner","stream":true,"max_tokens":12,"stream_options":{"include_usage":true},
       "messages":[{"role":"user","content":"When will the kelp be dry?"}]}'

say 'an order and its repeat with the same idempotency key'
for _ in 1 2; do
  curl -s -i "$callers/orders/kelp" -H 'Authorization: Bearer demo-caller-key' \
    -H 'Idempotency-Key: order-1' -d '{"kilograms":40}' |
    tr -d '\r' | grep -E '^(HTTP|Idempotent|\{)'
  sleep 0.3
done

say 'bills'
ctl bill list --organisation=demo

say 'timeline of events'
ctl timeline

say 'budget after the requests'
ctl budget show demo/main
kill -TERM "$daemon"
wait "$daemon"
trap - EXIT
printf '\ndone\n'
