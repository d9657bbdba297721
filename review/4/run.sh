#!/usr/bin/env bash
# Runs the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
timeout --kill-after=5 110 node target/review/4.mjs review/4/record.txt
code=$?
[ "$code" -eq 0 ] || [ "$code" -eq 1 ] && exit "$code"
exit 2
