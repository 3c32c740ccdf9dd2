# Judges the arrivals that stand-ins counted against a rate limit. Loaded with
# `source`.

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
