# Helper functions of the process tests. Loaded with `source`.
failures=0  # failed checks so far

# Checks that ACTUAL matches the glob pattern EXPECTED.
check() {  # NAME EXPECTED ACTUAL
  if [[ "$3" == $2 ]]; then
    echo "ok: $1"
  else
    echo "FAILED: $1: expected '$2', got '$3'"
    failures=$((failures + 1))
  fi
}

# Retries a command every 100 ms until it succeeds; fails after 600 attempts.
until_true() {
  for _ in $(seq 600); do
    "$@" >/dev/null 2>&1 && return 0
    sleep 0.1
  done
  return 1
}

# Whether the process with this id has ended.
gone() { ! kill -0 "$1"; }
