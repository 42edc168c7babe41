"""Assigns layers to empty targets, under a lease in the store.

The plan is a pure function (`radishfield.routing.plan_layout`).  One host at a time,
the holder of the service's lease, sends it as orders.  The lease keeps two hosts from
sending conflicting orders.  Each order also names how many orders its target has
accepted, as that target reports, so that an order that is executed late, or sent by a
host that has lost the lease without knowing, no longer matches.
"""

from collections.abc import Mapping, Sequence

import msgspec
import trio

from radishfield.core import Fault, ResultCode, sleep_to_tick
from radishfield.forwarding._lease import PlacementLease
from radishfield.forwarding._targets import Targets, order_status
from radishfield.forwarding._view import RouterView
from radishfield.platform import ObjectStore, encode_place_order
from radishfield.routing import (
    Assignment,
    EngineSpec,
    LayerSpan,
    ServiceSpec,
    TargetRecord,
    layout_problems,
    next_loads,
    plan_layout,
    plan_move,
    plan_repair,
    whole_zones,
)
from radishfield.telemetry import log_event

CHECK_INTERVAL_S = 0.25
SETTLE_S = 1.0
"""Targets that start together register within seconds, some tenths of a second apart.
A plan made before the last of them would assign the same layers again and leave others
without a copy, so planning waits until no target has registered for this long."""
MAX_SETTLE_S = 5.0
"""Maximum wait for a fleet whose targets come and go all the time."""
FLEET_START_SHARE = 0.3
"""Share of empty targets of a service above which the fleet counts as starting.  Below
it targets are replaced one after the other, and waiting for the last of them would
leave each one idle for seconds while those it replaces leave."""
MOVE_AFTER_S = 2.0
"""Time for which a move must stay the best one: a target that was killed usually
restarts within seconds, empty, and takes the missing layers without any move."""
MOVE_PAUSE_S = 5.0
"""Minimum interval between moves of a service: the longest load takes 4 s, and only
then does the target list show the layout from which the next move starts."""
REPAIR_AFTER_S = 0.2
"""Time for which a zone must have lacked a copy before targets move to the missing
layers.  A lost target restarts after 3 to 5 s and then loads for one to three, so a
repair that takes under two pays if it begins within half a second of the loss.  The
targets of a joint loss are found one after the other, and planned for together."""
QUICK_LOAD_S = 2.0
"""Longest load with which a repair ends clearly before the lost targets are back."""
MAX_RESTART_S = 5.0
"""Time after which a lost target has usually restarted.  A repair with longer loads
waits for it: begun at once, it would end no sooner than theirs."""
REORDER_AFTER_S = 3.0
"""Time after which a target may be sent another order.  An unanswered order may be
executed seconds later; the order count that it names keeps it from undoing the next
order."""

MAX_ORDERS_AT_ONCE = 32
"""Targets that are ordered at the same time.  A call takes some milliseconds of
processor time, and all that are begun at once share the time limit of one."""
ACCEPTED_STATUSES = (200, 202)
LOAD_SLACK = 2.0
"""Multiple of a load's typical duration after which a load that the target list does
not show is no longer waited for: it was refused, or its target is gone."""


class _LastOrder(msgspec.Struct):
    """The last order sent to a target.

    Attributes
    ----------
    loads_until : float
        Time by which the load has certainly ended.
    """

    incarnation: tuple[str, int]
    span: LayerSpan
    next_order_at: float
    loads_until: float
    accepted: bool = False


class _UnplacedTargets(msgspec.Struct, frozen=True):
    """Empty targets that wait for a plan, since when, and when the last one came."""

    ids: frozenset[str]
    since: float
    grown_at: float


class _CachedPlan(msgspec.Struct, frozen=True):
    """A plan with its inputs, kept until they change.

    Computed at each check, the plan for 90 targets took 1 % of a core on each host.
    """

    version: int
    engine: EngineSpec
    records: list[TargetRecord]
    assignments: tuple[Assignment, ...]


class _Loss(msgspec.Struct, frozen=True):
    """Zones that lost their whole copy, None for the fleet, and since when."""

    zones: frozenset[str | None]
    since: float


class _Copies(msgspec.Struct, frozen=True):
    """Which zones usable targets make whole, kept until these change."""

    engine: EngineSpec
    usable: list[TargetRecord]
    whole: frozenset[str | None]


class _CachedRepair(msgspec.Struct, frozen=True):
    """The next moves of a repair with their inputs, kept until they change."""

    inputs: tuple
    orders: tuple[Assignment, ...]


class _CandidateMove(msgspec.Struct, frozen=True):
    """The best move, and since when it has been the best."""

    assignment: Assignment
    since: float


class _ServiceState(msgspec.Struct):
    """Placement state of one service on this host.

    Attributes
    ----------
    searched_version : int
        Version of the directory at the last search for a move.
    had_copy : set
        Zones that have held a whole copy, and None once the fleet has.
    """

    lease: PlacementLease
    cached_plan: _CachedPlan | None = None
    unplaced: _UnplacedTargets | None = None
    candidate_move: _CandidateMove | None = None
    searched_version: int = -1
    next_move_at: float = 0.0
    copies: _Copies | None = None
    had_copy: frozenset[str | None] = frozenset()
    loss: _Loss | None = None
    cached_repair: _CachedRepair | None = None


class Placer:
    """Places the layers of every service that has layers."""

    __slots__ = (
        "_host_id",
        "_last_order_by_id",
        "_state_by_service",
        "_store",
        "_targets",
        "_view",
    )

    def __init__(
        self, host_id: str, store: ObjectStore, targets: Targets, view: RouterView
    ):
        self._host_id = host_id
        self._store = store
        self._targets = targets
        self._view = view
        self._last_order_by_id: dict[str, _LastOrder] = {}
        self._state_by_service: dict[str, _ServiceState] = {}

    def duties(self) -> list[str]:
        """Return the services whose lease this host holds, as far as it knows."""
        now = self._view.clock.now()
        return [
            service
            for service, state in self._state_by_service.items()
            if state.lease.is_held(now)
        ]

    def _state_of(self, service: str) -> _ServiceState:
        state = self._state_by_service.get(service)
        if state is None:
            lease = PlacementLease(service, self._host_id, self._store, self._view)
            state = self._state_by_service[service] = _ServiceState(lease)
        return state

    async def run(self, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED):
        """Check for empty targets until cancelled."""
        task_status.started()
        while True:
            await self._view.boundary.complete("services.place", "", self._check_once)

    async def _check_once(self) -> None:
        await sleep_to_tick(CHECK_INTERVAL_S)
        if self._view.table is None or self._view.leaving or not self._may_place():
            return
        for service in self._view.table.config.service_by_name.values():
            if service.engine is not None:
                await self._view.boundary.run(
                    "service.place",
                    service.name,
                    self._check_service,
                    service,
                    service.engine,
                )

    def _may_place(self) -> bool:
        """Return whether this host is one of the few that place layers.

        When a target restarts empty, 200 hosts see it.  If each made a plan and
        requested the lease, the store would get some 400 calls for one target.  The
        hosts that follow the store are enough to take the lease over.  A host that
        reaches no target leaves the lease to one that can carry out its orders.
        """
        if self._view.target_links.isolated(self._view.clock.now()):
            return False
        return self._view.watch_duty.on_duty or bool(self.duties())

    async def _check_service(self, service: ServiceSpec, engine: EngineSpec) -> None:
        now = self._view.clock.now()
        state = self._state_of(service.name)
        self._note_copies(service.name, engine, state, now)
        due = self._due_assignments(service, engine, state, now)
        if due:
            await self._place_empty(service, engine, state, due)
        else:
            state.unplaced = None
        if await self._consider_repair(service, engine, state) or due:
            return
        await self._consider_move(service, engine, state, self._view.clock.now())

    async def _place_empty(
        self,
        service: ServiceSpec,
        engine: EngineSpec,
        state: _ServiceState,
        due: Sequence[Assignment],
    ) -> None:
        now = self._view.clock.now()
        if not self._is_settled(service.name, state, due, now):
            return
        if not await state.lease.hold():
            return
        # The target list may have changed during the calls to the store.
        now = self._view.clock.now()
        due = self._due_assignments(service, engine, state, now)
        if not self._fleet_starts(service.name, due):
            loading = self._count_loading(service.name, now)
            due = next_loads(due, loading, engine.concurrent_loads)
        await self._order_all(state.lease, engine, due)

    def _note_copies(
        self, service: str, engine: EngineSpec, state: _ServiceState, now: float
    ) -> None:
        """Note which zones hold a whole copy, and which have lost theirs."""
        usable = self._view.directory.usable(service, now)
        copies = state.copies
        if copies is None or copies.engine != engine or copies.usable != usable:
            if copies is not None and copies.engine != engine:
                state.had_copy = frozenset()
            whole = frozenset(whole_zones(engine, usable))
            copies = state.copies = _Copies(engine, usable, whole)
        state.had_copy |= copies.whole
        zones = state.had_copy - copies.whole
        if not zones:
            state.loss = None
        elif state.loss is None or not zones <= state.loss.zones:
            state.loss = _Loss(zones, now)

    async def _consider_repair(
        self, service: ServiceSpec, engine: EngineSpec, state: _ServiceState
    ) -> bool:
        """Order the next moves of a repair; return whether there are any."""
        now, loss = self._view.clock.now(), state.loss
        if loss is None or now - loss.since < REPAIR_AFTER_S:
            return False
        orders = self._repair_orders(service.name, engine, state, now)
        if not self._view.layout_settings.repair.decide(called_for=bool(orders)):
            return False
        if not orders:
            return False
        longest = max(len(order.span) for order in orders)
        quick = engine.load_s * longest / engine.layers <= QUICK_LOAD_S
        if not quick and now - loss.since < MAX_RESTART_S:
            return True
        if not await state.lease.hold():
            return True
        # Lost targets stay listed for seconds, and a move planned from the list would
        # undo the repair.
        state.next_move_at = now + MOVE_PAUSE_S
        await self._order_all(state.lease, engine, orders)
        return True

    def _repair_orders(
        self, service: str, engine: EngineSpec, state: _ServiceState, now: float
    ) -> Sequence[Assignment]:
        """Return the next moves of a repair; plan only when something has changed."""
        usable = self._view.directory.usable(service, now)
        span_by_loading_id = self._spans_to_come(state, usable, now)
        empty = sum(
            record.span is None and not self._is_loading(record, now)
            for record in usable
        )
        loading = self._count_loading(service, now)
        kept_ids = {
            record.id
            for record in usable
            if not self._may_order(Assignment(record, LayerSpan(0, 0)), now)
            or self._view.rests.is_resting(record, now)
        }
        # Empty targets carry nothing now, so their loads come first.
        free_loads = engine.concurrent_loads - loading - empty
        lost = state.loss.zones if state.loss is not None else frozenset()
        inputs = (engine, usable, lost, span_by_loading_id, free_loads, kept_ids)
        if state.cached_repair is None or state.cached_repair.inputs != inputs:
            orders = tuple(plan_repair(*inputs))
            state.cached_repair = _CachedRepair(inputs, orders)
        return state.cached_repair.orders

    def _spans_to_come(
        self, state: _ServiceState, usable: Sequence[TargetRecord], now: float
    ) -> Mapping[str, LayerSpan]:
        """Return what targets load, or are about to, that the list does not show."""
        planned = state.cached_plan.assignments if state.cached_plan else ()
        span_by_id = {item.target.id: item.span for item in planned}
        for record in usable:
            last_order = self._last_order_by_id.get(record.id)
            if (
                last_order is not None
                and last_order.incarnation == record.incarnation
                and last_order.accepted
                and last_order.span != record.span
                and now < max(last_order.loads_until, last_order.next_order_at)
            ):
                span_by_id[record.id] = last_order.span
        return span_by_id

    async def _order_all(
        self, lease: PlacementLease, engine: EngineSpec, due: Sequence[Assignment]
    ) -> None:
        """Order some assignments at a time, as long as the lease is held."""
        free = trio.Semaphore(MAX_ORDERS_AT_ONCE)

        async def order(assignment: Assignment) -> None:
            try:
                with self._view.boundary.contain("target.order", assignment.target.id):
                    await self._order(lease, engine, assignment)
            finally:
                free.release()

        async with trio.open_nursery() as nursery:
            for assignment in due:
                await free.acquire()
                if not await lease.hold():
                    return
                nursery.start_soon(order, assignment)

    def _count_loading(self, service: str, now: float) -> int:
        """Return how many targets are loading layers that this host ordered."""
        return sum(
            self._is_loading(record, now)
            and not self._view.directory.suspected(record.id, now)
            for record in self._view.directory.listed(service)
        )

    def _is_loading(self, record: TargetRecord, now: float) -> bool:
        """Return whether a target is loading layers that this host ordered."""
        last_order = self._last_order_by_id.get(record.id)
        return (
            last_order is not None
            and last_order.incarnation == record.incarnation
            and last_order.span != record.span
            and now < last_order.loads_until
        )

    def _fleet_starts(self, service: str, due: Sequence[Assignment]) -> bool:
        """Return whether too many targets are empty to serve any request meanwhile."""
        listed = len(self._view.directory.listed(service))
        return len(due) > FLEET_START_SHARE * listed

    def _is_settled(
        self, service: str, state: _ServiceState, due: list[Assignment], now: float
    ) -> bool:
        """Return whether a starting fleet has stopped growing."""
        ids = frozenset(assignment.target.id for assignment in due)
        unplaced = state.unplaced
        if unplaced is None:
            unplaced = _UnplacedTargets(ids, now, now)
        elif not ids <= unplaced.ids:
            unplaced = _UnplacedTargets(ids, unplaced.since, now)
        state.unplaced = unplaced
        if not self._fleet_starts(service, due):
            return True
        settled = now - unplaced.grown_at >= SETTLE_S
        return settled or now - unplaced.since >= MAX_SETTLE_S

    async def _consider_move(
        self, service: ServiceSpec, engine: EngineSpec, state: _ServiceState, now: float
    ) -> None:
        """Order the best move once it has been the best for ``MOVE_AFTER_S``."""
        candidate = self._best_move(service, engine, state, now)
        if candidate is None or now - candidate.since < MOVE_AFTER_S:
            return
        if now < state.next_move_at:
            return
        if not self._may_order(candidate.assignment, now):
            return
        if not await state.lease.hold():
            return
        state.next_move_at = now + MOVE_PAUSE_S
        await self._order(state.lease, engine, candidate.assignment)

    def _best_move(
        self, service: ServiceSpec, engine: EngineSpec, state: _ServiceState, now: float
    ) -> _CandidateMove | None:
        """Return the best move; search for it only when the target list has changed."""
        version = self._view.directory.version
        if state.searched_version == version:
            return state.candidate_move
        state.searched_version = version
        records = self._view.directory.listed(service.name)
        move = None
        if all(record.span is not None for record in records):
            move = plan_move(engine, records)
        candidate = state.candidate_move
        if move is None:
            state.candidate_move = None
        elif candidate is None or candidate.assignment.span != move.span:
            state.candidate_move = _CandidateMove(move, now)
        return state.candidate_move

    def _due_assignments(
        self, service: ServiceSpec, engine: EngineSpec, state: _ServiceState, now: float
    ) -> list[Assignment]:
        version = self._view.directory.version
        records = self._records_to_plan(service.name, state, now)
        cached_plan = state.cached_plan
        if (
            cached_plan is None
            or cached_plan.version != version
            or cached_plan.engine != engine
            or cached_plan.records != records
        ):
            if cached_plan is None or cached_plan.engine != engine:
                _log_problems(service.name, engine)
            assignments = tuple(plan_layout(engine, records))
            cached_plan = _CachedPlan(version, engine, records, assignments)
            state.cached_plan = cached_plan
        return [
            assignment
            for assignment in cached_plan.assignments
            if self._may_order(assignment, now)
        ]

    def _records_to_plan(
        self, service: str, state: _ServiceState, now: float
    ) -> list[TargetRecord]:
        """Return the targets whose layers count when empty targets get theirs.

        A lost target stays listed for seconds.  After a loss that breaks a copy, empty
        targets are not to wait for it.
        """
        directory = self._view.directory
        if state.loss is None or not self._view.layout_settings.repair.decide(True):
            return directory.listed(service)
        return directory.usable(service, now)

    def _may_order(self, assignment: Assignment, now: float) -> bool:
        target = assignment.target
        last_order = self._last_order_by_id.get(target.id)
        if last_order is None or last_order.incarnation != target.incarnation:
            return not self._view.directory.suspected(target.id, now)
        return now >= last_order.next_order_at

    async def _order(
        self, lease: PlacementLease, engine: EngineSpec, assignment: Assignment
    ) -> None:
        target, now = assignment.target, self._view.clock.now()
        if self._view.rests.is_resting(target, now):
            return
        last_order = _LastOrder(
            target.incarnation,
            assignment.span,
            now + REORDER_AFTER_S,
            now + REORDER_AFTER_S,
        )
        self._last_order_by_id[target.id] = last_order
        fence = lease.fence
        report = await self._targets.report(target)
        if report.is_error():
            last_order.loads_until = now
            self._skip_order(target, report.error)
            return
        if report.ok.busy or report.ok.span != target.span:
            # The target list is outdated: the target holds or loads other layers.
            return
        if not lease.is_held(self._view.clock.now()):
            # It passed, or the store came back without it, while the target answered.
            last_order.next_order_at = last_order.loads_until = now
            log_event("order.dropped", target=target.id, fence=fence)
            return
        body = encode_place_order(assignment.span, fence, report.ok.order_count)
        answer = await self._targets.order(target, body)
        load_s = engine.load_s * len(assignment.span) / engine.layers
        # An unanswered order may be executed late or never, so the loads of other
        # targets do not wait for it.
        accepted = order_status(answer) in ACCEPTED_STATUSES
        last_order.loads_until = now + LOAD_SLACK * load_s if accepted else now
        last_order.accepted = accepted
        log_event(
            "order.place",
            target=target.id,
            span=f"{assignment.span.first}-{assignment.span.end}",
            expected_orders=report.ok.order_count,
            fence=fence,
            status=order_status(answer),
            detail=answer.error.detail if answer.is_error() else "",
            directory_version=self._view.directory.version,
            reason=assignment.reason,
        )

    def _skip_order(self, target: TargetRecord, problem: Fault) -> None:
        if problem.code is ResultCode.CONNECT_FAILED:
            self._view.directory.suspect(target.id, self._view.clock.now())
        log_event(
            "order.skipped",
            target=target.id,
            code=int(problem.code),
            detail=problem.detail,
            directory_version=self._view.directory.version,
        )


def _log_problems(service: str, engine: EngineSpec) -> None:
    problems = layout_problems(engine)
    if problems:
        log_event(
            "layout.incomplete",
            service=service,
            code=int(ResultCode.SETTING_RANGE),
            detail="; ".join(problems),
        )
