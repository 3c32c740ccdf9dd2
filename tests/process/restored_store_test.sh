#!/usr/bin/env bash
# Guards against gateways that take a store which came back from an older copy
# for news: a budget that is spent twice, a server that had drained and gets
# requests again, a confirmed route or a withdrawn key that is as before. Four
# gateways; the store is restored twice. Prints each check; exits 1 if one fails.
#
#   tests/process/restored_store_test.sh BIN
set -uo pipefail
cd "$(dirname "$0")/../.."
bin=$1
dir=$(mktemp -d)
pids=()
source tests/process/checks.sh
source tests/process/gateways.sh

readonly gateways='1 2 3 4'
readonly requests_paid=100  # that the budget covers

ports_are_free 19700 1970{1..3} 1971{1..4} || exit 1

store_call() { curl -s -X PUT "http://$store/$1" >/dev/null; }
# Each request takes 10 tokens of prompt and 10 of its answer.
stream() {  # GATEWAY
  echo "$(status "$1" /stream/x -d 'x' -H 'Token-Count: 10,10' -H 'Prompt-Prefix: aa:10')" >>"$dir/streams"
}
# Sends COUNT requests to each gateway, some at a time.
spend() {  # COUNT
  local round gateway callers=()
  for round in $(seq "$1"); do
    for gateway in $gateways; do stream "$gateway" & callers+=($!); done
    sleep 0.12
  done
  wait "${callers[@]}"
}
runs() { curl -s "http://127.0.0.1:1970$1/runs" | tr ',' '\n' | grep -c ':'; }
# The store goes away for a moment and comes back as it was at the last copy. The
# operator writes the configuration again, the servers their rows.
restore() {
  fault 19700 '{"down":true}'
  sleep 0.7
  store_call restore
  fault 19700 '{"down":false}'
  sleep 0.4
  config 3 key2 $((requests_paid * 20))
  sleep 0.8
  server_row i-1 19701 ready
  server_row i-2 19702 ready
  server_row i-3 19703 draining
}

"$bin/standin" store --listen=$store & pids+=($!)
until_true curl -s -o /dev/null "http://$store/faults" -X PUT -d '{}'
config 2 key $((requests_paid * 20))
for number in 1 2 3; do
  "$bin/standin" server --listen="127.0.0.1:1970$number" --name=i-$number & pids+=($!)
  server_row i-$number 1970$number ready
done
for number in $gateways; do gateway "$number"; done
for number in $gateways; do until_true status_is 200 "$number" /lookup/x; done

spend 2
store_call copy
sleep 0.3
config 3 key2 $((requests_paid * 20))
server_row i-3 19703 draining
key=key2
for number in $gateways; do until_true status_is 200 "$number" /lookup/x; done
spend 6
sleep 2.2  # a server that drains may be used for 2 s
before=$(runs 3)
restore &
restoring=$!
spend 20
wait $restoring
sleep 1.5
for number in $gateways; do status "$number" /lookup/x >/dev/null; done
check 'a drained server gets no request after a restore' "$before" "$(runs 3)"
check 'the key of the newer configuration is known to all' '200 200 200 200' \
  "$(for number in $gateways; do status "$number" /lookup/x; echo; done | xargs)"
key=key
check 'the key that it has withdrawn serves nowhere' 0 \
  "$(for number in $gateways; do status "$number" /lookup/x; echo; done | grep -c 200)"
key=key2
restore
spend 25
sleep 5
spend 15
served=$(grep -c '^200$' "$dir/streams")
check 'the budget is not overspent' true "$([ "$served" -le $requests_paid ] && echo true || echo "$served")"
check 'most of the budget is spent' true "$([ "$served" -ge $((requests_paid * 8 / 10)) ] && echo true || echo "$served")"
echo "$served of $requests_paid served"
exit $((failures > 0))
