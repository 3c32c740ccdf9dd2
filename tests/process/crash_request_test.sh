#!/usr/bin/env bash
# A request that ends every server that begins it, brought to several gateways
# again and again, over servers that start anew. Prints each check; exits 1 when
# one fails.
#
#   tests/process/crash_request_test.sh BIN
set -uo pipefail
cd "$(dirname "$0")/../.."
bin=$1
dir=$(mktemp -d)
pids=()
end_all() {
  touch "$dir/enough"
  { kill -9 "${pids[@]}" $(cat "$dir"/server*); wait; } 2>/dev/null
  [ -n "${KEEP:-}" ] || rm -rf "$dir"
}
trap end_all EXIT
source tests/process/checks.sh
source tests/process/gateways.sh

readonly contact_ms=3000    # crashes are known everywhere after this time
readonly late_sends=3       # that may reach servers after it
readonly down_s=2           # a server is back after this time
readonly lapse_s=3.6        # its old entry goes after three heartbeats
readonly servers='1 2 3 4 5 6'
readonly gateways='1 2 3'

ports_are_free 19700 1970{1..6} 1971{1..3} || exit 1

# A server that starts anew, under a new id, whenever it has ended.
server() {  # NUMBER
  local start=0 id process
  while [ ! -e "$dir/enough" ]; do
    start=$((start + 1))
    id=i-$1-$start
    "$bin/standin" server --listen="127.0.0.1:1970$1" --name=$id >>"$dir/crashes" &
    process=$!
    echo $process >"$dir/server$1"
    until_true curl -s -o /dev/null "http://127.0.0.1:1970$1/runs"
    server_row $id 1970$1 ready
    wait $process 2>/dev/null
    (sleep $lapse_s; row servers/$id gone) &
    sleep $down_s
  done
}

# The times at which the request ended servers, in milliseconds.
crashes() { sed -n "s/^crash at_ms=\([0-9]*\) body=CRASH-THE-SERVER $1\$/\1/p" "$dir/crashes" | sort -n; }
# Of these, how many are later than what is known everywhere.
late_crashes() {  # NAME [FROM_MS]
  crashes "$1" | awk -v from="${2:-0}" -v contact=$contact_ms '
    NR == 3 && $1 + contact > from { from = $1 + contact }
    NR > 3 && $1 > from { ++late }
    END { print late + 0 }'
}
ended_three() { [ "$(crashes "$1" | wc -l)" -ge 3 ] && echo true; }
few_late_crashes() { [ "$(late_crashes "$@")" -le $late_sends ] && echo true || late_crashes "$@"; }
ms() { date +%s%3N; }

# Brings the request to the gateways in turn, four times a second.
bring() {  # NAME PATH ROUNDS GATEWAY...
  local name=$1 path=$2 rounds=$3 round callers=()
  shift 3
  for round in $(seq "$rounds"); do
    status "${@:round % $# + 1:1}" "$path" -d "CRASH-THE-SERVER $name" >>"$dir/answers-$name" & callers+=($!)
    sleep 0.25
  done
  wait "${callers[@]}"
}
# Other callers keep connections to servers in use.
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

bring lookup /lookup/x 40 $gateways
check 'the request ends servers' true "$(ended_three lookup)"
check 'a repeatable request that ends servers is held back' true "$(few_late_crashes lookup)"
bring order /order/x 40 $gateways
check 'so is one that may run once only' true "$(few_late_crashes order)"

for number in 2 3; do restart "$number"; done
bring lookup /lookup/x 12 2 3
bring order /order/x 12 2 3
check 'gateways that start later know of it' 'true true' "$(few_late_crashes lookup) $(few_late_crashes order)"

# The store is away while the servers end.
fault 19700 '{"down":true}'
sleep 1
bring away /lookup/x 16 1
fault 19700 '{"down":false}'
back=$(ms)
sleep 4
restart 3
bring away /lookup/x 20 2 3
check 'the store was away for three ends of servers' true "$(ended_three away)"
check 'what was learned without the store reaches all after it' true "$(few_late_crashes away $((back + contact_ms)))"
check 'other requests are served all the while' 200 "$(status 1 /lookup/x)"

for name in lookup order away; do
  echo "$name: servers ended $(crashes $name | wc -l), of these late $(late_crashes $name)"
done
exit $((failures > 0))
