#!/usr/bin/env bash
# The stand-ins are plain JavaScript and need no compilation; this checks that they parse.
set -eu
cd "$(dirname "$0")"
for file in lib/*.mjs [0-9]*/*.mjs; do
  [ -e "$file" ] && node --check "$file"
done
echo "stand-ins are ready"
