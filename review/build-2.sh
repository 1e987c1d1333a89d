#!/usr/bin/env bash
# Checks the stand-ins and scripts of the second review. They are plain modules
# that need no build and no package; the daemon is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins-2/*.mjs [6-8]/*.mjs trials-2/*/*.mjs; do
  if [ -f "$file" ]; then
    node --check "$file"
  fi
done
