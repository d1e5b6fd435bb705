#!/bin/sh
# Checks the stand-ins of the cases 6 to 10 and of the trials. They are plain modules for Node.js
# without dependencies, so there is nothing to compile.
set -e
cd "$(dirname "$0")"
for file in lib-2/*.mjs 6/*.mjs 7/*.mjs 8/*.mjs 9/*.mjs 10/*.mjs trials-2/*/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file"
done
