#!/bin/sh
# Puts the stand-ins that the scripts of cases 6 to 10 start into target/review-2: the
# project's, and those beside case 6.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
cp -r src/eelgrasslock_standins target/review-2/eelgrasslock_standins
cp review/6/review_fleet.py review/6/review_engine.py review/6/unframed_engine.py target/review-2/
PYTHONPATH=target/deps python3 -m compileall -q target/review-2
