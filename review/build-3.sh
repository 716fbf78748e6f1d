#!/bin/sh
# The stand-ins of the cases 11 to 15 are plain JavaScript: nothing is compiled, they are only checked.
cd "$(dirname "$0")" || exit 1
for file in stand-ins-3/*.mjs 1[1-5]/case.mjs; do
  [ -f "$file" ] || continue
  node --check "$file" || exit 1
done
