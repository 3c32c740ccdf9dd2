#!/usr/bin/env bash
# Guards against upstreams that get more requests than the rate limit that they
# announce for all gateways together. Five gateways send to six servers while
# limits are announced, change and end, one gateway is killed and one is stopped
# for 3 s. Judges by the arrivals that the servers counted. Prints each check;
# exits 1 if one fails.
#
#   tests/process/rate_limit_test.sh BIN
set -uo pipefail
cd "$(dirname "$0")/../.."
bin=$1
dir=$(mktemp -d)
pids=()
source tests/process/checks.sh
source tests/process/gateways.sh
source tests/process/arrivals.sh

readonly servers='1 2 3 4 5 6'
readonly gateways='1 2 3 4 5'

ports_are_free 19700 1970{1..6} 1971{1..5} || exit 1

limit() { fault "1970$1" "{\"limit\":\"$2\"}"; }  # SERVER RATE; no RATE: none
# Callers of one gateway, one request after another, until the test ends.
callers() {  # GATEWAY ROUTE
  while [ ! -e "$dir/enough" ]; do
    echo "$(status "$1" "/$2/x" 2>/dev/null)" >>"$dir/statuses-$1-$2"
    sleep 0.03
  done
}
answers() { cat "$dir"/statuses-* | grep -c "^$1\$"; }

"$bin/standin" store --listen=$store & pids+=($!)
until_true curl -s -o /dev/null "http://$store/faults" -X PUT -d '{}'
config 1 key 100000
for number in $servers; do
  "$bin/standin" server --listen="127.0.0.1:1970$number" --name="i-$number" & pids+=($!)
  until_true curl -s -o /dev/null "http://127.0.0.1:1970$number/runs"
  server_row "i-$number" "1970$number" ready
done
for number in $gateways; do gateway "$number"; done
for number in $gateways; do until_true status_is 200 "$number" /lookup/x; done
for number in $gateways; do
  callers "$number" lookup & pids+=($!)
  callers "$number" order & pids+=($!)
done
sleep 1

for number in 1 2 3; do limit $number 3.5; done
sleep 3
from=$(ms)
sleep 7
check 'the limits of three servers are kept' kept "$(kept 3.5 "$from" "$(ms)" 1970{1..3})"
check 'no request is refused while other servers have no limit' 0 "$(answers 503)"

from=$(ms)
kill -9 "$gateway2"
until_true gone "$gateway2"
gateway 2
kill -STOP "$gateway3"
sleep 3
kill -CONT "$gateway3"
until_true ready 2
sleep 5
check 'the limits are kept while a gateway restarts and one is stopped' kept "$(kept 3.5 "$from" "$(ms)" 1970{1..3})"

for number in $servers; do limit $number 2; done
sleep 3
from=$(ms)
sleep 6
check 'the limits are kept when all servers have one' kept "$(kept 2 "$from" "$(ms)" 1970{1..6})"
check 'requests beyond the limits are refused' true "$([ "$(answers 503)" -gt 0 ] && echo true)"
for _ in $(seq 40); do call 1 /lookup/x -o /dev/null -D - | tr -d '\r'; done >"$dir/heads"
check 'each refusal tells when to come back' "$(grep -c '^HTTP/1.1 503' "$dir/heads")" "$(grep -c '^Retry-After: [0-9]' "$dir/heads")"
check 'no request fails' 0 "$(answers '50[024]')"

for number in $servers; do limit $number ''; done
sleep 3
for number in $gateways; do
  check "gateway $number sends freely after the limits have ended" '200 200 200' \
    "$(for _ in 1 2 3; do status "$number" /lookup/x; echo; done | paste -sd ' ')"
done

limit 1 nan
until_true status_is 200 1 /lookup/x
check 'a malformed limit leaves the server in use' '200 200 200' \
  "$(for _ in 1 2 3; do status 1 /lookup/x; echo; done | paste -sd ' ')"
check 'the log tells of limits heard and ended' true \
  "$(grep -q 'event=rate_limit.*outcome=announced.*per_second=3.5' "$dir"/gateway*.log &&
     grep -q 'event=rate_limit.*outcome=ended' "$dir"/gateway*.log && echo true)"
exit $((failures > 0))
