"""The few hosts of a zone that watch the platform for all of it.

The platform counts a waiting watch as a call, and its rates grow more slowly
than the fleet.  So two members of each zone watch and list, chosen by
rendezvous hashing; the others hear of changes from them.  Adding hosts to a
zone adds no calls.

A watch may skip events.  The periodic list finds what it skipped, at the
latest after `WatcherSettings.list_period_s`; a revision that the platform no
longer remembers (``WATCH_GAP``) is answered by a list at once.
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
"""Facts by which a host says that it lost, or regained, the platform."""

WATCHERS_PER_ZONE = 2
"""One may die or lose the platform without anybody noticing a delay."""

FAILURES_UNTIL_LOST = 3
"""One lost call is common; three in a row, backed off, are about a second."""

LONGEST_WAIT_S = 8.0


@dataclass(slots=True, frozen=True)
class WatcherSettings:
    """How often a zone's watchers call the platform.

    Attributes
    ----------
    watch_s : float
        How long a watch waits; a dead connection is noticed only after it.
    list_period_s : float
        Seconds between lists, the bound on a skipped event.  A change has to
        be in force within 8 s, and a list of 500 profiles costs one call.
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
        Gets each host listing that this host reads.

    Attributes
    ----------
    last_answer_at : float or None
        Clock reading at the platform's last answer to this service.
    """

    __slots__ = (
        "_chance",
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
        chance: random.Random | None = None,
    ):
        self._settings = settings
        self._platform = platform
        self._peers = peers
        self._facts = facts
        self._clock = clock
        self._on_hosts = on_hosts
        self._chance = chance or random.Random()
        self._failures = 0
        self.gaps = 0
        self.last_answer_at: float | None = None

    async def run(self, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED):
        """Watch each kind in a task of its own, until cancelled."""
        async with trio.open_nursery() as nursery:
            for kind in WATCHED_KINDS:
                nursery.start_soon(self._keep, kind)
            nursery.start_soon(self._keep_hosts)
            task_status.started()

    def watchers(self) -> Sequence[str]:
        """Return the members of this zone that are to watch now."""
        ids = {
            member.id
            for member in self._peers.members()
            if member.zone == self._settings.zone and member.state is MemberState.LIVE
        }
        ids.add(self._settings.host)
        in_order = ranked(ids, f"watch {self._settings.zone}")
        # A watcher that lost the platform steps back for one that has not, or
        # the whole zone would be blind behind two hosts with a bad path.
        in_order.sort(key=self._has_lost_platform)
        return in_order[:WATCHERS_PER_ZONE]

    async def _keep(self, kind: str) -> None:
        is_first = True
        while True:
            if not await self._is_my_turn():
                is_first = True
                continue
            listed = await self._platform.list(kind)
            if listed.is_error():
                await self._failed(listed.error)
                continue
            self._answered()
            # The first list after a start or a change of duty is old news to
            # the peers; digests carry what they should lack all the same.
            for stored in listed.ok.objects:
                self._facts.learn(stored, spread=not is_first)
            is_first = False
            if kind == "profile":
                self._facts.is_known = True
            await self._watch(kind, listed.ok.revision)

    async def _watch(self, kind: str, revision: int) -> None:
        """Watch until the next list is due, or until a call fails."""
        list_at = self._clock.now() + self._settings.list_period_s
        while (left_s := list_at - self._clock.now()) > 0:
            watched = await self._platform.watch(
                kind, revision, min(left_s, self._settings.watch_s)
            )
            if watched.is_error():
                if watched.error.code is ResultCode.WATCH_GAP:
                    self.gaps += 1
                    return
                await self._failed(watched.error)
                return
            self._answered()
            revision = watched.ok.revision
            self._take_in(watched.ok.objects)

    async def _keep_hosts(self) -> None:
        while True:
            if not await self._is_my_turn():
                if self._failures:
                    await self._probe_again()
                continue
            listed = await self._platform.hosts()
            match listed:
                case Result(tag="ok", ok=listing):
                    self._answered()
                    self._on_hosts(listing)
                    await trio.sleep(self._settings.hosts_period_s)
                case Result(tag="error", error=problem):
                    await self._failed(problem)

    async def _is_my_turn(self) -> bool:
        """Tell whether this host watches; wait a little if it does not."""
        if self._settings.host in self.watchers():
            return True
        await trio.sleep(1.0)
        return False

    async def _probe_again(self) -> None:
        """Find out, at a low rate, whether a lost platform is back."""
        await trio.sleep(self._chance.uniform(LONGEST_WAIT_S, 2 * LONGEST_WAIT_S))
        if (await self._platform.hosts()).is_ok():
            self._answered()

    def _take_in(self, objects: Sequence[StoredObject]) -> None:
        for stored in objects:
            self._facts.learn(stored)

    def _answered(self) -> None:
        self.last_answer_at = self._clock.now()
        self._failures = 0
        if self._has_lost_platform(self._settings.host):
            self._tell_reach(b"")

    async def _failed(self, problem: Fault) -> None:
        self._failures += 1
        if self._failures == FAILURES_UNTIL_LOST:
            self._tell_reach(b"lost")
        ceiling_s = min(LONGEST_WAIT_S, 0.25 * 2 ** min(self._failures, 8))
        wait_s = self._chance.uniform(ceiling_s / 2, ceiling_s)
        await trio.sleep(max(wait_s, problem.retry_after_s or 0.0))

    def _tell_reach(self, value: bytes) -> None:
        host = self._settings.host
        known = self._facts.find(REACH_KIND, host)
        version = 1 if known is None else known.version + 1
        self._facts.learn(StoredObject(REACH_KIND, host, version, value))

    def _has_lost_platform(self, member_id: str) -> bool:
        known = self._facts.find(REACH_KIND, member_id)
        return known is not None and known.value == b"lost"
