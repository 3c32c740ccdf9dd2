#!/usr/bin/env bash
# Builds the programs of the cases into target/review: each holds the case's
# clients, servers and store. Run it after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/case.cpp; do
  number=$(basename "$(dirname "$source")")
  "${CXX:-g++}" -std=c++20 -O1 -g -Wall -Wextra -pthread "$source" \
    -o "target/review/case$number" -lboost_json &
done
for job in $(jobs -p); do wait "$job"; done
