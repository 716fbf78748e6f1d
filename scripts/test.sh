#!/usr/bin/env bash
# Runs the format check, linter, type checks and tests: everything that CI runs.
set -euo pipefail
cd "$(dirname "$0")/.."
node scripts/install.mjs
npx deno fmt --check --quiet
npx deno lint --quiet
npx tsc --project tsconfig.json
npx tsc --project platform/tsconfig.json
node scripts/run-tests.mjs "$@"
