"""Serves requests at an entry host, from admission to their outcome."""

from radishfield.serving._crash_sharing import (
    CrashSharing,
)
from radishfield.serving._dispatcher import (
    Dispatcher,
)
from radishfield.serving._fleet_view import (
    FleetView,
    links_between,
)
from radishfield.serving._target_crashes import (
    TargetCrashes,
    check_target_listening,
)

__all__ = [
    "CrashSharing",
    "Dispatcher",
    "FleetView",
    "TargetCrashes",
    "links_between",
    "check_target_listening",
]
