#!/usr/bin/env bash
# Runs a case five times with the disruption and five times without it: review/run-five.sh N
cd "$(dirname "$0")/.." || exit 2
for trouble in 0 1; do
    for run in 1 2 3 4 5; do
        TROUBLE=$trouble "review/$1/run.sh"
        echo "case $1, TROUBLE=$trouble, run $run: exit code $?"
    done
done
