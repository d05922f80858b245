#!/bin/sh
# Puts what the cases of the third review start or use into target/review-3: the
# project's stand-ins, and the files that the cases share, which stand beside case 11.
# The libraries are those of the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."

new=target/.review-3.new
rm -rf "$new"
mkdir -p "$new"
cp -r src/eelgrasslock_standins "$new/eelgrasslock_standins"
cp review/11/*.py "$new"
rm "$new/case.py"
find "$new" -name __pycache__ -prune -exec rm -rf {} +
rm -rf target/review-3
mv "$new" target/review-3
