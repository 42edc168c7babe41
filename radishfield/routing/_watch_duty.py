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
"""One may be frozen or disconnected from the store.  If both are, the others read the
store themselves for the second or two until two of them become watchers."""

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


class ZoneHost(msgspec.Struct, frozen=True):
    """State of another host of the zone, from its latest messages.

    Attributes
    ----------
    watches : bool
        The host reports that it watches the store.
    silent_s : float
        Seconds since the host had an answer from the store.
    """

    id: str
    watches: bool
    silent_s: float


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
    """

    on_duty: bool = True
    shared: bool = False
    list_confirmed_at: float = -math.inf
    newest_version: int = 0
    newer_heard_at: float = -math.inf
    reading_since: float | None = None

    @property
    def reports_to_zone(self) -> bool:
        """Return whether other hosts of the zone depend on this host's reports."""
        return self.on_duty and self.shared

    def assign(self, own_id: str, others: Iterable[ZoneHost]) -> bool:
        """Decide whether this host watches the store; return whether that changed.

        The watchers are the first hosts by id, so that hosts that receive each other's
        messages agree without negotiation.  If they do not, a few more hosts watch.
        """
        able = [
            host.id
            for host in others
            if not (host.watches and host.silent_s >= MAX_WATCHER_SILENCE_S)
        ]
        self.shared = len(able) >= SMALL_ZONE_HOSTS
        before = self.on_duty
        watchers = sorted([own_id, *able])[:WATCHERS_PER_ZONE]
        self.on_duty = not self.shared or own_id in watchers
        return self.on_duty != before

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
