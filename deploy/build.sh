#!/bin/sh
# Puts the libraries and the package into target/deps.
set -eu
if ! [ target/deps/.installed -nt deploy/requirements.txt ]; then
    rm -rf target/deps
    python3 -m pip install -q --no-deps --target target/deps -r deploy/requirements.txt
    touch target/deps/.installed
fi
rm -rf target/deps/eelgrasslock
cp -r src/eelgrasslock target/deps/eelgrasslock
python3 -m compileall -q target/deps/eelgrasslock
