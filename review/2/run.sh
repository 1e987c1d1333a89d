#!/usr/bin/env bash
exec "$(dirname "$0")/../lib/run.sh" review/2/case.mjs
