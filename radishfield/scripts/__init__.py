"""The command line and the daemon."""

from radishfield.scripts._main import main

__all__ = ["main"]
