#!/bin/sh
# Builds the stand-ins and the cases: they are Python, so they are compiled once and the
# libraries of the deploy file's build are checked for.  Needs no network.
set -e
cd "$(dirname "$0")/.."
[ -d target/deps ] || { echo "target/deps is missing: run the deploy file's build" >&2; exit 1; }
python3 -m compileall -q review
PYTHONPATH=target/deps python3 -c "import radishfield.forwarding._router"
