"""Types of the fleet status that operators see."""

import enum
from dataclasses import dataclass

from radishfield.core import Member, Target


class DrainKind(enum.StrEnum):
    """The kind of object that an operator drains."""

    TARGET = "target"
    HOST = "host"
    ZONE = "zone"


@dataclass(slots=True, frozen=True)
class Drain:
    """An operator's instruction to exclude something from new work.

    Attributes
    ----------
    active : bool
        False after the drain was revoked; the object stays in the platform.
    change_id : str
        Identifies the change, to confirm a write whose answer was lost.
    """

    kind: DrainKind
    id: str
    active: bool = True
    change_id: str = ""


class ZoneReach(enum.StrEnum):
    """Whether this host can reach a zone's entry hosts."""

    REACHABLE = "reachable"
    CUT_OFF = "cut-off"
    SILENT = "silent"


@dataclass(slots=True, frozen=True)
class ZoneStatus:
    """Status of an availability zone as known to this host.

    Attributes
    ----------
    reach : ZoneReach
        ``CUT_OFF``: its entry hosts are known, and none answers any more.
        ``SILENT``: it has targets or hosts, and none of its entry hosts was ever
        known.
    """

    zone: str
    reach: ZoneReach
    live_hosts: int
    known_hosts: int


@dataclass(slots=True, frozen=True)
class ProfileInZone:
    """Which versions of a profile are active at the entry hosts of one zone.

    ``lowest_version`` is 0 where a host that answered does not have it yet.
    If ``hosts_answered`` is 0, the zone is disconnected or silent.
    """

    name: str
    zone: str
    lowest_version: int
    highest_version: int
    hosts_answered: int
    hosts_asked: int


@dataclass(slots=True, frozen=True)
class LeaseStatus:
    """Status of a lease as known to this host."""

    duty: str
    zone: str
    holder: str
    fencing: int
    is_held_here: bool
    remaining_s: float


@dataclass(slots=True, frozen=True)
class FleetStatus:
    """Status of the fleet as known to one entry host.

    Attributes
    ----------
    targets : tuple of Target
        The targets, with the state that this host uses.
    profiles_in_zones : tuple of ProfileInZone
        Queried from the entry hosts at the time of the call.
    platform_heard_s_ago : float or None
        Seconds since the platform last answered this host; None if it never did.
    """

    host: str
    zone: str
    members: tuple[Member, ...]
    zones: tuple[ZoneStatus, ...]
    targets: tuple[Target, ...]
    profiles_in_zones: tuple[ProfileInZone, ...]
    leases: tuple[LeaseStatus, ...]
    profiles_known: bool
    platform_heard_s_ago: float | None
