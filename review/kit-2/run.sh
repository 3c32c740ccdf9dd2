#!/usr/bin/env bash
# Runs the built case NUMBER; the run.sh of each case calls it. Exits with 1 if the
# rule was broken, 0 if it held, 2 if the case couldn't run.
#
#   review/kit-2/run.sh NUMBER
set -uo pipefail
cd "$(dirname "$0")/../.."
case=target/review-2/$1
if [ ! -x "$case" ] || [ ! -x target/bin/hornbeamspool ]; then
  echo "build first: the command of deploy/system.toml, then review/build-2.sh"
  exit 2
fi
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
"$case" "review/$1" "$dir" &
pid=$!
# Also if this script is stopped: the routers end with the case.
trap 'kill -TERM "$pid" 2>/dev/null; rm -rf "$dir"; exit 2' TERM INT HUP
# The limit of a case is 120 s; its routers end with it.
for _ in $(seq 1150); do
  kill -0 "$pid" 2>/dev/null || break
  sleep 0.1
done
if kill -0 "$pid" 2>/dev/null; then
  kill -TERM "$pid"
  wait "$pid"
  exit 2
fi
wait "$pid"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
