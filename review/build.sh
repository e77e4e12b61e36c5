#!/usr/bin/env bash
# Prepares what the scripts of the cases start, after the build of the deploy file. The stand-ins are plain Node.js modules
# in review/lib and need no bundling; this checks that they and the built entry instance can be parsed.
set -euo pipefail
cd "$(dirname "$0")/.."
test -f target/entry.cjs
for file in review/lib/*.mjs review/*/run.mjs; do node --check "$file"; done
