"""Runs a router: forwards callers' requests to targets and follows the store."""

from radishfield.forwarding._router import Router, read_settings, run_router

__all__ = ["Router", "read_settings", "run_router"]
