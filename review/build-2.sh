#!/bin/sh
# Puts the stand-ins that the scripts of review 2 start into target/review-2.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
cp -r src/eelgrasslock_standins target/review-2/eelgrasslock_standins
cp review/kit-2/*.py target/review-2/
PYTHONPATH=target/deps python3 -m compileall -q target/review-2
