"""Watches the platform from a few hosts of each zone.

The platform counts a waiting watch as a call, and its rate limits grow more
slowly than the fleet.  So only two members of each zone, chosen by rendezvous
hashing, watch and list; the others receive changes from them.  Adding hosts to
a zone adds no calls.

A watch may skip events.  The periodic list finds skipped events at the latest
after `WatcherSettings.list_period_s`.  If the platform no longer has a revision
(``WATCH_GAP``), the watcher lists at once.
"""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import trio
from expression import Result

from radishfield.core import (
    Clock,
    Fault,
    HostListing,
    MemberState,
    PeerPort,
    PlatformPort,
    ResultCode,
    StoredObject,
)
from radishfield.fleet._facts import FactTable
from radishfield.fleet._rendezvous import ranked

WATCHED_KINDS = ("profile", "target", "drain", "host")

REACH_KIND = "reach"
"""Kind of the facts that announce whether a host can reach the platform."""

WATCHERS_PER_ZONE = 2
"""With two, one may die or lose the platform without delaying changes."""

FAILURES_UNTIL_UNREACHABLE = 3
"""A single lost call is common; three in a row, with backoff, take about a second."""

MAX_BACKOFF_S = 8.0


@dataclass(slots=True, frozen=True)
class WatcherSettings:
    """How often a zone's watchers call the platform.

    Attributes
    ----------
    watch_s : float
        How long a watch waits.  A dead connection is detected only after that.
    list_period_s : float
        Seconds between lists, which bounds the delay of a skipped event.  A
        change has to be active within 8 s, and a list of 500 profiles costs
        one call.
    hosts_period_s : float
        Seconds between reads of the host list.
    """

    host: str
    zone: str
    watch_s: float = 4.0
    list_period_s: float = 4.0
    hosts_period_s: float = 2.0


class PlatformWatcher:
    """A service that keeps a `FactTable` up to date from the platform.

    Parameters
    ----------
    on_hosts : callable
        Called with each host listing that this host reads.

    Attributes
    ----------
    last_answer_at : float or None
        Clock time of the platform's last answer to this service.
    """

    __slots__ = (
        "_rng",
        "_clock",
        "_facts",
        "_failures",
        "_on_hosts",
        "_peers",
        "_platform",
        "_settings",
        "gaps",
        "last_answer_at",
    )

    def __init__(
        self,
        settings: WatcherSettings,
        platform: PlatformPort,
        peers: PeerPort,
        facts: FactTable,
        clock: Clock,
        on_hosts: Callable[[HostListing], None] = lambda listing: None,
        rng: random.Random | None = None,
    ):
        self._settings = settings
        self._platform = platform
        self._peers = peers
        self._facts = facts
        self._clock = clock
        self._on_hosts = on_hosts
        self._rng = rng or random.Random()
        self._failures = 0
        self.gaps = 0
        self.last_answer_at: float | None = None

    async def run(self, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED):
        """Watch each kind in a separate task, until cancelled."""
        async with trio.open_nursery() as nursery:
            for kind in WATCHED_KINDS:
                nursery.start_soon(self._sync_kind, kind)
            nursery.start_soon(self._poll_hosts)
            task_status.started()

    def watchers(self) -> Sequence[str]:
        """Return the members of this zone that watch the platform."""
        ids = {
            member.id
            for member in self._peers.members()
            if member.zone == self._settings.zone and member.state is MemberState.LIVE
        }
        ids.add(self._settings.host)
        ranked_ids = ranked(ids, f"watch {self._settings.zone}")
        # Members that lost the platform rank last.  Otherwise the whole zone would
        # receive no changes while its two watchers have a bad network path.
        ranked_ids.sort(key=self._has_lost_platform)
        return ranked_ids[:WATCHERS_PER_ZONE]

    async def _sync_kind(self, kind: str) -> None:
        is_first = True
        while True:
            if not await self._is_on_duty():
                is_first = True
                continue
            listed = await self._platform.list(kind)
            if listed.is_error():
                await self._back_off(listed.error)
                continue
            self._record_success()
            # Peers already have the first list after a start or a change of duty;
            # facts that they lack reach them through digests.
            for stored in listed.ok.objects:
                self._facts.learn(stored, spread=not is_first)
            is_first = False
            if kind == "profile":
                self._facts.is_filled = True
            await self._watch(kind, listed.ok.revision)

    async def _watch(self, kind: str, revision: int) -> None:
        """Watch until the next list is due, or until a call fails."""
        list_at = self._clock.now() + self._settings.list_period_s
        while (remaining_s := list_at - self._clock.now()) > 0:
            watched = await self._platform.watch(
                kind, revision, min(remaining_s, self._settings.watch_s)
            )
            if watched.is_error():
                if watched.error.code is ResultCode.WATCH_GAP:
                    self.gaps += 1
                    return
                await self._back_off(watched.error)
                return
            self._record_success()
            revision = watched.ok.revision
            self._learn_all(watched.ok.objects)

    async def _poll_hosts(self) -> None:
        while True:
            if not await self._is_on_duty():
                if self._failures:
                    await self._probe_platform()
                continue
            listed = await self._platform.hosts()
            match listed:
                case Result(tag="ok", ok=listing):
                    self._record_success()
                    self._on_hosts(listing)
                    await trio.sleep(self._settings.hosts_period_s)
                case Result(tag="error", error=problem):
                    await self._back_off(problem)

    async def _is_on_duty(self) -> bool:
        """Return whether this host watches, after a second's wait if it does not."""
        if self._settings.host in self.watchers():
            return True
        await trio.sleep(1.0)
        return False

    async def _probe_platform(self) -> None:
        """Check at a low rate whether a lost platform is reachable again."""
        await trio.sleep(self._rng.uniform(MAX_BACKOFF_S, 2 * MAX_BACKOFF_S))
        if (await self._platform.hosts()).is_ok():
            self._record_success()

    def _learn_all(self, objects: Sequence[StoredObject]) -> None:
        for stored in objects:
            self._facts.learn(stored)

    def _record_success(self) -> None:
        self.last_answer_at = self._clock.now()
        self._failures = 0
        if self._has_lost_platform(self._settings.host):
            self._announce_reach(b"")

    async def _back_off(self, problem: Fault) -> None:
        self._failures += 1
        if self._failures == FAILURES_UNTIL_UNREACHABLE:
            self._announce_reach(b"lost")
        ceiling_s = min(MAX_BACKOFF_S, 0.25 * 2 ** min(self._failures, 8))
        wait_s = self._rng.uniform(ceiling_s / 2, ceiling_s)
        await trio.sleep(max(wait_s, problem.retry_after_s or 0.0))

    def _announce_reach(self, value: bytes) -> None:
        host = self._settings.host
        known = self._facts.find(REACH_KIND, host)
        version = 1 if known is None else known.version + 1
        self._facts.learn(StoredObject(REACH_KIND, host, version, value))

    def _has_lost_platform(self, member_id: str) -> bool:
        known = self._facts.find(REACH_KIND, member_id)
        return known is not None and known.value == b"lost"
