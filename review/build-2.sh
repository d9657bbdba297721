#!/bin/sh
# Checks the stand-ins of the second review. They are plain programs for Node.js that need no other build; the entries are those
# that the build of the deploy file makes.
cd "$(dirname "$0")/.." || exit 1
for file in review/support-2/*.mjs review/[6-9]/*.mjs review/10/*.mjs; do
  if [ -e "$file" ]; then
    node --check "$file" || exit 1
  fi
done
if [ ! -e target/entry.cjs ]; then
  echo 'target/entry.cjs is missing: run the build of deploy/system.toml first' >&2
  exit 1
fi
