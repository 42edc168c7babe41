"""Which hosts follow the store, and when one that does not has to read it itself.

Load pattern: tens of hosts in a zone, each with two watches that every heartbeat of
ninety targets wakes.  The calls grow with the hosts times the targets, and all of
them bring the same.  So a few hosts of each zone watch, and tell the others of their
zone what changed and for how long their view has been the newest.  A host that is
not told, or is told something that does not match its own view, reads the store
itself; no host depends on another one's word for longer than that takes.
"""

import math
from collections.abc import Iterable

import msgspec

WATCHERS_PER_ZONE = 2
"""One may be frozen or cut off from the store.  If both are, the others read the store
themselves for the second or two until two of them have the duty."""

SMALL_ZONE = 3
"""Zones of up to so many hosts are as if there were no such duty."""

AGREEMENT_S = 1.2
"""Time without a watcher's word that its list of targets is the same, after which a
host reads the list itself.  Each watcher is heard every 0.8 s in a zone of forty
hosts; lost news of a target that leaves may last two seconds."""

CONFIG_AGE_SHARE = 0.6
"""Part of the bound on keys after which a host confirms its configuration itself.
The word of a watcher is up to half of the bound old; the rest is for the read."""

TOLD_S = 0.3
"""Time in which a newer version that was heard of is passed on as well; a tenth of
the shortest time in which a change has to be in force."""

WATCHER_SILENT_S = 3.0
"""A watcher that had no answer of the store for this long is passed over: a watch
that waited for 2.5 s and was late by another half second."""

WATCHER_VIEW_S = 4.5
"""A list that was confirmed longer ago than this proves nothing to others: a watch
that waited for 2.5 s, and two seconds for words both ways."""


class ZoneHost(msgspec.Struct, frozen=True):
    """Another host of the zone, as heard lately.

    Attributes
    ----------
    watches : bool
        It follows the store, by its own word.
    silent_s : float
        Seconds since it had an answer of the store.
    """

    id: str
    watches: bool
    silent_s: float


class WatchDuty(msgspec.Struct):
    """What this host does about the store at the moment.

    Attributes
    ----------
    on_duty : bool
        This host follows the store for its zone.
    shared : bool
        Some hosts of the zone depend on being told.
    agreed_at : float or None
        When the list of targets was last known to be the store's: a watcher had the
        same, or this host read it.
    newest_version : int
        Newest version of the configuration that any host was heard to have.
    newer_heard_at : float
        When it was heard of first.
    reading_since : float or None
        Since when this host has followed the configuration itself.
    """

    on_duty: bool = True
    shared: bool = False
    agreed_at: float | None = None
    newest_version: int = 0
    newer_heard_at: float = -math.inf
    reading_since: float | None = None

    @property
    def tells_others(self) -> bool:
        """Return whether other hosts of the zone depend on this one's word."""
        return self.on_duty and self.shared

    def assign(self, own_id: str, others: Iterable[ZoneHost]) -> bool:
        """Take or leave the duty; return whether that is a change.

        The first hosts by id have it, so that hosts that hear each other agree
        without a word.  Where they do not, a few more watch.
        """
        able = [
            host.id
            for host in others
            if not (host.watches and host.silent_s >= WATCHER_SILENT_S)
        ]
        self.shared = len(able) >= SMALL_ZONE
        before = self.on_duty
        watchers = sorted([own_id, *able])[:WATCHERS_PER_ZONE]
        self.on_duty = not self.shared or own_id in watchers
        return self.on_duty != before

    def heard_version(self, version: int, now: float) -> bool:
        """Note a version that another host has; return whether it is a newer one."""
        if version <= self.newest_version:
            return False
        self.newest_version, self.newer_heard_at = version, now
        return True

    def told(self, same_targets: bool, list_age_s: float, now: float) -> None:
        """Take a watcher's word on its list of targets."""
        if same_targets and 0.0 <= list_age_s < WATCHER_VIEW_S:
            self.agreed_at = max(now, self.agreed_at or now)

    def read_targets(self, now: float) -> None:
        """Note that this host read the list itself: as good as a watcher's word."""
        self.agreed_at = now

    def targets_due_in_s(self, now: float) -> float:
        """Return after how long this host has to ask the store for the targets.

        Zero or less is at once; being told something meanwhile puts it off.
        """
        if self.on_duty or self.agreed_at is None:
            return 0.0
        return self.agreed_at + AGREEMENT_S - now

    def config_due_in_s(
        self, age_s: float, bound_s: float, version: int, now: float
    ) -> float:
        """Return after how long it has to ask for the configuration, likewise.

        A newer version is mostly on its way already; read at once by each host it
        would cost a call a host.
        """
        if self.on_duty:
            return 0.0
        due_in_s = bound_s * CONFIG_AGE_SHARE - age_s
        if version < self.newest_version:
            due_in_s = min(due_in_s, self.newer_heard_at + TOLD_S - now)
        return due_in_s
