#!/bin/sh
# Ends with 1 if the rule was broken, 0 if it held, 2 if the case can't be played.
# Wants the build of the deploy file and review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH=target/deps:target/review-3
timeout -k 5 114 python3 review/13/case.py &
trap 'kill "$!"; wait "$!"; exit 2' TERM INT
wait "$!"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
