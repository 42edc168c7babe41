"""Imports the names of a package when they are first used.

A router restarts after each fault and serves no requests until it is loaded.  It
needs only a small part of the packages that it shares with the entry host.
"""

from collections.abc import Callable, Mapping
from importlib import import_module


def lazy_getattr(module_by_name: Mapping[str, str]) -> Callable[[str], object]:
    """Return a package's ``__getattr__``.

    Parameters
    ----------
    module_by_name : mapping of str to str
        The module that defines each name.
    """

    def load(name: str) -> object:
        module = module_by_name.get(name)
        if module is None:
            raise AttributeError(name)
        return getattr(import_module(module), name)

    return load
