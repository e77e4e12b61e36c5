#!/bin/sh
# Builds the stand-ins that the scripts of review/4 to review/8 start: they are plain modules, so it only checks them.
cd "$(dirname "$0")" || exit 2
for file in standins/*.mjs [4-8]/*.mjs; do
  node --check "$file" || exit 1
done
