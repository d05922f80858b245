#!/bin/sh
# Puts the stand-ins that the scripts start into target/review. Needs the build of
# the deploy file first, as the stand-ins use its libraries.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
cp -r src/eelgrasslock_standins target/review/eelgrasslock_standins
cp -r review/kit target/review/review_kit
PYTHONPATH=target/review:target/deps python3 -m compileall -q target/review
