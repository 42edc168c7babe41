"""Decides which hosts watch the store and when the other hosts have to read it.

With tens of hosts in a zone, each heartbeat of ninety targets would wake two watches on
every host.  The calls would grow with the number of hosts times targets, and all of
them would return the same data.  So a few hosts of each zone watch the store and report
to the others of the zone what changed and when their view was last confirmed as the
newest.  A host that receives no report, or one that does not match its own view, reads
the store itself; it depends on other hosts only until then.
"""

import math
from collections.abc import Iterable

import msgspec

from radishfield.routing._list_freshness import max_unread_age_s

WATCHERS_PER_ZONE = 2
"""One may be frozen or disconnected from the store.  If both are, others replace them
within a second; until then a host reads the store once its own view is old."""

SMALL_ZONE_HOSTS = 3
"""In zones of up to this many hosts, all hosts watch the store."""

CONFIG_AGE_SHARE = 0.6
"""Share of the bound on keys after which a host confirms its configuration itself.
A watcher's report is up to half of the bound old; the rest is left for the read."""

NEWER_VERSION_WAIT_S = 0.3
"""Time for which a host waits to receive a newer version that a peer has announced,
before it reads the store; a tenth of the shortest time in which a change has to be
active."""

MAX_WATCHER_SILENCE_S = 3.0
"""A watcher without an answer from the store for this long is skipped: a watch waits
2.5 s and may be late by another half second."""

TURN_TOLERANCE = 0.1
"""Distance from the middle of the other watcher's calls at which the turns are right,
as a share of a call.  Answer times differ, and the other's status is dated roughly."""

MAX_TURN_SHARE = 0.25
"""Share of a call by which it may be longer, to be answered between two answers of the
other watcher.  The view that it confirms still reaches the others before they read,
should the other watcher fail meanwhile.  No call is shorter: a younger view would have
the others read later if all watchers were lost."""


class ZoneHost(msgspec.Struct, frozen=True):
    """State of another host of the zone, from its latest messages.

    Attributes
    ----------
    watches : bool
        The host reports that it watches the store.
    silent_s : float
        Seconds since the host had an answer from the store.
    is_heard : bool
        A message from it arrived within the last few rounds of statuses.
    """

    id: str
    watches: bool
    silent_s: float
    is_heard: bool = True


class WatchDuty(msgspec.Struct):
    """Whether this host watches the store, and what it received from watchers.

    Attributes
    ----------
    on_duty : bool
        This host watches the store for its zone.
    shared : bool
        Some hosts of the zone depend on reports from watchers.
    list_confirmed_at : float
        Time for which the list of targets is known to match the store: this host read
        it, or a watcher with the same list did.
    newest_version : int
        Newest version of the configuration that any host has reported.
    newer_heard_at : float
        When that version was first reported.
    reading_since : float or None
        Since when this host has watched the configuration itself.
    first_answered_at : float or None
        When the first watcher of the zone last had an answer, if this host is the
        second one.
    """

    on_duty: bool = True
    shared: bool = False
    list_confirmed_at: float = -math.inf
    newest_version: int = 0
    newer_heard_at: float = -math.inf
    reading_since: float | None = None
    first_answered_at: float | None = None

    @property
    def reports_to_zone(self) -> bool:
        """Return whether other hosts of the zone depend on this host's reports."""
        return self.on_duty and self.shared

    def assign(self, own_id: str, others: Iterable[ZoneHost], now: float) -> bool:
        """Decide whether this host watches the store; return whether that changed.

        The watchers are the first hosts by id, so that hosts that receive each other's
        messages agree without negotiation.  If they do not, a few more hosts watch.
        The others hear of changes from the watchers alone, so both are replaced as soon
        as neither is heard; one that is heard is enough.
        """
        candidate_by_id = {
            host.id: host
            for host in others
            if not (host.watches and host.silent_s >= MAX_WATCHER_SILENCE_S)
        }
        self.shared = len(candidate_by_id) >= SMALL_ZONE_HOSTS
        before = self.on_duty
        watchers = _first_hosts(own_id, candidate_by_id)
        if not any(
            each == own_id or candidate_by_id[each].is_heard for each in watchers
        ):
            heard = [each.id for each in candidate_by_id.values() if each.is_heard]
            watchers = _first_hosts(own_id, heard)
        self.on_duty = not self.shared or own_id in watchers
        self.first_answered_at = None
        if self.reports_to_zone and watchers[0] != own_id:
            self.first_answered_at = now - candidate_by_id[watchers[0]].silent_s
        return self.on_duty != before

    def turn_delay_s(self, wait_s: float, now: float) -> float:
        """Return by how much a call is longer, so that the two watchers ask by turns.

        If both confirmed their views in the same moment, those views would be two
        calls old just before; by turns, the younger one is one and a half calls old.
        The second watcher fits its calls to those of the first.
        """
        if self.first_answered_at is None:
            return 0.0
        heard_s = now - self.first_answered_at
        if not 0.0 <= heard_s < 2.0 * wait_s:
            # The first watcher has no answers now, so there are no turns to keep.
            return 0.0
        due_in_s = (0.5 * wait_s - heard_s) % wait_s
        tolerance_s = TURN_TOLERANCE * wait_s
        if due_in_s <= tolerance_s or due_in_s >= wait_s - tolerance_s:
            return 0.0
        return min(due_in_s, MAX_TURN_SHARE * wait_s)

    def record_peer_version(self, version: int, now: float) -> bool:
        """Record a version that another host has; return whether it is newer."""
        if version <= self.newest_version:
            return False
        self.newest_version, self.newer_heard_at = version, now
        return True

    def record_list_confirmation(self, confirmed_at: float) -> None:
        """Record that the list of targets matched the store at this time."""
        self.list_confirmed_at = max(self.list_confirmed_at, confirmed_at)

    def targets_due_in_s(self, now: float, promise_s: float) -> float:
        """Return the seconds until this host has to read the targets from the store.

        Zero or less means at once.  A watcher's report in the meantime postpones it.
        """
        if self.on_duty:
            return 0.0
        return self.list_confirmed_at + max_unread_age_s(promise_s) - now

    def config_due_in_s(
        self, age_s: float, bound_s: float, version: int, now: float
    ) -> float:
        """Return the seconds until this host has to read the configuration.

        Zero or less means at once.  A newer version is usually already being forwarded
        to this host; reading it at once would cost one call per host.
        """
        if self.on_duty:
            return 0.0
        due_in_s = bound_s * CONFIG_AGE_SHARE - age_s
        if version < self.newest_version:
            due_in_s = min(due_in_s, self.newer_heard_at + NEWER_VERSION_WAIT_S - now)
        return due_in_s


def _first_hosts(own_id: str, other_ids: Iterable[str]) -> list[str]:
    """Return the ids of the hosts that come first, which watch the store."""
    return sorted([own_id, *other_ids])[:WATCHERS_PER_ZONE]
