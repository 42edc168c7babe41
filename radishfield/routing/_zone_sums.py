"""Holds the totals of each zone, which stand for the load of all its hosts.

With tens of hosts in a zone, no host can receive messages from all of them, and load
that it has not received looks like free capacity.  A few hosts, which receive the
reports of all others, add up the load of their zone and announce the totals.  A host
counts its own load exactly, so the load that it had reported when its own zone's total
was made is subtracted from that total.
"""

from collections import deque
from collections.abc import Mapping

import msgspec

MAX_TOTAL_AGE_S = 1.5
"""A total older than this is not used: five times its typical age in a large zone."""


class ZoneTotal(msgspec.Struct, frozen=True):
    """Totals of a zone's hosts by key, computed at ``at`` on this host's clock."""

    at: float
    by_key: Mapping


class ZoneTotals(msgspec.Struct):
    """The latest total of each zone, and this host's own recent reports."""

    _total_by_zone: dict[str, ZoneTotal] = msgspec.field(default_factory=dict)
    _own_reports: deque[ZoneTotal] = msgspec.field(
        default_factory=lambda: deque(maxlen=8)
    )

    def take(self, zone: str, item: ZoneTotal) -> None:
        """Store a zone's total, unless a later one is known."""
        known = self._total_by_zone.get(zone)
        if known is None or item.at > known.at:
            self._total_by_zone[zone] = item

    def fresh(self, now: float) -> dict[str, ZoneTotal]:
        """Return the totals by zone that are recent enough to be used."""
        return {
            zone: item
            for zone, item in self._total_by_zone.items()
            if now - item.at < MAX_TOTAL_AGE_S
        }

    def told_own(self, now: float, by_key: Mapping) -> None:
        """Record what this host reports about itself now."""
        self._own_reports.append(ZoneTotal(now, by_key))

    def own_report_at(self, at: float) -> Mapping:
        """Return this host's latest report about itself up to a time."""
        reported = [item for item in self._own_reports if item.at <= at]
        return reported[-1].by_key if reported else {}
