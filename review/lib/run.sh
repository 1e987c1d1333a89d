#!/usr/bin/env bash
# Runs a case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
test -f target/galenavalved.mjs || exit 2
timeout --kill-after=2 118 node "$1"
case $? in
  0) exit 0 ;;
  10) exit 1 ;;
  *) exit 2 ;;
esac
