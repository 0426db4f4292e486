#!/usr/bin/env bash
# A sampler fails an item twice and sends a late copy of its first answer. Exits with 1 if the
# rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves both out; KEEP=1
# keeps the logs.
set -uo pipefail
cd "$(dirname "$0")"
[ -x ../../target/sliplift-gateway ] && [ -x ../../target/review-tools ] || exit 2
export GATEWAY=$PWD/../../target/sliplift-gateway RECORD=$PWD/record.txt
exec timeout --kill-after=5 100 ../../target/review-tools surplus
