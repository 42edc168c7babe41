"""The current state known to this host: configuration, targets, load, peers."""

import itertools
import math
import random
from bisect import bisect_left
from collections import Counter
from collections.abc import Callable
from typing import Generic, TypeVar

import msgspec
import trio

from radishfield.capacity import (
    COMEBACK_S,
    DemandTable,
    HeldTarget,
    PlainTargets,
    PlainTargetUse,
    ServiceAdmission,
    ServiceDemand,
)
from radishfield.core import Clock, Fault, ResultCode, fault
from radishfield.crashes import CrashGuard
from radishfield.forwarding._call import Call
from radishfield.forwarding._era_monitor import EraMonitor
from radishfield.forwarding._peer_messages import PeerConfig, TargetUpdate
from radishfield.kernel import WorkBoundary
from radishfield.limits import RetryAllowance, RetryBudget, RetryUse
from radishfield.platform import StoredValue
from radishfield.routing import (
    ANNOUNCE_DELAY_S,
    MAX_PRIORITY,
    REMOTE_STATE_AGE_S,
    STARTUP_SPREAD,
    AdmissionQueue,
    CrossingGate,
    EngineSpec,
    FailureRates,
    Freshness,
    HostLoad,
    LinkUsage,
    LoadTable,
    Pair,
    Path,
    PathFinder,
    RelayHost,
    RouteRule,
    RoutingTable,
    ServiceSpec,
    SharedFailures,
    SlowdownTable,
    TargetDirectory,
    TargetLimits,
    TargetLinks,
    TargetRecord,
    TargetRests,
    WatchDuty,
    Withdrawal,
    choice_spread,
    draw,
    ends_waits,
    free_prompt_capacity,
    pair_of,
    sends_callers_away,
    takes_work,
)
from radishfield.settings import (
    AdmissionSettings,
    LayoutSettings,
    PlainSettings,
    Switch,
)
from radishfield.telemetry import log_event

Item = TypeVar("Item")

UNREPORTED_SHARE = 0.25
"""Fraction of the hosts that are assumed to have just started a stream if nothing is
known yet.  Otherwise all hosts would choose the same path right after a start."""

STARTUP_S = 2.0
"""Time after a start in which a host may lack the state of others: until it serves and
their statuses and zone totals have arrived."""
MIN_STREAMS_PER_HOST = 0.5
"""Known streams for each host below which the known work is not meaningful: a fleet
under load runs two or more."""

PEERS_HEARD_S = 1.5
"""Time in which the versions of the other hosts arrive once their addresses are known.
Hosts answer the first status of one that has no version confirmed."""
MAX_PEERS_WAIT_S = 4.0
"""The same if their addresses are not found."""

MAX_HOSTS_HEARD = 24
"""Hosts up to which each hears most of the others' statuses itself: twelve of its own
zone, and some of each other one.  Beyond, sums tell of their work, later."""

FULL_S = 0.25
"""Time after which a full target may have free capacity again: at a busy target a
request of typical size ends every few hundredths of a second."""
MAX_FULL_S = 1.0


class FullTarget(msgspec.Struct, frozen=True):
    """Time until which a target is excluded, and the length of the exclusion."""

    until: float
    length_s: float


class PeerView(msgspec.Struct):
    """The current state known of the other hosts.

    Attributes
    ----------
    heard : int
        Hosts that sent a status recently.
    freshest_s : float
        Seconds since the store answered one of them, the shortest such time.
    ever_heard : bool
        Some host has sent a status since the start.
    heard_since : float
        Since when at least one of them is heard all the time; infinite if none is.
    found_at : float
        When their addresses were read from the store; infinite before, and minus
        infinity for a host that exchanges no statuses.
    confirmed_era : int
        Newest era of the store in which one of them had its version confirmed.
    idle_shares : list of float
        Idle shares of the event loops of the zone's other hosts, as far as known.
    """

    heard: int = 0
    freshest_s: float = math.inf
    ever_heard: bool = False
    heard_since: float = math.inf
    found_at: float = -math.inf
    confirmed_era: int = 0
    idle_shares: list[float] = msgspec.field(default_factory=list)
    use_by_service_by_host: dict[str, dict[str, RetryUse]] = msgspec.field(
        default_factory=dict
    )


class ConfigUpdate(msgspec.Struct, frozen=True):
    """A version of the configuration as the store holds it."""

    version: int
    value: StoredValue


class UpdateBuffer(Generic[Item]):
    """Collects updates until they are sent to other hosts."""

    __slots__ = ("_came", "_items")

    def __init__(self):
        self._items: list[Item] = []
        self._came = trio.Event()

    def add(self, item: Item) -> None:
        """Add an update to be sent."""
        self._items.append(item)
        self._came.set()

    async def wait(self) -> None:
        """Wait until there is an update to send."""
        await self._came.wait()

    def take(self) -> list[Item]:
        """Remove and return all updates."""
        items, self._items = self._items, []
        self._came = trio.Event()
        return items


class RouterView(msgspec.Struct):
    """State shared by all services; only the followers and the gossip write it.

    Attributes
    ----------
    started_at : float or None
        When the process started; None if that does not matter.
    drain_s : float
        Time for which work may reach a target after its leaving was acknowledged.
    hosts : int
        Entry hosts that share the fleet's retry budgets, this one included; also
        counts partitioned hosts, since they go on spending.
    peers : PeerView
        State reported by the hosts that sent a status recently.
    full_by_id : dict
        Targets excluded for a short time since they refused work for lack of
        capacity.
    target_updates, config_updates : UpdateBuffer
        Updates of targets and of the configuration to be sent to the other hosts of
        the zone.
    boundary : WorkBoundary
        Contains defects in the work for one target, entry or host.
    crashes : CrashGuard
        Records of requests under which targets crashed.
    target_links : TargetLinks
        What is known of this host's own links to targets.
    find_relays : callable
        Returns the hosts that connect this one to targets.
    offers_relay : callable
        Returns whether this host connects others to targets.
    relayed_connections : callable
        Returns the number of connections that this host relays for others.
    limits : TargetLimits
        The limits that targets name, and this host's tokens for them.
    rests : TargetRests
        The rests that targets have asked this host for.
    failures : FailureRates
        Share of requests that plain targets failed.
    shared_failures : SharedFailures
        Failed answers of plain targets to all hosts.
    eras : EraMonitor
        The eras of the store.
    active_config : ConfigUpdate or None
        The version in force, as it was read.
    offers_config : bool
        The store does not hold that version, so that other hosts may lack it.
    confirmed_era : int
        Newest era of the store in which the version in force was confirmed, some time
        after the era's begin; 0 if it was not.
    crash_updates : UpdateBuffer
        Traits whose crashes are to be reported to other hosts.
    host_load : HostLoad
        Whether this host has processor time for its requests.
    withdrawal : Withdrawal
        Whether it asks the load balancer for no more connections.
    in_flight : int
        Requests of callers that are being served.
    unread_connections : int
        Connections just accepted from callers whose requests have yet to be read.
    config_reads : int
        Answers of the store that held the configuration.
    streams_cut : int
        Streams whose callers received some events but not the last one.
    list_confirmations : UpdateBuffer
        Times for which the store confirmed the list, to be sent to the other hosts of
        the zone.
    admission_settings, layout_settings, plain_settings : object
        Switches of the features that some deployments use.
    admission_by_service : dict
        Rules by rank and workspace, of the services for which they are switched on.
    demands : DemandTable
        What other hosts' callers ask for.
    plain_targets : PlainTargets
        Answer times of plain targets, and what they should hold.
    rejected_by_priority, rejected_over_share : Counter, int
        New streams that these rules rejected.
    on_target_updates, on_config : callable
        Apply updates of targets and of the configuration from another host.
    duty_reported_at : dict
        When a service's placement was last reported as held by another host.
    capacity_freed : trio.Event
        Set, and replaced, whenever waiting requests should check for paths again.
    store_back : trio.Event
        Set, and replaced, on a sign that the store can be reached again.
    followers_woken : trio.Event
        Set, and replaced, when followers should check whether to read the store.
    """

    zone: str
    clock: Clock
    allowance: RetryAllowance
    freshness: Freshness
    grace_s: float = 8.0
    drain_s: float = 2.0
    started_at: float | None = None
    table: RoutingTable | None = None
    directory: TargetDirectory = msgspec.field(default_factory=TargetDirectory)
    load: LoadTable = msgspec.field(default_factory=LoadTable)
    links: LinkUsage = msgspec.field(default_factory=LinkUsage)
    gate: CrossingGate = msgspec.field(default_factory=CrossingGate)
    slowdowns: SlowdownTable = msgspec.field(default_factory=SlowdownTable)
    hosts: int = 1
    leaving_since: float | None = None
    in_flight: int = 0
    unread_connections: int = 0
    streams_cut: int = 0
    rng: random.Random = msgspec.field(default_factory=random.Random)
    capacity_freed: trio.Event = msgspec.field(default_factory=trio.Event)
    store_back: trio.Event = msgspec.field(default_factory=trio.Event)
    followers_woken: trio.Event = msgspec.field(default_factory=trio.Event)
    peers: PeerView = msgspec.field(default_factory=PeerView)
    watch_duty: WatchDuty = msgspec.field(default_factory=WatchDuty)
    target_updates: UpdateBuffer[TargetUpdate] = msgspec.field(
        default_factory=UpdateBuffer
    )
    config_updates: UpdateBuffer[ConfigUpdate] = msgspec.field(
        default_factory=UpdateBuffer
    )
    host_id: str = ""
    crashes: CrashGuard | None = None
    boundary: WorkBoundary | None = None
    target_links: TargetLinks = msgspec.field(default_factory=TargetLinks)
    find_relays: Callable[[], list[RelayHost]] = list
    offers_relay: Callable[[], bool] = lambda: False
    relayed_connections: Callable[[], int] = lambda: 0
    limits: TargetLimits | None = None
    rests: TargetRests = msgspec.field(default_factory=TargetRests)
    failures: FailureRates = msgspec.field(default_factory=FailureRates)
    shared_failures: SharedFailures = msgspec.field(default_factory=SharedFailures)
    host_load: HostLoad = msgspec.field(default_factory=HostLoad)
    withdrawal: Withdrawal = msgspec.field(default_factory=Withdrawal)
    crash_updates: UpdateBuffer[str] = msgspec.field(default_factory=UpdateBuffer)
    config_reads: int = 0
    eras: EraMonitor | None = None
    active_config: ConfigUpdate | None = None
    offers_config: bool = False
    confirmed_era: int = 0
    list_confirmations: UpdateBuffer[float] = msgspec.field(
        default_factory=UpdateBuffer
    )
    on_target_updates: Callable[[list[TargetUpdate]], None] = lambda items: None
    on_config: Callable[[PeerConfig], None] = lambda message: None
    admission_settings: AdmissionSettings = AdmissionSettings()
    layout_settings: LayoutSettings = LayoutSettings()
    plain_settings: PlainSettings = PlainSettings()
    admission_by_service: dict[str, ServiceAdmission] = msgspec.field(
        default_factory=dict
    )
    demands: DemandTable = msgspec.field(default_factory=DemandTable)
    plain_targets: PlainTargets = msgspec.field(default_factory=PlainTargets)
    rejected_by_priority: Counter[int] = msgspec.field(default_factory=Counter)
    rejected_over_share: int = 0
    full_by_id: dict[str, FullTarget] = msgspec.field(default_factory=dict)
    duty_reported_at: dict[str, float] = msgspec.field(default_factory=dict)
    _queue_by_service: dict[str, AdmissionQueue] = msgspec.field(default_factory=dict)
    _budget_by_service: dict[str, RetryBudget] = msgspec.field(default_factory=dict)

    def __post_init__(self):
        if self.boundary is None:
            self.boundary = WorkBoundary(self.clock)
        if self.eras is None:
            self.eras = EraMonitor(self.clock)
        self.eras.on_change.append(
            lambda: self.directory.record_store_return(self.clock.now())
        )
        if self.crashes is None:
            self.crashes = CrashGuard(self.host_id, self.clock, self.boundary)
        self.crashes.announce = self.crash_updates.add
        if self.limits is None:
            started_at = -math.inf if self.started_at is None else self.started_at
            self.limits = TargetLimits.for_host(self.host_id, self.zone, started_at)

    @property
    def leaving(self) -> bool:
        """Return whether this host was told to leave."""
        return self.leaving_since is not None

    @property
    def expected_requests(self) -> int:
        """Return the requests in flight and those about to be read."""
        return self.in_flight + self.unread_connections

    def takes_work(self, max_duration_s: float) -> bool:
        """Return whether a request of up to this duration is still accepted."""
        return takes_work(self._leaving_for_s(), self.grace_s, max_duration_s)

    def ends_waits(self) -> bool:
        """Return whether waiting requests are refused, since the host ends soon."""
        return ends_waits(self._leaving_for_s(), self.grace_s)

    def _leaving_for_s(self) -> float | None:
        if self.leaving_since is None:
            return None
        return self.clock.now() - self.leaving_since

    def list_age_s(self) -> float:
        """Return the seconds since the list of targets was last known to be current."""
        return self.clock.now() - self.watch_duty.list_confirmed_at

    def lacks_witness(self) -> bool:
        """Return whether the store may hold an older version than another host knows.

        It may have come back from a copy, and this host has no recent view of its own.
        Hosts that started after the return know no more than the copy.  So only one
        whose version was confirmed some time later counts as a witness, or none does
        within the time in which all that live are heard.
        """
        now = self.clock.now()
        if self.started_at is None or not self.eras.has_returned:
            return False
        if self.freshness.age_s(now) < self.freshness.bound_s:
            return False
        if self.peers.confirmed_era >= self.eras.known:
            return False
        if now - self.peers.heard_since >= PEERS_HEARD_S:
            return False
        known_for_s = self.eras.changed_s()
        waited_s = min(known_for_s, now - self.peers.found_at)
        return waited_s < PEERS_HEARD_S and known_for_s < MAX_PEERS_WAIT_S

    def note_era_confirmed(self) -> None:
        """Record that the store confirmed the version in force in its newest era.

        Hosts whose versions differ may not have heard each other right after a return.
        """
        if self.eras.changed_s() >= PEERS_HEARD_S:
            self.confirmed_era = self.eras.known

    def sends_callers_away(self) -> bool:
        """Return whether callers are better served by other hosts."""
        now, peers = self.clock.now(), self.peers
        since = self.watch_duty.reading_since
        if since is None:
            # This host gets all updates from others and sends the store no calls.
            return False
        return sends_callers_away(
            min(self.freshness.failing_s(now), now - since),
            min(self.freshness.silent_s(now), now - since),
            peers.heard,
            peers.freshest_s,
            peers.ever_heard,
        )

    def take_retry(self, service: str) -> bool:
        """Take one retry out of the budget that all hosts share."""
        others = self._reported_uses(service)
        return self.budget(service).take(self.clock.now(), self.hosts, others)

    def retries_left(self, service: str) -> float:
        """Return the retries that are left for all hosts together."""
        others = self._reported_uses(service)
        return self.budget(service).left(self.clock.now(), self.hosts, others)

    def _reported_uses(self, service: str) -> list[RetryUse]:
        """Return the use of a service's retry budget reported by each live host."""
        return [
            by_service.get(service, RetryUse())
            for by_service in self.peers.use_by_service_by_host.values()
        ]

    def admission_queue(self, service: str) -> AdmissionQueue:
        """Return the queue of requests that wait for one of a service's paths."""
        return self._queue_by_service.setdefault(service, AdmissionQueue())

    def own_demands(self) -> list[ServiceDemand]:
        """Return what the callers of this host ask for, by service."""
        now = self.clock.now()
        return [
            admission.meter.report(service, now)
            for service, admission in self.admission_by_service.items()
        ]

    def target_priority(self, call: Call) -> int:
        """Return the priority that a call's targets are told, 0 to 9, 0 the first."""
        admission = self.admission_by_service.get(call.service.name)
        priority = call.priority
        if admission is not None and admission.by_rank:
            priority = bisect_left(admission.ranks, call.rank)
        return min(max(priority, 0), MAX_PRIORITY)

    def learns_answer_times(self, route: RouteRule) -> bool:
        """Return whether a route's plain targets are chosen by their answer times."""
        return self.plain_settings.learn_answer_times.decide(route.objective_s > 0.0)

    def held_target(self, record: TargetRecord) -> HeldTarget:
        """Return a plain target with the requests that it holds from all hosts."""
        held = self.load.held(record.id).requests
        return HeldTarget(record.incarnation, max(1, record.slots), held)

    def plain_costs(
        self, records: list[TargetRecord], route: RouteRule
    ) -> dict[tuple[str, int], float]:
        """Return what plain targets cost by answer times and by what they hold."""
        if not self.learns_answer_times(route):
            return {}
        now = self.clock.now()
        targets = [self.held_target(record) for record in records]
        for change in self.plain_targets.changes(targets, route.objective_s, now):
            log_event(
                "target.slow_answers" if change.is_slow else "target.answers_well",
                target=change.target_id,
                answer_s=round(change.answer_s, 4),
                fastest_s=round(change.fastest_s, 4),
                answers=change.answers,
                objective_s=route.objective_s,
            )
        return self.plain_targets.costs(targets, route.objective_s, now)

    def deadline_fault(self, call: Call, records: list[TargetRecord]) -> Fault | None:
        """Return the refusal of a request that no plain target can answer in time."""
        if not self.learns_answer_times(call.route):
            return None
        now = self.clock.now()
        reason = self.plain_targets.refuse(
            call.service.name,
            [self.held_target(record) for record in records],
            call.deadline_at - now,
            now,
        )
        if reason is None:
            return None
        log_event(
            "request.unreachable",
            request=call.facts.request_id,
            left_s=round(reason.left_s, 3),
            fastest_s=round(reason.fastest_s, 3),
            answers=reason.answers,
            targets=len(records),
        )
        detail = (
            f"fastest of {reason.answers} answers took {reason.fastest_s:.3f} s, "
            f"{reason.left_s:.3f} s are left"
        )
        return fault(ResultCode.DEADLINE_UNREACHABLE, detail, COMEBACK_S)

    def plain_use(self) -> list[PlainTargetUse]:
        """Return what this host observed of plain targets."""
        if self.plain_settings.learn_answer_times is Switch.OFF:
            return []
        return self.plain_targets.own(self.clock.now())

    def retry_use(self) -> dict[str, RetryUse]:
        """Return this host's use of each service's retry budget."""
        now = self.clock.now()
        return {
            service: budget.use(now)
            for service, budget in self._budget_by_service.items()
        }

    def mark_full(self, target_id: str) -> None:
        """Exclude a target for a short time, longer each time in a row."""
        now = self.clock.now()
        before = self.full_by_id.get(target_id)
        length_s = FULL_S
        if before is not None and now < before.until + before.length_s:
            length_s = min(MAX_FULL_S, before.length_s * 2)
        self.full_by_id[target_id] = FullTarget(now + length_s, length_s)

    def usable_with_capacity(self, service: str) -> list[TargetRecord]:
        """Return the usable targets that neither refused work nor lack a token."""
        now = self.clock.now()
        return [
            record
            for record in self.with_room(self.directory.usable(service, now))
            if not self._is_full(record.id, now)
        ]

    def with_room(self, records: list[TargetRecord]) -> list[TargetRecord]:
        """Return the targets that do not rest and have no limit, or a token left."""
        now = self.clock.now()
        return [
            record
            for record in self.rests.awake(records, now)
            if self.limits.has_room(record, now)
        ]

    def rest_fault(
        self, service: str, serve: Callable[[list[TargetRecord]], bool]
    ) -> Fault | None:
        """Return the refusal of a request that only the rests of targets keep out.

        Parameters
        ----------
        serve : callable
            Returns whether some targets can serve the request together.
        """
        now = self.clock.now()
        if not self.rests.any_rests(now):
            return None
        records = self.directory.usable(service, now)
        if serve(self.rests.awake(records, now)) or not serve(records):
            return None
        records.sort(key=lambda record: self.rests.left_s(record, now))
        enough = bisect_left(
            range(len(records)), True, key=lambda count: serve(records[:count])
        )
        retry_s = self.rests.left_s(records[enough - 1], now)
        resting = len(records) - len(self.rests.awake(records, now))
        detail = f"{resting} of {len(records)} targets asked for rest"
        return fault(ResultCode.TARGETS_RESTING, detail, retry_s)

    def limit_fault(self, service: str) -> Fault | None:
        """Return the refusal of a request that only the limits of targets keep out."""
        limited = [
            record
            for record in self.directory.listed(service)
            if self.limits.limit(record) is not None
        ]
        if not limited:
            return None
        waiting = len(self.admission_queue(service))
        retry_s = self.limits.token_wait_s(limited, waiting)
        detail = f"{len(limited)} targets name a limit"
        return fault(ResultCode.TARGETS_LIMITED, detail, retry_s)

    def _is_full(self, target_id: str, now: float) -> bool:
        full = self.full_by_id.get(target_id)
        return full is not None and now < full.until

    def path_finder(
        self, service: str, engine: EngineSpec, moving_streams: int = 0
    ) -> PathFinder:
        """Return a finder of paths for the current load and links.

        Parameters
        ----------
        moving_streams : int
            Streams at all hosts that look for another path at the same moment.
        """
        shares = self.links.shares(self.clock.now(), self.zone)
        closed = self.links.full(shares)
        for pair in self._pairs() - closed:
            if not self._may_cross(engine, pair, shares.get(pair, 0.0), moving_streams):
                closed.add(pair)
        spread, unseen = STARTUP_SPREAD, 0.0
        if not self._lacks_remote_state():
            spread = choice_spread(self._unreported_starts(service) + moving_streams)
            unseen = self.starts_elsewhere(service) + moving_streams
        by_room = self.layout_settings.spread_by_room.decide(
            self.hosts > MAX_HOSTS_HEARD
        )
        return PathFinder(
            engine,
            self.load,
            self.zone,
            shares,
            closed,
            spread,
            self.rng,
            self.failures.elsewhere_by_id,
            unseen if by_room else 0.0,
        )

    def _lacks_remote_state(self) -> bool:
        """Return whether this host just started and has no reports of others' work."""
        if self.started_at is None or self.clock.now() - self.started_at >= STARTUP_S:
            return False
        return self.load.streams() < self.hosts * MIN_STREAMS_PER_HOST

    def _unreported_starts(self, service: str) -> float:
        """Return the number of streams at all hosts that are not reported yet."""
        typical_s = self.admission_queue(service).typical_stream_s
        by_work = self.load.streams() / typical_s * REMOTE_STATE_AGE_S
        return max(by_work, self.hosts * UNREPORTED_SHARE)

    def starts_elsewhere(self, service: str) -> float:
        """Return the unreported streams that other hosts started.

        A host counts its own at once, so that few hosts leave less room unused.
        """
        others_share = 1.0 - 1.0 / max(1, self.hosts)
        return self._unreported_starts(service) * others_share

    def _may_cross(
        self, engine: EngineSpec, pair: Pair, share: float, moving_streams: int
    ) -> bool:
        capacity = free_prompt_capacity(share, engine.transfer_ms(engine.usual_prompt))
        if moving_streams:
            return draw(capacity, moving_streams, self.rng)
        now = self.clock.now()
        own_crossings = self.links.own_crossings(pair, now - ANNOUNCE_DELAY_S)
        waiting = sum(len(queue) for queue in self._queue_by_service.values())
        contenders = self.hosts * (own_crossings + waiting)
        return self.gate.is_open(pair, capacity, contenders, now, self.rng)

    def _pairs(self) -> set[Pair]:
        """Return the links between all zones that hold targets."""
        zones = sorted({record.zone for record in self.directory.all_records()})
        return {
            pair_of(zone, other) for zone, other in itertools.combinations(zones, 2)
        }

    def note_crossings(self, engine: EngineSpec, path: Path, tokens: int) -> None:
        """Count a prompt on every link that its path crosses."""
        now = self.clock.now()
        zones = [self._zone_of(stage.target_id) for stage in path]
        for zone, other in itertools.pairwise(zones):
            if zone != other:
                pair = pair_of(zone, other)
                self.links.crossed(pair, engine.transfer_ms(tokens), now)
                self.gate.used(pair, now)

    def _zone_of(self, target_id: str) -> str:
        record = self.directory.find(target_id)
        return record.zone if record else self.zone

    def budget(self, service: str) -> RetryBudget:
        """Return the service's retry budget."""
        budget = self._budget_by_service.get(service)
        if budget is None:
            budget = self._budget_by_service[service] = RetryBudget(self.allowance)
        return budget

    def pick_service(self, route: RouteRule) -> ServiceSpec | None:
        """Return one of the route's services, by weight."""
        shares = route.shares
        share = shares[0]
        if len(shares) > 1:
            weights = [candidate.weight for candidate in shares]
            share = self.rng.choices(shares, weights)[0]
        known = self.table.config.service_by_name.get(share.service)
        return known or ServiceSpec(share.service, "", 100)

    def crash_refusal(self, call: Call) -> Fault | None:
        """Return the fault if crashes rule out another target for a call."""
        return self.crashes.refusal(
            call.traits, call.facts.request_id, call.may_have_run
        )

    def notify_store_back(self) -> None:
        """End the pauses of the followers that wait for the store."""
        event, self.store_back = self.store_back, trio.Event()
        event.set()

    def wake_followers(self) -> None:
        """Have the followers check at once whether they have to read the store."""
        event, self.followers_woken = self.followers_woken, trio.Event()
        event.set()

    def notify_capacity_freed(self) -> None:
        """Wake the requests that wait for a target."""
        event, self.capacity_freed = self.capacity_freed, trio.Event()
        event.set()
