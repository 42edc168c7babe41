"""The fleet: profiles, membership, targets that come and leave, leases, orders."""

from radishfield.fleet._operations import FleetOperations
from radishfield.fleet._status import (
    Drain,
    DrainKind,
    FleetStatus,
    LeaseStatus,
    ProfileInZone,
    ZoneReach,
    ZoneStatus,
)

__all__ = [
    "Drain",
    "DrainKind",
    "FleetOperations",
    "FleetStatus",
    "LeaseStatus",
    "ProfileInZone",
    "ZoneReach",
    "ZoneStatus",
]
