#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/target/stand ] && [ -x target/release/roseyard-ingress ] || exit 2
if [ "${TROUBLE:-1}" = 0 ]; then disruption=off; else disruption=on; fi
exec review/target/stand pieces "$disruption" review/2/record.txt
