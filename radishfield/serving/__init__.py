"""The way of one request through the system, from admission to its end."""

from radishfield.serving._dispatcher import Dispatcher

__all__ = ["Dispatcher"]
