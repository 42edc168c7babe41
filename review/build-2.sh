#!/bin/sh
# Builds the stand-ins and the cases of the second review.  They are Python without
# libraries, so each file is compiled, which writes nothing.  Needs no network.
set -e
cd "$(dirname "$0")/.."
[ -d target/deps ] || { echo "target/deps is missing: run the deploy file's build" >&2; exit 1; }
for path in review/lab/*.py review/[456]/case.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$path"
done
