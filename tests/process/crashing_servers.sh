# Runs stand-in servers that restart under a new id whenever they have ended.
# Loaded with `source`, after gateways.sh; requires $bin, $dir and the array pids.
readonly down_s=2           # a crashed server restarts after this time
readonly lapse_s=3.6        # its old row lapses after three heartbeats

# Stops the restart loops, then kills all processes.
end_all() {
  touch "$dir/enough"
  { kill -9 "${pids[@]}" $(cat "$dir"/server*); wait; } 2>/dev/null
  [ -n "${KEEP:-}" ] || rm -rf "$dir"
}

# The servers restart until the file $dir/enough exists.
server() {  # NUMBER
  local start=0 id process port=$((19700 + $1))
  while [ ! -e "$dir/enough" ]; do
    start=$((start + 1))
    id=i-$1-$start
    "$bin/standin" server --listen="127.0.0.1:$port" --name=$id >>"$dir/crashes" &
    process=$!
    echo $process >"$dir/server$1"
    until_true curl -s -o /dev/null "http://127.0.0.1:$port/runs"
    server_row $id $port ready
    wait $process 2>/dev/null
    (sleep $lapse_s; row servers/$id gone) &
    sleep $down_s
  done
}

# The times at which requests of this NAME crashed servers, in milliseconds.
crashes() { sed -n "s/^crash at_ms=\([0-9]*\) body=CRASH-THE-SERVER $1\( .*\)\?\$/\1/p" "$dir/crashes" | sort -n; }
# How many of these crashes came more than contact_ms after the LAST_FREE-th one,
# and after FROM_MS.
late_crashes() {  # NAME LAST_FREE [FROM_MS]
  crashes "$1" | awk -v free="$2" -v from="${3:-0}" -v contact=$contact_ms '
    NR == free && $1 + contact > from { from = $1 + contact }
    NR > free && $1 > from { ++late }
    END { print late + 0 }'
}
ms() { date +%s%3N; }
