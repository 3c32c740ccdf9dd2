#!/usr/bin/env bash
# Checks that header names, paths and settings of the platform's API are used
# only in platform/ (its adapter), deploy/, standin/ and tests/.
set -euo pipefail
cd "$(dirname "$0")/.."
names='Attempt-Id|Server-Stamp|Not-Executed|Token-Count|Prompt-Prefix|Expect-Instance|Instance-Load|Server-Limit|Server-Leaving|Deadline-Ms|rows-tx|rows-get|rows-feed|blob-put|kv-events|op/config|HORNBEAMSPOOL_SETTINGS'
found=$(git grep -nE "$names" -- '*.cc' '*.h' | grep -vE '^(platform|deploy|standin|tests)/' || true)
if [ -n "$found" ]; then
  echo "names of the platform's API used outside platform/, deploy/, standin/ and tests/:"
  echo "$found"
  exit 1
fi
