#!/usr/bin/env bash
exec "$(dirname "$0")/../lib/run.sh" review/1/case.mjs
