#!/usr/bin/env bash
# Guards against requests to a server later than 2 s after one of its answers has
# told the gateway that the server leaves, whatever its entry in the store says.
# Three gateways send to three servers while the store is away and is restored,
# and one gateway restarts. Prints each check; exits 1 if one fails.
#
#   tests/process/leaving_upstream_test.sh BIN
set -uo pipefail
cd "$(dirname "$0")/../.."
bin=$1
dir=$(mktemp -d)
pids=()
source tests/process/checks.sh
source tests/process/gateways.sh
source tests/process/arrivals.sh

readonly gateways='1 2 3'

ports_are_free 19700 1970{1..3} 1971{1..3} || exit 1

# Callers of one gateway, one request after another, until the test ends. They
# name the gateway by its number, followed by an r once it has restarted.
callers() {  # GATEWAY ROUTE
  while [ ! -e "$dir/enough" ]; do
    echo "$(status "$1" "/$2/g$1$(cat "$dir/restarted$1" 2>/dev/null)" 2>/dev/null)" >>"$dir/statuses-$1-$2"
    sleep 0.03
  done
}
answers() { cat "$dir"/statuses-* | grep -c "^$1\$"; }
arrivals() { curl -s "http://127.0.0.1:1970$1/arrivals" | grep -c '/g'; }

"$bin/standin" store --listen=$store & pids+=($!)
until_true curl -s -o /dev/null "http://$store/faults" -X PUT -d '{}'
config 1 key 100000
for number in 1 2 3; do
  "$bin/standin" server --listen="127.0.0.1:1970$number" --name="i-$number" & pids+=($!)
  declare "server$number=$!"
  until_true curl -s -o /dev/null "http://127.0.0.1:1970$number/runs"
  server_row "i-$number" "1970$number" ready v1 1000
done
for number in $gateways; do gateway "$number"; done
for number in $gateways; do until_true status_is 200 "$number" /lookup/x; done
for number in $gateways; do
  for route in lookup order stream; do callers "$number" $route & pids+=($!); done
done
sleep 1
curl -s -X PUT "http://$store/copy" >/dev/null

fault 19701 '{"leaving":true}'
sleep 5
check 'no late request reaches a server that leaves' 0 "$(late 19701)"
check 'no request fails while two other servers are there' 0 "$(answers '5..')"

fault 19700 '{"down":true}'
sleep 1
curl -s -X PUT "http://$store/restore" >/dev/null
fault 19700 '{"down":false}'
sleep 0.5
config 2 key 100000
for number in 1 2 3; do server_row "i-$number" "1970$number" ready v1 1000; done
sleep 3
check 'none does when its entry is written again after a restore of the store' 0 "$(late 19701)"

kill -9 "$gateway2"
until_true gone "$gateway2"
echo r >"$dir/restarted2"
sleep 0.2
gateway 2
until_true ready 2
sleep 4
check 'none does from a gateway that has restarted' 0 "$(late 19701)"
check 'it sends no more than three before it knows' '[0-3]' "$(curl -s http://127.0.0.1:19701/arrivals | grep -c '/g2r')"

kill -9 "$server1"
until_true gone "$server1"
"$bin/standin" server --listen=127.0.0.1:19701 --name=i-1 & pids+=($!)
until_true curl -s -o /dev/null http://127.0.0.1:19701/runs
server_row i-1 19701 ready v1 2000
sleep 3
check 'the next instance at its address receives requests' true "$([ "$(arrivals 1)" -gt 20 ] && echo true || arrivals 1)"
check 'the log names the server that leaves' true \
  "$(grep -q 'event=upstream.*upstream=i-1 .*state=leaving' "$dir"/gateway*.log && echo true)"
exit $((failures > 0))
