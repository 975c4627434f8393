#!/usr/bin/env bash
# Scores every deployment on sockets, one after the other, and fails if one has fallen by more than 0.03 against the
# figure beside it in regression.tsv, or if the bench reports a broken rule, a crash or no score at all.
#   crates/testbed/regression.sh KIT "one plain sentence that names the change"
set -euo pipefail
[ $# -eq 2 ] || { echo "usage: crates/testbed/regression.sh KIT WHY" >&2; exit 2; }
kit=$1 why=$2
cd "$(dirname "$0")/../.."
failed=0
while IFS=$'\t' read -r site before; do
    echo "== $site, $before before"
    report=$("$kit/real/bin/lbreal" score "$kit/$site" --quick --why "$why" 2>&1 </dev/null) || failed=1
    echo "$report"
    score=$(sed -n 's/^score of the real nodes \([0-9.]*\).*/\1/p' <<<"$report")
    if [ -z "$score" ]; then
        echo "$site: no score" >&2
        failed=1
    elif grep -Eq 'score void' <<<"$report"; then
        echo "$site: the machine was too busy for a day; play it again" >&2
        failed=1
    elif grep -Eq 'BROKEN|broken|crash|failed to start| score 0\.00' <<<"$report"; then
        echo "$site: a rule broken, a crash or a failed start" >&2
        failed=1
    elif awk -v now="$score" -v before="$before" 'BEGIN { exit !(now < before - 0.03) }'; then
        echo "$site: $score, fallen by more than 0.03 from $before" >&2
        failed=1
    fi
done <crates/testbed/regression.tsv
exit "$failed"
