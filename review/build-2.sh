#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases 6 to 10 into target/review-2. Needs
# the build and the packages of deploy/system.toml, and nothing else.
#
#   review/build-2.sh
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -pthread)
c++ "${flags[@]}" -c review/kit-2/json.cpp -o "$out/json.o"
for source in review/{6,7,8,9,10}/case.cpp; do
  [ -f "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  c++ "${flags[@]}" "$source" "$out/json.o" -o "$out/$number"
done
