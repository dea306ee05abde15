#!/bin/sh
# Builds the scripts of the second review, with the stand-ins that they start, to target/review-2/.
# Run after the build of the deploy file; needs no network.
set -eu
cd "$(dirname "$0")/.."
for case in 6 7 8 9 10; do
  [ -f "review/$case/case.mts" ] || continue
  node_modules/.bin/esbuild "review/$case/case.mts" --bundle --platform=node --format=esm \
    --target=node20 --log-level=warning --outfile="target/review-2/$case.mjs"
done
