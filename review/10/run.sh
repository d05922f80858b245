#!/bin/sh
# See claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=target/deps:target/review-2 exec python3 review/10/case.py
