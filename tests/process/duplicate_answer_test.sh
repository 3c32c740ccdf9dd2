#!/usr/bin/env bash
# Guards against an order that runs twice, or is refused although it has run,
# because a second copy of an answer arrives on a kept connection and counts as
# the answer to the next request. Three gateways send to four servers that
# reject some requests and send some answers twice; one of them has the address
# of a server that is gone. Prints each check; exits 1 if one fails.
#
#   tests/process/duplicate_answer_test.sh BIN
#   SEEDS='1 2 3' ORDERS=2000 tests/process/duplicate_answer_test.sh BIN
set -uo pipefail
cd "$(dirname "$0")/../.."
bin=$1
dir=$(mktemp -d)
pids=()
end_all() {
  { kill -9 "${pids[@]}"; wait; } 2>/dev/null
  [ -n "${KEEP:-}" ] || rm -rf "$dir"
}
trap end_all EXIT
source tests/process/checks.sh
source tests/process/gateways.sh

readonly servers='1 2 3 4'
readonly orders=${ORDERS:-1500}

ports_are_free 19700 1970{1..4} 1971{1..3} || exit 1

# Runs one seed: starts everything, sends orders, and judges what ran. KIND names
# what the servers do, FLAGS are theirs.
play() {  # SEED KIND [FLAGS]
  local seed=$1 kind=$2 number
  shift 2
  pids=()
  "$bin/standin" store --listen=$store & pids+=($!)
  until_true curl -s -o /dev/null "http://$store/faults" -X PUT -d '{}'
  config 1 key 100000
  for number in $servers; do
    "$bin/standin" duplicates --listen="127.0.0.1:1970$number" --name="i-$number" --seed="$seed$number" "$@" & pids+=($!)
    until_true curl -s -o /dev/null "http://127.0.0.1:1970$number/runs"
    server_row "i-$number" "1970$number" ready
  done
  for number in $(seq "${gone:-1}"); do server_row "i-gone-$number" "1970$((number % 4 + 1))" ready; done
  for number in 1 2 3; do gateway "$number"; done
  for number in 1 2 3; do until_true ready "$number"; done
  "$bin/standin" orders --targets=127.0.0.1:19711,127.0.0.1:19712,127.0.0.1:19713 --bearer=key --plain_path=/order/x \
    --key_prefix="s$seed-" --concurrency=12 --requests="$orders" --rate=150 >"$dir/statuses"
  : >"$dir/runs"
  for number in $servers; do curl -s "http://127.0.0.1:1970$number/runs" >>"$dir/runs"; done
  awk '{ sum[$1] += $2 } END { for (id in sum) if (sum[id] > 1) print id, sum[id] }' "$dir/runs" >"$dir/twice"
  awk 'NR == FNR { ran[$1] = 1; next } $2 ~ /^(408|421|429|503)$/ && ($1 in ran)' "$dir/runs" "$dir/statuses" >"$dir/refused"
  echo "seed $seed, $kind: $(cut -d' ' -f2 "$dir/statuses" | sort | uniq -c | awk '{ printf "%s x %s, ", $2, $1 }')ran $(wc -l <"$dir/runs"), copies $(
    for number in $servers; do curl -s "http://127.0.0.1:1970$number/duplicates"; done | awk '{ sum += $1 } END { print sum + 0 }')"
  check "$kind, seed $seed: no order runs twice" 0 "$(wc -l <"$dir/twice")"
  check "$kind, seed $seed: no order is refused that has run" 0 "$(wc -l <"$dir/refused")"
  check "$kind, seed $seed: orders are served" true "$([ "$(grep -c ' 200$' "$dir/statuses")" -gt $((orders / 4)) ] && echo true)"
  [ -n "${KEEP:-}" ] && cp -r "$dir" "$KEEP-$seed-${kind// /-}"
  { kill -9 "${pids[@]}"; wait; } 2>/dev/null
  rm -f "$dir"/gateway*.log
}

for seed in ${SEEDS:-1}; do
  play "$seed" 'copies of rejections without an id' --unnamed=1
  play "$seed" 'copies of answers with an id' --unnamed=0
  gone=40 play "$seed" 'copies of 421 at addresses of other servers' --unnamed=0 --rejected=0 --duplicated=0.9
  play "$seed" 'failures with the status of a rejection' --unnamed=0 --duplicated=0 --failed=0.1
done
exit $((failures > 0))
