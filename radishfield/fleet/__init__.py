"""The fleet: profiles, membership, targets that come and leave, leases, orders."""

from radishfield.fleet._facts import FactTable, FactVersion
from radishfield.fleet._membership import Membership, Update
from radishfield.fleet._operations import FleetOperations
from radishfield.fleet._ports import NewsHandler, PeerMessages
from radishfield.fleet._profiles import ProfileStore
from radishfield.fleet._rendezvous import ranked
from radishfield.fleet._settled_write import write_settled
from radishfield.fleet._spread import FactSpreader, SpreadSettings
from radishfield.fleet._status import (
    Drain,
    DrainKind,
    FleetStatus,
    LeaseStatus,
    ProfileInZone,
    ZoneReach,
    ZoneStatus,
)
from radishfield.fleet._watcher import PlatformWatcher, WatcherSettings

__all__ = [
    "Drain",
    "DrainKind",
    "FactSpreader",
    "FactTable",
    "FactVersion",
    "FleetOperations",
    "FleetStatus",
    "LeaseStatus",
    "Membership",
    "NewsHandler",
    "PeerMessages",
    "PlatformWatcher",
    "ProfileInZone",
    "ProfileStore",
    "SpreadSettings",
    "Update",
    "WatcherSettings",
    "ZoneReach",
    "ZoneStatus",
    "ranked",
    "write_settled",
]
