"""Run the benchmark scenarios: ``python -m bench [NAME ...]``."""

import sys

from bench._cli import main

sys.exit(main(sys.argv[1:]))
