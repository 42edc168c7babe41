"""What this host believes at the moment: configuration, targets, load, peers."""

import itertools
import math
import random
from collections.abc import Callable
from typing import Generic, TypeVar

import msgspec
import trio

from radishfield.core import Clock, Fault
from radishfield.crashes import CrashGuard
from radishfield.forwarding._call import Call
from radishfield.forwarding._peer_messages import PeerConfig, TargetNews
from radishfield.limits import RetryAllowance, RetryBudget, RetryUse
from radishfield.platform import StoredValue
from radishfield.routing import (
    BLIND_SPREAD,
    TELL_S,
    UNSEEN_S,
    AdmissionQueue,
    CrossingGate,
    EngineSpec,
    Freshness,
    LinkUsage,
    LoadTable,
    Paces,
    Pair,
    Path,
    PathFinder,
    RouteRule,
    RoutingTable,
    ServiceSpec,
    TargetDirectory,
    TargetRecord,
    WatchDuty,
    choice_spread,
    draw,
    ends_waits,
    pair_of,
    room_prompts,
    sends_callers_away,
    takes_work,
)

Item = TypeVar("Item")

UNSEEN_SHARE = 0.25
"""Part of the hosts that are taken to have just started a stream where nothing is
known yet: right after a start all of them would choose the same path."""

BLIND_S = 2.0
"""Time after a start in which a host may know nothing of others: until it serves, and
until their statuses and sums have come."""
BLIND_STREAMS = 0.5
"""Streams for each host, below which known work says nothing: a fleet under load runs
two and more."""

FULL_S = 0.25
"""Time after which a target that was full may have room again: a request of usual
size ends at a busy target every few hundredths of a second."""
LONGEST_FULL_S = 1.0


class FullTarget(msgspec.Struct, frozen=True):
    """Until when a target is left out, and for how long that is."""

    until: float
    length_s: float


class PeerView(msgspec.Struct):
    """What is known of the other hosts at the moment.

    Attributes
    ----------
    heard : int
        Hosts that were heard lately.
    freshest_s : float
        How long ago one of them had an answer of the store, at the least.
    ever_heard : bool
        Some host has been heard since the start.
    """

    heard: int = 0
    freshest_s: float = math.inf
    ever_heard: bool = False
    use_by_service_by_host: dict[str, dict[str, RetryUse]] = msgspec.field(
        default_factory=dict
    )


class ConfigNews(msgspec.Struct, frozen=True):
    """A version of the configuration as the store holds it."""

    version: int
    value: StoredValue


class NewsBox(Generic[Item]):
    """What the store told since the other hosts of the zone were told last."""

    __slots__ = ("_came", "_items")

    def __init__(self):
        self._items: list[Item] = []
        self._came = trio.Event()

    def add(self, item: Item) -> None:
        """Put in what is to be told."""
        self._items.append(item)
        self._came.set()

    async def wait(self) -> None:
        """Wait until there is something to tell."""
        await self._came.wait()

    def take(self) -> list[Item]:
        """Take all of it out."""
        items, self._items = self._items, []
        self._came = trio.Event()
        return items


class RouterView(msgspec.Struct):
    """Shared by all services of the process; only the followers and peers write it.

    Attributes
    ----------
    started_at : float or None
        When the process started; None where that does not matter.
    hosts : int
        Entry hosts that share the fleet's allowances, this one included; counts
        hosts that are cut off too, since they go on spending.
    peers : PeerView
        What the hosts that were heard lately say.
    full_by_id : dict
        Targets that refused work for want of room, left out for a moment.
    news, config_news : NewsBox
        What is to be told to the other hosts of the zone: of targets, and of the
        configuration.
    crashes : CrashGuard
        Requests under which targets ended.
    crash_news : NewsBox
        Digests of those of which the other hosts are to be told.
    config_reads : int
        Answers of the store that held the configuration.
    streams_cut : int
        Streams whose callers had some events and not the last one.
    targets_confirmed_at : float
        When the store was last asked for the targets, of the calls it answered.
    hear_news, hear_config : callable
        Take what another host passes on of targets, and of the configuration.
    duty_reported_at : dict
        When another host last said that it holds a service's placement.
    room_freed : trio.Event
        Set, and replaced, whenever waiting requests should look again.
    store_back : trio.Event
        Set, and replaced, when there is a sign that the store is reached again.
    followers_woken : trio.Event
        Set, and replaced, when followers should look whether to ask the store.
    """

    zone: str
    clock: Clock
    allowance: RetryAllowance
    freshness: Freshness
    grace_s: float = 8.0
    started_at: float | None = None
    table: RoutingTable | None = None
    directory: TargetDirectory = msgspec.field(default_factory=TargetDirectory)
    load: LoadTable = msgspec.field(default_factory=LoadTable)
    links: LinkUsage = msgspec.field(default_factory=LinkUsage)
    gate: CrossingGate = msgspec.field(default_factory=CrossingGate)
    paces: Paces = msgspec.field(default_factory=Paces)
    hosts: int = 1
    leaving_since: float | None = None
    in_flight: int = 0
    streams_cut: int = 0
    chance: random.Random = msgspec.field(default_factory=random.Random)
    room_freed: trio.Event = msgspec.field(default_factory=trio.Event)
    store_back: trio.Event = msgspec.field(default_factory=trio.Event)
    followers_woken: trio.Event = msgspec.field(default_factory=trio.Event)
    peers: PeerView = msgspec.field(default_factory=PeerView)
    watch_duty: WatchDuty = msgspec.field(default_factory=WatchDuty)
    news: NewsBox[TargetNews] = msgspec.field(default_factory=NewsBox)
    config_news: NewsBox[ConfigNews] = msgspec.field(default_factory=NewsBox)
    host_id: str = ""
    crashes: CrashGuard | None = None
    crash_news: NewsBox[str] = msgspec.field(default_factory=NewsBox)
    config_reads: int = 0
    targets_confirmed_at: float = -math.inf
    hear_news: Callable[[list[TargetNews]], None] = lambda items: None
    hear_config: Callable[[PeerConfig], None] = lambda message: None
    full_by_id: dict[str, FullTarget] = msgspec.field(default_factory=dict)
    duty_reported_at: dict[str, float] = msgspec.field(default_factory=dict)
    _queue_by_service: dict[str, AdmissionQueue] = msgspec.field(default_factory=dict)
    _budget_by_service: dict[str, RetryBudget] = msgspec.field(default_factory=dict)

    def __post_init__(self):
        if self.crashes is None:
            self.crashes = CrashGuard(self.host_id, self.clock)
        self.crashes.tell = self.crash_news.add

    @property
    def leaving(self) -> bool:
        """Return whether this host was told to leave."""
        return self.leaving_since is not None

    def takes_work(self, longest_s: float) -> bool:
        """Return whether a request that may take so long is still taken."""
        return takes_work(self._leaving_for_s(), self.grace_s, longest_s)

    def ends_waits(self) -> bool:
        """Return whether requests that wait here are refused now."""
        return ends_waits(self._leaving_for_s(), self.grace_s)

    def _leaving_for_s(self) -> float | None:
        if self.leaving_since is None:
            return None
        return self.clock.now() - self.leaving_since

    def sends_callers_away(self) -> bool:
        """Return whether callers are better served by other hosts."""
        now, peers = self.clock.now(), self.peers
        since = self.watch_duty.reading_since
        if since is None:
            # Others tell this host all it has to know; it asks the store nothing.
            return False
        return sends_callers_away(
            min(self.freshness.failing_s(now), now - since),
            min(self.freshness.silent_s(now), now - since),
            peers.heard,
            peers.freshest_s,
            peers.ever_heard,
        )

    def take_repeat(self, service: str) -> bool:
        """Take one repeat out of the allowance that all hosts share."""
        others = self._uses_told(service)
        return self.budget(service).take(self.clock.now(), self.hosts, others)

    def repeats_left(self, service: str) -> float:
        """Return the repeats that are left for all hosts together."""
        others = self._uses_told(service)
        return self.budget(service).left(self.clock.now(), self.hosts, others)

    def _uses_told(self, service: str) -> list[RetryUse]:
        """Return what each host that is heard used of a service's allowance."""
        return [
            by_service.get(service, RetryUse())
            for by_service in self.peers.use_by_service_by_host.values()
        ]

    def admission_queue(self, service: str) -> AdmissionQueue:
        """Return the line of those that wait for one of a service's paths."""
        return self._queue_by_service.setdefault(service, AdmissionQueue())

    def retry_use(self) -> dict[str, RetryUse]:
        """Return what this host used of each service's allowance."""
        now = self.clock.now()
        return {
            service: budget.use(now)
            for service, budget in self._budget_by_service.items()
        }

    def mark_full(self, target_id: str) -> None:
        """Leave a target out for a moment, for longer each time in a row."""
        now = self.clock.now()
        before = self.full_by_id.get(target_id)
        length_s = FULL_S
        if before is not None and now < before.until + before.length_s:
            length_s = min(LONGEST_FULL_S, before.length_s * 2)
        self.full_by_id[target_id] = FullTarget(now + length_s, length_s)

    def usable_with_room(self, service: str) -> list[TargetRecord]:
        """Return the targets that may be sent work and did not just refuse some."""
        now = self.clock.now()
        return [
            record
            for record in self.directory.usable(service, now)
            if not self._is_full(record.id, now)
        ]

    def _is_full(self, target_id: str, now: float) -> bool:
        full = self.full_by_id.get(target_id)
        return full is not None and now < full.until

    def path_finder(
        self, service: str, engine: EngineSpec, movers: int = 0
    ) -> PathFinder:
        """Return a finder of paths over the load and the links as they are now.

        Parameters
        ----------
        movers : int
            Streams that look for another path at the same moment, at all hosts.
        """
        shares = self.links.shares(self.clock.now(), self.zone)
        closed = self.links.full(shares)
        for pair in self._pairs() - closed:
            if not self._may_cross(engine, pair, shares.get(pair, 0.0), movers):
                closed.add(pair)
        spread = BLIND_SPREAD
        if not self._is_blind():
            spread = choice_spread(self._unseen_starts(service) + movers)
        return PathFinder(
            engine, self.load, self.zone, shares, closed, spread, self.chance
        )

    def _is_blind(self) -> bool:
        """Return whether this host has just started and knows no work of others."""
        if self.started_at is None or self.clock.now() - self.started_at >= BLIND_S:
            return False
        return self.load.streams() < self.hosts * BLIND_STREAMS

    def _unseen_starts(self, service: str) -> float:
        """Return how many streams all hosts have started that are not told yet."""
        usual_s = self.admission_queue(service).usual_stream_s
        by_work = self.load.streams() / usual_s * UNSEEN_S
        return max(by_work, self.hosts * UNSEEN_SHARE)

    def _may_cross(
        self, engine: EngineSpec, pair: Pair, share: float, movers: int
    ) -> bool:
        room = room_prompts(share, engine.transfer_ms(engine.usual_prompt))
        if movers:
            return draw(room, movers, self.chance)
        now = self.clock.now()
        own = self.links.own_crossings(pair, now - TELL_S)
        waiting = sum(len(queue) for queue in self._queue_by_service.values())
        contenders = self.hosts * (own + waiting)
        return self.gate.is_open(pair, room, contenders, now, self.chance)

    def _pairs(self) -> set[Pair]:
        """Return the links between the zones in which there are targets."""
        zones = sorted({record.zone for record in self.directory.all_records()})
        return {
            pair_of(zone, other) for zone, other in itertools.combinations(zones, 2)
        }

    def note_crossings(self, engine: EngineSpec, path: Path, tokens: int) -> None:
        """Count a prompt on every link that its path crosses."""
        now = self.clock.now()
        zones = [self._zone_of(part.target_id) for part in path]
        for zone, other in itertools.pairwise(zones):
            if zone != other:
                pair = pair_of(zone, other)
                self.links.crossed(pair, engine.transfer_ms(tokens), now)
                self.gate.used(pair, now)

    def _zone_of(self, target_id: str) -> str:
        record = self.directory.find(target_id)
        return record.zone if record else self.zone

    def budget(self, service: str) -> RetryBudget:
        """Return the service's allowance of repeats."""
        budget = self._budget_by_service.get(service)
        if budget is None:
            budget = self._budget_by_service[service] = RetryBudget(self.allowance)
        return budget

    def pick_service(self, route: RouteRule) -> ServiceSpec | None:
        """Return one of the route's services, by weight."""
        shares = route.shares
        share = shares[0]
        if len(shares) > 1:
            weights = [part.weight for part in shares]
            share = self.chance.choices(shares, weights)[0]
        known = self.table.config.service_by_name.get(share.service)
        return known or ServiceSpec(share.service, "", 100)

    def crash_refusal(self, call: Call) -> Fault | None:
        """Return why a call is sent to no further target for those that ended."""
        return self.crashes.refusal(
            call.digest, call.facts.request_id, call.may_have_run
        )

    def note_store_back(self) -> None:
        """End the pauses of whoever waits for the store."""
        event, self.store_back = self.store_back, trio.Event()
        event.set()

    def wake_followers(self) -> None:
        """Have the followers look at once whether they have to ask the store."""
        event, self.followers_woken = self.followers_woken, trio.Event()
        event.set()

    def free_room(self) -> None:
        """Wake the requests that wait for a target."""
        event, self.room_freed = self.room_freed, trio.Event()
        event.set()
