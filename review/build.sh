#!/usr/bin/env bash
# Checks every stand-in that a script starts. They are plain JavaScript modules without dependencies,
# so that nothing has to be compiled or installed.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand-ins/*.mjs */case.mjs; do node --check "$file"; done
