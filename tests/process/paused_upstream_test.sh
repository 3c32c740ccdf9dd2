#!/usr/bin/env bash
# Guards against more than two requests of a gateway to a server in the time for
# which the server has asked that gateway for none (503 with Retry-After). Three
# gateways send to two servers. Prints each check; exits 1 if one fails.
#
#   tests/process/paused_upstream_test.sh BIN
set -uo pipefail
cd "$(dirname "$0")/../.."
bin=$1
dir=$(mktemp -d)
pids=()
source tests/process/checks.sh
source tests/process/gateways.sh
source tests/process/arrivals.sh

readonly gateways='1 2 3'

ports_are_free 19700 1970{1..2} 1971{1..3} || exit 1

# Callers of one gateway, one request after another, until the test ends.
callers() {  # GATEWAY ROUTE
  while [ ! -e "$dir/enough" ]; do
    echo "$(status "$1" "/$2/g$1" 2>/dev/null)" >>"$dir/statuses-$1-$2"
    sleep 0.03
  done
}
answers() { cat "$dir"/statuses-* | grep -c "^$1\$"; }

"$bin/standin" store --listen=$store & pids+=($!)
until_true curl -s -o /dev/null "http://$store/faults" -X PUT -d '{}'
config 1 key 100000
for number in 1 2; do
  "$bin/standin" server --listen="127.0.0.1:1970$number" --name="i-$number" & pids+=($!)
  until_true curl -s -o /dev/null "http://127.0.0.1:1970$number/runs"
  server_row "i-$number" "1970$number" ready
done
for number in $gateways; do gateway "$number"; done
for number in $gateways; do until_true status_is 200 "$number" /lookup/x; done
for number in $gateways; do
  for route in lookup order stream; do callers "$number" $route & pids+=($!); done
done
sleep 1

fault 19701 '{"pause":"4.0"}'
sleep 11
check 'at most two requests of a gateway reach a server in a pause' '[012]' "$(most_in_pause 19701 4000)"
check 'no request fails while the other server has room' 0 "$(answers '5..')"

fault 19702 '{"pause":"3"}'
sleep 1
call 1 /lookup/x -o /dev/null -D - -w 'total=%{time_total}' | tr -d '\r' >"$dir/head"
check 'a request is refused when all servers have asked for a pause' 'HTTP/1.1 503*' "$(head -1 "$dir/head")"
check 'the refusal tells when to come back' true "$(awk '/^Retry-After:/ { print ($2 > 0.2 && $2 < 8) ? "true" : $2 }' "$dir/head")"
check 'it is refused at once' 'total=0.[01]*' "$(grep total= "$dir/head")"
check 'at most two requests of a gateway reach the other server in its pause' '[012]' "$(most_in_pause 19702 3000)"

fault 19701 '{"pause":""}'
fault 19702 '{"pause":""}'
sleep 6
for number in $gateways; do
  check "gateway $number sends again after the pauses" '200 200 200' \
    "$(for _ in 1 2 3; do status "$number" /lookup/x; echo; done | paste -sd ' ')"
done
for value in -5 soon nan; do
  fault 19701 "{\"pause\":\"$value\"}"
  sleep 0.5
  fault 19701 '{"pause":""}'
  until_true status_is 200 1 /lookup/x
  check "a pause of '$value' does not end the use of a server" '200 200 200' \
    "$(for _ in 1 2 3; do status 1 /lookup/x; echo; done | paste -sd ' ')"
done
check 'the log names the server and its pause' true \
  "$(grep -q 'event=upstream.*upstream=i-1 .*state=paused.*pause_ms=4000' "$dir"/gateway*.log && echo true)"
exit $((failures > 0))
