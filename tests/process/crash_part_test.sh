#!/usr/bin/env bash
# Guards against gateways that go on sending requests with a prompt part that
# crashes servers, because no two of these requests are alike, and against
# gateways that refuse sound requests which share their other parts. A gateway is
# killed and another one starts meanwhile; then the store is away. Prints each
# check; exits 1 if one fails.
#
#   tests/process/crash_part_test.sh BIN
set -uo pipefail
cd "$(dirname "$0")/../.."
bin=$1
dir=$(mktemp -d)
pids=()
source tests/process/checks.sh
source tests/process/gateways.sh
source tests/process/crashing_servers.sh

readonly contact_ms=3000    # every gateway knows of a crash after this time
readonly free_crashes=5     # before the bound applies
readonly late_sends=3       # crashes allowed after that
readonly gateways='1 2 3 4 5'

ports_are_free 19700 197{01..10} 1971{1..5} || exit 1

few_late_crashes() {  # NAME [FROM_MS]
  local late
  late=$(late_crashes "$1" $free_crashes "${@:2}")
  [ "$late" -le $late_sends ] && echo true || echo "$late"
}

# Sends requests for SECONDS, 20 a second in turn to the gateways: each fifth
# holds the part PART and crashes the server that runs it; the others share the
# first part, and some of them the second one. The status of each goes to
# $dir/sound-NAME or $dir/deadly-NAME, with the time of its sending.
send_mixed() {  # NAME PART SECONDS GATEWAY...
  local name=$1 part=$2 rounds=$(($3 * 20)) round gateway callers=()
  shift 3
  for round in $(seq "$rounds"); do
    gateway=${@:round % $# + 1:1}
    if [ -n "$part" ] && [ $((round % 5)) = 0 ]; then
      (echo "$(ms) $(status "$gateway" /stream/x -d "CRASH-THE-SERVER $name $round" \
        -H 'Token-Count: 30,10' -H "Prompt-Prefix: aa:10,b$((round % 3)):10,$part:5,${round}1:5")" \
        >>"$dir/deadly-$name") & callers+=($!)
    else
      (echo "$(ms) $(status "$gateway" /stream/x -d "sound $name $round" \
        -H 'Token-Count: 25,10' -H "Prompt-Prefix: aa:10,b$((round % 3)):10,${round}2:5")" \
        >>"$dir/sound-$name") & callers+=($!)
    fi
    sleep 0.05
  done
  wait "${callers[@]}"
}

# The share of sound requests of NAME, sent after FROM_MS, that were answered, in
# percent.
served_percent() {  # NAME FROM_MS
  awk -v from="$2" '$1 >= from { ++n; served += $2 == 200 } END { print n ? int(100 * served / n) : 0 }' "$dir/sound-$1"
}
# When the bounds of NAME apply: twice contact_ms after its fifth crash.
bound_ms() { crashes "$1" | awk -v contact=$contact_ms -v free=$free_crashes 'NR == free { printf "%.0f\n", $1 + 2 * contact }'; }
# How many sound requests of NAME were sent after the bounds apply.
judged() { awk -v from="$(bound_ms "$1")" '$1 >= from { ++n } END { print n + 0 }' "$dir/sound-$1"; }
# Sends on until the bounds have been judged by 20 sound requests at least. The
# fifth crash may be a trial, some seconds after the others.
send_until_judged() {  # NAME PART GATEWAY...
  for _ in 1 2 3 4 5; do
    [ "$(judged "$1")" -ge 20 ] && return
    send_mixed "$1" "$2" 2 "${@:3}"
  done
}
at_least() { [ "$1" -ge "$2" ] && echo true || echo "$1"; }

"$bin/standin" store --listen=$store & pids+=($!)
until_true curl -s -o /dev/null "http://$store/faults" -X PUT -d '{}'
config 1 key 1000000
for number in 1 2 3 4 5 6 7 8 9 10; do server "$number" & pids+=($!); done
for number in 1 2 3 4; do gateway "$number"; done
for number in 1 2 3 4; do until_true status_is 200 "$number" /lookup/x; done

send_mixed calm '' 4 1 2 3 4
check 'sound requests are served in calm' true "$(at_least "$(served_percent calm 0)" 95)"

send_mixed part dead 9 1 2 3 4 & sender=$!
until_true test -s "$dir/deadly-part"
sleep 4
kill -9 "$gateway4"
gateway 5
wait $sender
until_true ready 5
send_mixed part dead 5 1 2 3 5
send_until_judged part dead 1 2 3 5
check 'requests with the part crash five servers' true "$(at_least "$(crashes part | wc -l)" $free_crashes)"
check 'gateways stop sending requests with a part that crashes servers' true "$(few_late_crashes part)"
check 'sound requests with the same first part are served' true \
  "$(at_least "$(served_percent part "$(bound_ms part)")" 50)"

# Another part crashes servers while the store is away.
fault 19700 '{"down":true}'
send_mixed away beef 3 1 2 3 5
fault 19700 '{"down":false}'
send_mixed away beef 12 1 2 3 5
send_until_judged away beef 1 2 3 5
check 'another part crashes five servers' true "$(at_least "$(crashes away | wc -l)" $free_crashes)"
check 'crashes by a part during a store outage are known to all gateways' true "$(few_late_crashes away)"
check 'sound requests are served after the store outage' true \
  "$(at_least "$(served_percent away "$(bound_ms away)")" 50)"

check 'gateways log the crashes that they saw themselves' true \
  "$(at_least "$(cat "$dir"/gateway*.log | grep -c 'event=part .*outcome=crashed .*source=own')" $free_crashes)"

for name in part away; do
  echo "$name: $(crashes $name | wc -l) servers crashed, $(late_crashes $name $free_crashes) of them late;" \
    "$(served_percent $name "$(bound_ms $name)") percent of $(judged $name) sound requests served"
done
exit $((failures > 0))
