#!/usr/bin/env bash
# Runs the case and writes record.txt. Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. With TROUBLE=0 it
# does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-harness ] || { echo "run review/build.sh first" >&2; exit 2; }
exec target/review-harness revoke review/3/record.txt
