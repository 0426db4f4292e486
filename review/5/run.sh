#!/usr/bin/env bash
# Case 5: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption. Needs the build of the deploy file and
# review/build-2.sh.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/sliplift-gateway ] && [ -x target/review-2-tools ] || { echo "not built" >&2; exit 2; }
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
trap 'rm -rf "$TMPDIR"' EXIT
timeout --signal=TERM --kill-after=2 116 target/review-2-tools twotexts "$here/record.txt"
code=$?
# The time is over: the case did not run to its end.
[ "$code" -le 2 ] || code=2
exit "$code"
