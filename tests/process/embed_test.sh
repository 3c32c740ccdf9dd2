#!/usr/bin/env bash
# Installs only the coordination library, then builds and runs an example that
# links it.
#
#   tests/process/embed_test.sh BUILD EXAMPLE
set -euo pipefail
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cmake --install "$1" --component coordination --prefix "$work/prefix" >/dev/null
flags=$(grep '^HORNBEAMSPOOL_SANITIZE:BOOL=ON' "$1/CMakeCache.txt" >/dev/null && echo '-fsanitize=address,undefined' || true)
cmake -S "$2" -B "$work/build" -G Ninja -DCMAKE_PREFIX_PATH="$work/prefix" \
  -DCMAKE_CXX_FLAGS="$flags" >/dev/null
cmake --build "$work/build" >/dev/null
"$work/build/embed"
