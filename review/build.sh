#!/bin/sh
# The stand-ins of the cases are plain modules for Node.js without dependencies,
# so there is nothing to compile. Checks that they can be read.
cd "$(dirname "$0")" || exit 1
for file in lib/*.mjs [1-5]/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file" || exit 1
done
