"""The way of one request through the system, from admission to its end."""

from radishfield.serving._dispatcher import (
    Dispatcher,
)
from radishfield.serving._fleet_view import (
    FleetView,
    links_between,
)

__all__ = [
    "Dispatcher",
    "FleetView",
    "links_between",
]
