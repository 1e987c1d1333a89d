#!/usr/bin/env bash
# Checks the stand-ins, which need no compilation, and that the program of the deploy file was built.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/lib/*.mjs review/[0-9]/*.mjs; do
  node --check "$file"
done
test -f target/galenavalved.mjs
