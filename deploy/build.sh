#!/bin/sh
# Puts the libraries and the package into target/deps, and what the cases of the review
# run beside them into target/review and target/review-2.
set -eu

# Libraries of another kind of machine or another Python do not load.
machine=$(uname -m)-$(python3 -c 'import sys; print(sys.implementation.cache_tag)')
stamp=target/deps/.installed-$machine
if ! [ "$stamp" -nt deploy/requirements.txt ]; then
    rm -rf target/deps
    python3 -m pip install -q --no-deps --target target/deps -r deploy/requirements.txt
    touch "$stamp"
fi

# The package is replaced as a whole, as daemons may start from it meanwhile.
new=target/deps/.eelgrasslock.new
old=target/deps/.eelgrasslock.old
rm -rf "$new" "$old"
cp -r src/eelgrasslock "$new"
find src/eelgrasslock -name '*.py' -o -name '*.capnp' | LC_ALL=C sort | xargs cat |
    sha256sum | cut -c1-12 > "$new/build_id.txt"
python3 -m compileall -q -s "$new" -p target/deps/eelgrasslock "$new"
[ ! -e target/deps/eelgrasslock ] || mv target/deps/eelgrasslock "$old"
mv "$new" target/deps/eelgrasslock
rm -rf "$old"

is_current() {
    diff -rq -x __pycache__ src/eelgrasslock_standins "$1/eelgrasslock_standins" \
        > /dev/null 2>&1
}
# A case that lacks its stand-ins ends with the status of one that found a fault.
if [ -d review ]; then
    is_current target/review || sh review/build.sh
    is_current target/review-2 || sh review/build-2.sh
fi
