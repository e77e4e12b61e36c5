#!/usr/bin/env bash
# Runs the case; see claim.txt. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/entry.cjs ] || exit 2
exec node review/3/run.mjs
