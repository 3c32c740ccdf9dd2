# Judges the arrivals that stand-ins counted against what they announced. Loaded
# with `source`.

ms() { date +%s%3N; }
# The most arrivals at a server in any 4 s between two times.
worst() {  # PORT FROM_MS TO_MS
  curl -s -m 10 "http://127.0.0.1:$1/arrivals" | sort -n | awk -v from="$2" -v to="$3" '
    BEGIN { n = 0; first = 0 }
    $1 < from || $1 > to { next }
    { at[n++] = $1; while (at[n - 1] - at[first] >= 4000) ++first
      if (n - first > most) most = n - first }
    END { print most + 0 }'
}
# Whether the servers kept within 1.5 times the limit, and 5 requests more, and
# got some of the requests that the limit allows. Prints the worst count if not.
kept() {  # RATE FROM_MS TO_MS PORT...
  local rate=$1 from=$2 to=$3 port count
  shift 3
  for port in "$@"; do
    count=$(worst "$port" "$from" "$to")
    awk -v count="$count" -v rate="$rate" 'BEGIN { exit !(count <= rate * 6 + 5) }' ||
      { echo "the server at $port got $count requests in 4 s"; return; }
    [ "$count" -gt 0 ] || { echo "the server at $port got none"; return; }
  done
  echo kept
}

# How many requests of one gateway reached a server later than 2 s after the
# first answer to this gateway that said that the server leaves, the sum over all
# gateways. The second part of a request's path names its gateway. Polls of the
# load belong to no gateway.
late() {  # PORT
  curl -s -m 10 "http://127.0.0.1:$1/arrivals" | awk '
    $2 ~ /report/ { next }
    { split($2, path, "/"); gateway = path[3] }
    $3 == "leaving" && !(gateway in told) { told[gateway] = $1 }
    gateway in told && $1 > told[gateway] + 2050 { ++late }
    END { print late + 0 }'
}

# The most requests of one gateway that reached a server in one pause, from 0.5 s
# after the rejection that asked this gateway for it.
most_in_pause() {  # PORT PAUSE_MS
  curl -s -m 10 "http://127.0.0.1:$1/arrivals" | awk -v pause="$2" '
    $2 ~ /report/ { next }
    { split($2, path, "/"); gateway = path[3]; n = ++count[gateway]
      at[gateway, n] = $1
      if ($3 == "paused") asked[gateway, n] = 1 }
    END {
      for (gateway in count) for (i = 1; i <= count[gateway]; ++i) {
        if (!((gateway, i) in asked)) continue
        arrived = 0
        for (j = i + 1; j <= count[gateway]; ++j) {
          after = at[gateway, j] - at[gateway, i]
          if (after > pause) break
          if (after > 500) ++arrived
        }
        if (arrived > most) most = arrived
      }
      print most + 0
    }'
}
