"""The fleet: profiles, membership, targets that come and leave, leases, orders."""

from radishfield.fleet._claims import Claims, ClaimTimes, KeeperStart
from radishfield.fleet._claims_keepers import KnownHost
from radishfield.fleet._claims_votes import Claimed, Replay
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
    "ClaimTimes",
    "Claimed",
    "Claims",
    "Drain",
    "DrainKind",
    "FleetOperations",
    "FleetStatus",
    "KeeperStart",
    "KnownHost",
    "LeaseStatus",
    "ProfileInZone",
    "Replay",
    "ZoneReach",
    "ZoneStatus",
]
