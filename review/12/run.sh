#!/bin/sh
# Exits with 1 if an item is left lying, 0 if not, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec node review/12/case.mjs review/12/record.txt
