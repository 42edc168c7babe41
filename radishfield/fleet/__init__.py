"""Fleet services: profiles, membership, the target directory, leases and orders."""

from radishfield.fleet._claims import (
    Claimed,
    Claims,
    ClaimSettings,
    Replay,
)
from radishfield.fleet._directory import (
    TargetDirectory,
    drain_name,
)
from radishfield.fleet._facts import (
    FactTable,
    FactVersion,
)
from radishfield.fleet._leases import (
    HeldLease,
    LeaseKeeper,
    LeaseSettings,
)
from radishfield.fleet._load_poller import (
    LoadPoller,
    PollerSettings,
    ZoneLoad,
)
from radishfield.fleet._membership import (
    Membership,
)
from radishfield.fleet._operations import (
    FleetOperations,
    FleetParts,
)
from radishfield.fleet._orders import (
    OrderOutcome,
    OrderSender,
    OrderSettings,
    ProposedOrder,
)
from radishfield.fleet._packed import (
    read_packed,
)
from radishfield.fleet._placement import (
    PlacementPlanner,
    PlacementSettings,
)
from radishfield.fleet._ports import (
    NewsHandler,
    PeerMessages,
)
from radishfield.fleet._profiles import (
    ProfileStore,
)
from radishfield.fleet._rendezvous import (
    ranked,
)
from radishfield.fleet._settled_write import (
    write_settled,
)
from radishfield.fleet._spread import (
    FactSpreader,
    SpreadSettings,
    choose_fan_out,
)
from radishfield.fleet._status import (
    Drain,
    DrainKind,
    FleetStatus,
    LeaseStatus,
    ProfileInZone,
    ZoneReach,
    ZoneStatus,
)
from radishfield.fleet._updates import (
    Update,
)
from radishfield.fleet._watcher import (
    PlatformWatcher,
    WatcherSettings,
)

__all__ = [
    "ClaimSettings",
    "Claimed",
    "Claims",
    "Drain",
    "DrainKind",
    "FactSpreader",
    "FactTable",
    "FactVersion",
    "FleetOperations",
    "FleetParts",
    "FleetStatus",
    "HeldLease",
    "LeaseKeeper",
    "LeaseSettings",
    "LeaseStatus",
    "LoadPoller",
    "Membership",
    "NewsHandler",
    "OrderOutcome",
    "OrderSender",
    "OrderSettings",
    "PeerMessages",
    "PlacementPlanner",
    "PlacementSettings",
    "PlatformWatcher",
    "PollerSettings",
    "ProfileInZone",
    "ProfileStore",
    "ProposedOrder",
    "Replay",
    "SpreadSettings",
    "TargetDirectory",
    "Update",
    "WatcherSettings",
    "ZoneLoad",
    "ZoneReach",
    "ZoneStatus",
    "drain_name",
    "ranked",
    "choose_fan_out",
    "read_packed",
    "write_settled",
]
