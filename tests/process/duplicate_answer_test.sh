#!/usr/bin/env bash
# Guards against an order that runs twice, or is refused although it has run,
# because a second copy of an answer arrives on a kept connection and counts as
# the answer to the next request. Three gateways send to four servers that
# reject some requests and send some answers twice. Prints each check; exits 1 if
# one fails.
#
#   tests/process/duplicate_answer_test.sh BIN
#   SEEDS='1 2 3' ORDERS=2000 GATEWAYS='1 2 3 4 5' SERVERS='1 2' tests/process/duplicate_answer_test.sh BIN
#   Numbers of gateways and servers: 1 to 9.
set -uo pipefail
cd "$(dirname "$0")/../.."
bin=$1
dir=$(mktemp -d)
pids=()
source tests/process/checks.sh
source tests/process/gateways.sh

readonly servers=${SERVERS:-1 2 3 4}
readonly gateways=${GATEWAYS:-1 2 3}
read -ra server_numbers <<<"$servers"
read -ra gateway_numbers <<<"$gateways"
readonly orders=${ORDERS:-900}

ports_are_free 19700 1970{1..9} 1971{1..9} || exit 1
targets=$(printf '127.0.0.1:1971%s,' "${gateway_numbers[@]}")
readonly targets=${targets%,}

# Starts a server, which appends what it runs to a file, and registers it. Sets
# serverNUMBER to its process id.
server() {  # NUMBER SEED [FLAGS]
  local number=$1 seed=$2
  shift 2
  "$bin/standin" duplicates --listen="127.0.0.1:1970$number" --name="i-$number" --seed="$seed$number" "$@" >>"$dir/ran-$number" & pids+=($!)
  declare -g "server$number=$!"
  until_true curl -s -o /dev/null "http://127.0.0.1:1970$number/"
  server_row "i-$number" "1970$number" ready v1 "$(date +%s%3N)"
}

# Kills, freezes, stops and restarts servers and gateways, one after another, until
# the orders have ended. The sequence depends on the seed.
churn() {  # SEED [FLAGS]
  local number pid
  RANDOM=$1
  while [ ! -e "$dir/ended" ]; do
    case $((RANDOM % 5)) in
    0) number=${server_numbers[RANDOM % ${#server_numbers[@]}]}; pid=server$number
       kill -9 "${!pid}"; sleep 0.2; server "$number" "$@" ;;
    1) number=${server_numbers[RANDOM % ${#server_numbers[@]}]}; pid=server$number
       kill -STOP "${!pid}"; sleep 0.7; kill -CONT "${!pid}" ;;
    2) number=${gateway_numbers[RANDOM % ${#gateway_numbers[@]}]}; pid=gateway$number
       kill -9 "${!pid}"; sleep 0.1; gateway "$number" ;;
    3) number=${gateway_numbers[RANDOM % ${#gateway_numbers[@]}]}; pid=gateway$number
       kill -TERM "${!pid}"; sleep 0.3; kill -9 "${!pid}"; sleep 0.1; gateway "$number" ;;
    4) number=${gateway_numbers[RANDOM % ${#gateway_numbers[@]}]}; pid=gateway$number
       kill -STOP "${!pid}"; sleep 1.3; kill -CONT "${!pid}" ;;
    esac
    sleep 0.$((RANDOM % 5 + 1))
  done
  kill -9 "${pids[@]}"
}

# Starts everything, sends orders, and judges what ran. KIND names what the
# servers do, FLAGS are theirs. $gone servers that no longer exist are registered
# at the addresses of the others; with $churns, processes end all the while.
play() {  # SEED KIND [FLAGS]
  local seed=$1 kind=$2 number churner=
  shift 2
  pids=()
  rm -f "$dir"/*
  "$bin/standin" store --listen=$store & pids+=($!)
  until_true curl -s -o /dev/null "http://$store/faults" -X PUT -d '{}'
  config 1 key 100000
  for number in $servers; do server "$number" "$seed" "$@"; done
  for number in $(seq "${gone:-0}"); do server_row "i-gone-$number" "1970${server_numbers[number % ${#server_numbers[@]}]}" ready; done
  for number in $gateways; do gateway "$number"; done
  for number in $gateways; do until_true ready "$number"; done
  if [ -n "${churns:-}" ]; then churn "$seed" "$seed" "$@" & churner=$!; fi
  "$bin/standin" orders --targets="$targets" --bearer=key --paths="${paths:-/order/x}" \
    --seed="$seed" --key_prefix="s$seed-" --concurrency=12 --requests="$orders" --rate=150 >"$dir/statuses"
  touch "$dir/ended"
  [ -z "$churner" ] || wait "$churner"
  cat "$dir"/ran-* | grep '^ran s' >"$dir/runs"
  awk '$2 ~ /-[od]-/ { sum[$2] += 1 } END { for (id in sum) if (sum[id] > 1) print id, sum[id] }' "$dir/runs" >"$dir/twice"
  awk 'NR == FNR { ran[$2] = 1; next } $1 ~ /-[od]-/ && $2 ~ /^(408|421|429|503)$/ && ($1 in ran)' "$dir/runs" "$dir/statuses" >"$dir/refused"
  awk 'NR == FNR { asked[$1] = 1; next } !($2 in asked)' "$dir/statuses" "$dir/runs" >"$dir/unasked"
  echo "seed $seed, $kind: $(cut -d' ' -f2 "$dir/statuses" | sort | uniq -c | awk '{ printf "%s x %s, ", $2, $1 }')ran $(wc -l <"$dir/runs"), copies $(cat "$dir"/ran-* | grep -c copy)"
  check "$kind, seed $seed: no order runs twice" 0 "$(wc -l <"$dir/twice")"
  check "$kind, seed $seed: no order is refused that has run" 0 "$(wc -l <"$dir/refused")"
  check "$kind, seed $seed: no request gets the answer to another" 0 "$(grep -c mixed "$dir/statuses")"
  check "$kind, seed $seed: nothing runs that was not asked for" 0 "$(wc -l <"$dir/unasked")"
  check "$kind, seed $seed: orders are served" true "$([ "$(grep -c ' 200$' "$dir/statuses")" -gt $((orders / 4)) ] && echo true)"
  [ -n "${KEEP:-}" ] && cp -r "$dir" "$KEEP-$seed-${kind// /-}"
  kill_processes
}

for seed in ${SEEDS:-1}; do
  play "$seed" 'copies of rejections without an id' --unnamed=1
  play "$seed" 'copies of answers with an id' --unnamed=0
  gone=40 play "$seed" 'copies of 421 at addresses of other servers' --unnamed=0 --rejected=0 --duplicated=0.9
  play "$seed" 'failures with the status of a rejection' --unnamed=0 --duplicated=0 --failed=0.1
  play "$seed" 'copies that are cut off' --unnamed=0 --rejected=0.4 --duplicated=0.5 --spliced=1
  churns=1 play "$seed" 'processes that end' --duplicated=0
  gone=4 churns=1 paths=/order/x,/draft/x,/lookup/x play "$seed" 'everything at once' --failed=0.03 --cut=0.05 --split=0.3 --spliced=0.2
done 2>/dev/null
exit $((failures > 0))
