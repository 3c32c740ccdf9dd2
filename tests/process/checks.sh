# What the tests with real processes share. Read by `source`.
failures=0

check() {  # NAME EXPECTED ACTUAL
  if [[ "$3" == $2 ]]; then
    echo "ok: $1"
  else
    echo "FAILED: $1: wanted '$2', saw '$3'"
    failures=$((failures + 1))
  fi
}

# Waits until a command succeeds; gives up after a minute.
until_true() {
  for _ in $(seq 600); do
    "$@" >/dev/null 2>&1 && return 0
    sleep 0.1
  done
  return 1
}

gone() { ! kill -0 "$1"; }
