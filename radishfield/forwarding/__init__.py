"""The router's process: callers in, targets out, and what it follows meanwhile."""

from radishfield.forwarding._router import Router, read_settings, run_router

__all__ = ["Router", "read_settings", "run_router"]
