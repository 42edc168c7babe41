"""What operators see of the fleet, as typed values."""

import enum
from dataclasses import dataclass

from radishfield.core import Member, Target


class DrainKind(enum.StrEnum):
    """What an operator drains."""

    TARGET = "target"
    HOST = "host"
    ZONE = "zone"


@dataclass(slots=True, frozen=True)
class Drain:
    """An operator's order that something gets no new work.

    Attributes
    ----------
    active : bool
        False after the drain was taken back; the object stays in the platform.
    change_id : str
        Identity of the change, which settles a write whose answer was lost.
    """

    kind: DrainKind
    id: str
    active: bool = True
    change_id: str = ""


class ZoneReach(enum.StrEnum):
    """What this host can say of a zone."""

    REACHABLE = "reachable"
    CUT_OFF = "cut-off"
    SILENT = "silent"


@dataclass(slots=True, frozen=True)
class ZoneStatus:
    """An availability zone as this host sees it.

    Attributes
    ----------
    reach : ZoneReach
        ``CUT_OFF``: its entry hosts were known and none answers any more.
        ``SILENT``: it has targets or hosts, and no entry host was ever heard.
    """

    zone: str
    reach: ZoneReach
    live_hosts: int
    known_hosts: int


@dataclass(slots=True, frozen=True)
class ProfileInZone:
    """Which version of a profile the entry hosts of one zone have in force.

    ``lowest_version`` is 0 where a host that answered does not have it yet.
    A zone where ``hosts_answered`` is 0 is cut off or silent.
    """

    name: str
    zone: str
    lowest_version: int
    highest_version: int
    hosts_answered: int
    hosts_asked: int


@dataclass(slots=True, frozen=True)
class LeaseStatus:
    """A lease as this host knows it."""

    duty: str
    zone: str
    holder: str
    fencing: int
    is_held_here: bool
    remaining_s: float


@dataclass(slots=True, frozen=True)
class FleetStatus:
    """All that one entry host knows of the fleet.

    Attributes
    ----------
    targets : tuple of Target
        With the state that this host acts on.
    profiles_in_zones : tuple of ProfileInZone
        Asked from the entry hosts at the time of the call.
    platform_heard_s_ago : float or None
        Seconds since the platform last answered this host; None: never.
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
