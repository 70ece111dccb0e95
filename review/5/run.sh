#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 plays the
# same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
folder=$(mktemp -d) || exit 2
target/review/release/review-case late-beat "$PWD" "$folder" review/5/record.txt
result=$?
rm -rf "$folder"
[ "$result" -le 1 ] || result=2
exit "$result"
