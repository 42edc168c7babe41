"""Runs a case: a record, a temporary folder, and the end of all started processes."""

import asyncio
import os
import signal
import sys
import tempfile
from pathlib import Path

from review.common.fleet import Record

TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def run_case(folder, play):
    """Play a case and exit with its result.

    ``play`` gets a record, a temporary folder and a list for the started processes,
    and returns 1 if the rule was broken, 0 if it held, 2 if the case could not run.
    """
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))
    record, processes = Record(folder / "record.txt"), []
    code = 2
    with tempfile.TemporaryDirectory() as name:
        try:
            code = asyncio.run(play(record, Path(name), processes))
        finally:
            for process in processes:
                process.end()
            if os.environ.get("KEEP_LOGS"):
                for path in Path(name).iterdir():
                    kept = Path(os.environ["KEEP_LOGS"]) / path.name
                    kept.write_bytes(path.read_bytes())
            record.note(f"exit code {code}")
            record.close()
    sys.exit(code)
