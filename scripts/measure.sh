#!/usr/bin/env bash
# Measures the overhead of a router against direct connections to the same
# engine: requests/s, tokens/s, added latency, CPU time and memory. Prints
# key=value lines. Requires a release build and an otherwise idle machine.
#
#   scripts/measure.sh [BIN]
set -euo pipefail
cd "$(dirname "$0")/.."
bin=${1:-build/release/bin}
export FLEET_DIR
FLEET_DIR=$(mktemp -d)
trap 'scripts/fleet.sh stop; rm -rf "$FLEET_DIR"' EXIT
export V1_ENGINES=1 LOG_LEVEL=warn POLL_MS=1000
export ENGINE_FLAGS='--step_us=2000 --batch=4000 --capacity_tokens=100000000'

router_pid() { cat "$FLEET_DIR/router-1.pid"; }
cpu_ms() { awk -v hz="$(getconf CLK_TCK)" '{print ($14 + $15) * 1000 / hz}' "/proc/$(router_pid)/stat"; }
rss_kb() { awk '/VmRSS/ {print $2}' "/proc/$(router_pid)/status"; }
field() { sed -n "s/.*\"$1\":\([0-9.E+-]*\).*/\1/p" <<<"$2"; }
percentile() { sed -n "s/.*\"$1\":{[^}]*\"$2\":\([0-9.E+-]*\).*/\1/p" <<<"$3"; }
load() { "$bin/standin" load --bearer=serumpun-ladang-laut-key --model=planner "$@"; }

scripts/fleet.sh start serumpun "$bin"
"$bin/hornbeamctl" --router=127.0.0.1:19101 --key=operator-key \
  budget create ladang-laut/main --tokens=100000000000 --id=measure >/dev/null
# Memory per idle connection; measured before requests have grown the heap.
before=$(rss_kb)
for _ in $(seq 1000); do exec {fd}<>/dev/tcp/127.0.0.1/18101; done
sleep 1
echo "idle_connection_kb=$(awk "BEGIN {print ($(rss_kb) - $before) / 1000}")"

load --target=127.0.0.1:18101 --requests=500 --concurrency=50 >/dev/null

# Runs one load directly and through the router, and prints both results.
compare() {  # NAME FLAGS...
  local name=$1 direct routed before after
  shift
  direct=$(load --target=127.0.0.1:18301 "$@")
  before=$(cpu_ms)
  routed=$(load --target=127.0.0.1:18101 "$@")
  after=$(cpu_ms)
  local whole tokens
  whole=$(field whole "$routed")
  tokens=$(awk "BEGIN {print $(field tokens_per_second "$routed") * $(field seconds "$routed")}")
  echo "run=$name whole=$whole refused=$(field refused "$routed") broken=$(field broken "$routed")"
  awk -v d="$(field requests_per_second "$direct")" -v r="$(field requests_per_second "$routed")" \
    'BEGIN {printf "  requests_per_second direct=%.1f routed=%.1f ratio=%.3f\n", d, r, r / d}'
  awk -v d="$(field tokens_per_second "$direct")" -v r="$(field tokens_per_second "$routed")" \
    'BEGIN {printf "  tokens_per_second direct=%.0f routed=%.0f ratio=%.3f\n", d, r, (d > 0 ? r / d : 0)}'
  for measure in first_token_ms token_gap_ms whole_ms; do
    for p in p50 p95 p99; do
      awk -v m=$measure -v p=$p -v d="$(percentile $measure $p "$direct")" \
        -v r="$(percentile $measure $p "$routed")" \
        'BEGIN {printf "  %s_%s direct=%.3f routed=%.3f added=%.3f\n", m, p, d, r, r - d}'
    done
  done
  awk -v c="$(awk "BEGIN {print $after - $before}")" -v s="$(field seconds "$routed")" -v n="$whole" -v t="$tokens" \
    'BEGIN {printf "  router_cpu_ms=%.0f cores=%.3f cpu_us_per_request=%.1f cpu_us_per_token=%.2f\n",
            c, c / 1000 / s, c * 1000 / n, (t > 0 ? c * 1000 / t : 0)}'
}

# `share` is one node's part of the target load, `tokens_20x` 20 times that.
compare share --requests=130 --concurrency=10 --max_tokens=100
compare short --requests=20000 --concurrency=100 --max_tokens=1 --stream=false
compare long --requests=600 --concurrency=200 --max_tokens=500
compare tokens_20x --requests=2000 --concurrency=400 --max_tokens=400

echo "rss_kb=$(rss_kb)"

# CPU time and heartbeat traffic of an idle router.
curl -s http://127.0.0.1:19101/metrics | grep -E '^hornbeamspool_heartbeat' >"$FLEET_DIR/before"
before=$(cpu_ms)
sleep 10
awk -v a="$(cpu_ms)" -v b="$before" 'BEGIN {printf "idle_cpu_percent=%.3f\n", (a - b) / 10000 * 100}'
curl -s http://127.0.0.1:19101/metrics | grep -E '^hornbeamspool_heartbeat' >"$FLEET_DIR/after"
paste -d' ' "$FLEET_DIR/before" "$FLEET_DIR/after" | awk '{printf "%s_per_second=%.1f\n", $1, ($4 - $2) / 10}'

# Memory per open stream.
before=$(rss_kb)
load --target=127.0.0.1:18101 --requests=2000 --concurrency=2000 --max_tokens=3000 >/dev/null &
stream_load=$!
sleep 4
echo "open_stream_kb=$(awk "BEGIN {print ($(rss_kb) - $before) / 2000}")"
kill "$stream_load" 2>/dev/null || true
wait "$stream_load" || true
