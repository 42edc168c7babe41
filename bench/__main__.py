"""Run the benches: ``python -m bench``."""

import sys

from bench._runs import main

sys.exit(main())
