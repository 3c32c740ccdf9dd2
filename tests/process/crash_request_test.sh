#!/usr/bin/env bash
# Tests that gateways stop sending a request that crashes servers. The request
# crashes each server that starts it; callers repeat it at several gateways while
# the servers restart. Prints each check; exits 1 if one fails.
#
#   tests/process/crash_request_test.sh BIN
set -uo pipefail
cd "$(dirname "$0")/../.."
bin=$1
dir=$(mktemp -d)
pids=()
source tests/process/checks.sh
source tests/process/gateways.sh
source tests/process/crashing_servers.sh

readonly contact_ms=3000    # every gateway knows of a crash after this time
readonly late_sends=3       # crashes allowed after that
readonly servers='1 2 3 4 5 6'
readonly gateways='1 2 3'

ports_are_free 19700 1970{1..6} 1971{1..3} || exit 1

crashed_three() { [ "$(crashes "$1" | wc -l)" -ge 3 ] && echo true; }
few_late_crashes() { [ "$(late_crashes "$1" 3 "${@:2}")" -le $late_sends ] && echo true || late_crashes "$1" 3 "${@:2}"; }

# Sends the request to the gateways in turn, four times a second.
send_repeatedly() {  # NAME PATH ROUNDS GATEWAY...
  local name=$1 path=$2 rounds=$3 round callers=()
  shift 3
  for round in $(seq "$rounds"); do
    status "${@:round % $# + 1:1}" "$path" -d "CRASH-THE-SERVER $name" >>"$dir/answers-$name" & callers+=($!)
    sleep 0.25
  done
  wait "${callers[@]}"
}
# Other callers, which keep connections to servers in use.
callers() {
  while [ ! -e "$dir/enough" ]; do
    for gateway in $gateways; do call "$gateway" /lookup/x >/dev/null 2>&1; done
    sleep 0.05
  done
}
restart() {  # GATEWAY
  local -n process=gateway$1
  kill -9 "$process"
  until_true gone "$process"
  gateway "$1"
  until_true ready "$1"
  until_true status_is 200 "$1" /lookup/x
}

"$bin/standin" store --listen=$store & pids+=($!)
until_true curl -s -o /dev/null "http://$store/faults" -X PUT -d '{}'
config 1 key 100000
for number in $servers; do server "$number" & pids+=($!); done
for number in $gateways; do gateway "$number"; done
for number in $gateways; do until_true status_is 200 "$number" /lookup/x; done
callers & pids+=($!)
sleep 1

send_repeatedly lookup /lookup/x 40 $gateways
check 'the request crashes at least three servers' true "$(crashed_three lookup)"
check 'gateways stop sending an idempotent request that crashes servers' true "$(few_late_crashes lookup)"
send_repeatedly order /order/x 40 $gateways
check 'gateways stop sending a non-idempotent request that crashes servers' true "$(few_late_crashes order)"

for number in 2 3; do restart "$number"; done
send_repeatedly lookup /lookup/x 12 2 3
send_repeatedly order /order/x 12 2 3
check 'restarted gateways do not send either request' 'true true' "$(few_late_crashes lookup) $(few_late_crashes order)"

# The request crashes servers during a store outage.
fault 19700 '{"down":true}'
sleep 1
send_repeatedly away /lookup/x 16 1
fault 19700 '{"down":false}'
back=$(ms)
sleep 4
restart 3
send_repeatedly away /lookup/x 20 2 3
check 'the request crashes at least three servers during a store outage' true "$(crashed_three away)"
check 'crashes during a store outage are known to all gateways after it' true "$(few_late_crashes away $((back + contact_ms)))"
check 'other requests are served' 200 "$(status 1 /lookup/x)"

for name in lookup order away; do
  echo "$name: $(crashes $name | wc -l) servers crashed, $(late_crashes $name 3) of them late"
done
exit $((failures > 0))
