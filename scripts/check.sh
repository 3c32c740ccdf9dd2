#!/usr/bin/env bash
# Checks every source file with clang-format and clang-tidy.
#
#   scripts/check.sh [BUILD]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build/test}
scripts/check_names.sh
git ls-files '*.cc' '*.h' | xargs clang-format --dry-run -Werror
[ -f "$build/compile_commands.json" ] || cmake -S . -B "$build" -G Ninja -DHORNBEAMSPOOL_SANITIZE=ON >/dev/null
git ls-files '*.cc' | grep -v '^http/beast.cc$' | grep -v '^examples/' |
  xargs -P "$(nproc)" -n 1 clang-tidy -p "$build" --quiet 2>/dev/null
echo 'format and lint: no findings'
