#!/bin/sh
# Builds the stand-ins and the cases: they are Python, so all of them are compiled, which
# writes nothing, and the libraries of the deploy file's build are checked for.  Needs no
# network.
set -e
cd "$(dirname "$0")/.."
[ -d target/deps ] || { echo "target/deps is missing: run the deploy file's build" >&2; exit 1; }
export PYTHONDONTWRITEBYTECODE=1
find review -name '*.py' | while read -r path; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$path"
done
PYTHONPATH=target/deps python3 -c "import radishfield.forwarding._router"
