"""What the hosts of each zone have together, told as one sum a zone.

Load pattern: with tens of hosts in a zone none can hear all of them, and what it has
not heard of looks like room.  A few hosts, which all others tell, add up what their
zone has, and tell the sums.  What a host has itself it counts exactly; so what it had
told when its own zone's sum was made is taken out of that sum.
"""

from collections import deque
from collections.abc import Mapping

import msgspec

SUM_LIFETIME_S = 1.5
"""A sum older than this is not used: five times its usual age in a large zone."""


class ZoneSum(msgspec.Struct, frozen=True):
    """What all hosts of a zone have, by key, as added up at ``at`` on this clock."""

    at: float
    by_key: Mapping


class ZoneSums(msgspec.Struct):
    """The latest sum of each zone, and what this host told of itself lately."""

    _sum_by_zone: dict[str, ZoneSum] = msgspec.field(default_factory=dict)
    _told: deque[ZoneSum] = msgspec.field(default_factory=lambda: deque(maxlen=8))

    def take(self, zone: str, item: ZoneSum) -> None:
        """Take a zone's sum, unless a later one is known."""
        known = self._sum_by_zone.get(zone)
        if known is None or item.at > known.at:
            self._sum_by_zone[zone] = item

    def fresh(self, now: float) -> dict[str, ZoneSum]:
        """Return the sums by zone that are fresh enough to be used."""
        return {
            zone: item
            for zone, item in self._sum_by_zone.items()
            if now - item.at < SUM_LIFETIME_S
        }

    def told_own(self, now: float, by_key: Mapping) -> None:
        """Note what this host tells of itself now."""
        self._told.append(ZoneSum(now, by_key))

    def own_at(self, at: float) -> Mapping:
        """Return what this host had told of itself at a time."""
        told = [item for item in self._told if item.at <= at]
        return told[-1].by_key if told else {}
