#!/usr/bin/env bash
# The platform's names stay in its adapter, the deployment, the stand-ins and
# the tests.
set -euo pipefail
cd "$(dirname "$0")/.."
names='Attempt-Id|Server-Stamp|Not-Executed|Token-Count|Prompt-Prefix|Expect-Instance|Instance-Load|Deadline-Ms|rows-tx|rows-get|rows-feed|blob-put|kv-events|op/config|HORNBEAMSPOOL_SETTINGS'
found=$(git grep -nE "$names" -- '*.cc' '*.h' | grep -vE '^(platform|deploy|standin|tests)/' || true)
if [ -n "$found" ]; then
  echo "names of the platform outside its adapter:"
  echo "$found"
  exit 1
fi
