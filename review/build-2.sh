#!/usr/bin/env bash
# The stand-ins of the cases 6 to 10 are plain modules that need no build; this checks their syntax.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand-ins-2/*.mjs; do node --check "$file"; done
