#!/usr/bin/env bash
# Formatter, linter, type check and all tests: the whole of the CI run.
set -euo pipefail
cd "$(dirname "$0")/.."
node scripts/install.mjs
npx deno fmt --check --quiet
npx deno lint --quiet
npx tsc --project tsconfig.json
npx tsc --project platform/tsconfig.json
node scripts/run-tests.mjs "$@"
