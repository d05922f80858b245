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
find src/eelgrasslock -name '*.py' -o -name '*.capnp' | LC_ALL=C sort | xargs cat |
    sha256sum | cut -c1-12 > target/deps/eelgrasslock/build_id.txt
python3 -m compileall -q target/deps/eelgrasslock
