#!/usr/bin/env bash
# Builds the cases and all stand-ins that they start, the project's own too, to target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
for case in review/*/case.ts; do
  name="$(basename "$(dirname "$case")")"
  node_modules/.bin/esbuild "$case" --bundle --platform=node --target=node20 --format=esm --log-level=error \
    --external:cbor-extract --outfile="target/review/$name.mjs"
done
