#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/target/stand ] && [ -x target/release/roseyard-ingress ] || exit 2
exec review/target/stand unfinished review/1/record.txt
