"""Runs a router: forwards callers' requests to targets and follows the store."""

from importlib import import_module

__all__ = ["Router", "read_settings", "run_router"]


def __getattr__(name: str) -> object:
    """Import the router when it is first used: signals are handled before."""
    if name not in __all__:
        raise AttributeError(name)
    return getattr(import_module("radishfield.forwarding._router"), name)
