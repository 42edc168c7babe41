"""Gives empty targets their layers, under a lease in the store.

The plan is pure (`radishfield.routing.plan_layout`).  Here one host at a time, the
holder of the service's lease, sends it as orders.  The lease keeps two hosts from
ordering different things; each order also names how many orders its target has
taken, as that target reports, so that one that is carried out late, or sent by a
host that has lost the lease without knowing, does not fit any more.
"""

from collections.abc import Sequence

import msgspec
import trio

from radishfield.core import Fault, ResultCode
from radishfield.forwarding._lease import PlacementLease
from radishfield.forwarding._targets import Targets, order_status
from radishfield.forwarding._view import RouterView
from radishfield.platform import ObjectStore, place_order
from radishfield.routing import (
    Assignment,
    EngineSpec,
    ServiceSpec,
    TargetRecord,
    next_loads,
    plan_layout,
    plan_move,
)
from radishfield.telemetry import log_event

LOOK_S = 0.25
SETTLE_S = 1.0
"""Targets that start together register within seconds, some tenths apart.  A plan
made before the last of them would deal the same layers again and leave others
without a copy; so it waits until none has come for this long."""
LONGEST_SETTLE_S = 5.0
"""A fleet whose targets come and go all the time is planned for after this."""
START_SHARE = 0.3
"""Share of a service's targets that are empty from which on the fleet starts.  Below
it targets are replaced one after the other, and waiting for the last of them would
leave each one idle for seconds while those it replaces leave."""
MOVE_AFTER_S = 2.0
"""Time for which a move has to stay the best one: a target that was killed mostly
comes back within seconds, empty, and takes what is missing without any move."""
MOVE_PAUSE_S = 5.0
"""Pause between two moves of a service: the longest load takes four seconds, and
only then does the list show what the next move has to build on."""
ORDER_AGAIN_S = 3.0
"""An order that brought no answer may be carried out seconds later; the count of
orders it names keeps it from undoing the one that follows."""


BEGUN = (200, 202)
LOAD_SLACK = 2.0
"""Times the usual length of a load after which one that has not shown in the list
is no longer waited for: it was refused, or its target is gone."""


class _Ordered(msgspec.Struct):
    """What a target was ordered last.

    Attributes
    ----------
    loads_until : float
        Time by which its load has surely ended.
    """

    incarnation: tuple[str, int]
    again_at: float
    loads_until: float


class _Unplaced(msgspec.Struct, frozen=True):
    """Empty targets that wait for a plan, since when, and when the last came."""

    ids: frozenset[str]
    since: float
    grown_at: float


class _Planned(msgspec.Struct, frozen=True):
    """A plan, and what it was made from.

    Made anew at each look by each host, the plan for ninety targets took a
    hundredth of a core there.
    """

    version: int
    engine: EngineSpec
    assignments: tuple[Assignment, ...]


class _WantedMove(msgspec.Struct, frozen=True):
    """A move, and since when it has been the best."""

    assignment: Assignment
    since: float


class _ServiceState(msgspec.Struct):
    """What this host knows of the placing of one service.

    Attributes
    ----------
    searched_version : int
        Version of the directory for which a move was searched last.
    """

    lease: PlacementLease
    planned: _Planned | None = None
    unplaced: _Unplaced | None = None
    wanted_move: _WantedMove | None = None
    searched_version: int = -1
    next_move_at: float = 0.0


class Placer:
    """The duty of placing layers, for every service that has them."""

    __slots__ = (
        "_host_id",
        "_ordered_by_id",
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
        self._ordered_by_id: dict[str, _Ordered] = {}
        self._state_by_service: dict[str, _ServiceState] = {}

    def duties(self) -> list[str]:
        """Return the services whose lease this host holds, by its own knowledge."""
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
        """Look for empty targets until cancelled."""
        task_status.started()
        while True:
            await trio.sleep(LOOK_S)
            if self._view.table is None or self._view.leaving or not self._may_place():
                continue
            for service in self._view.table.config.service_by_name.values():
                if service.engine is not None:
                    await self._look(service, service.engine)

    def _may_place(self) -> bool:
        """Return whether this host is one of the few that place layers.

        Load pattern: two hundred hosts see a target come back empty.  Each makes a
        plan, and each asks the store for the lease: some four hundred calls for one
        target.  The hosts that follow the store are enough to take it over.
        """
        return self._view.watch_duty.on_duty or bool(self.duties())

    async def _look(self, service: ServiceSpec, engine: EngineSpec) -> None:
        now = self._view.clock.now()
        state = self._state_of(service.name)
        wanted = self._wanted(service, engine, state, now)
        if not wanted:
            state.unplaced = None
            await self._consider_move(service, engine, state, now)
            return
        if not self._is_settled(service.name, state, wanted, now):
            return
        if not await state.lease.hold():
            return
        # The list may have changed while the store was asked.
        now = self._view.clock.now()
        wanted = self._wanted(service, engine, state, now)
        if not self._fleet_starts(service.name, wanted):
            loading = self._loading(service.name, now)
            wanted = next_loads(wanted, loading, engine.concurrent_loads)
        async with trio.open_nursery() as nursery:
            for assignment in wanted:
                nursery.start_soon(self._order, state.lease, engine, assignment)

    def _loading(self, service: str, now: float) -> int:
        """Return how many targets load what this host ordered."""
        return sum(
            record.span is None
            and (ordered := self._ordered_by_id.get(record.id)) is not None
            and ordered.incarnation == record.incarnation
            and now < ordered.loads_until
            and not self._view.directory.suspected(record.id, now)
            for record in self._view.directory.listed(service)
        )

    def _fleet_starts(self, service: str, wanted: Sequence[Assignment]) -> bool:
        """Return whether so much is empty that nothing can be served meanwhile."""
        listed = len(self._view.directory.listed(service))
        return len(wanted) > START_SHARE * listed

    def _is_settled(
        self, service: str, state: _ServiceState, wanted: list[Assignment], now: float
    ) -> bool:
        """Return whether a fleet that starts has stopped growing."""
        ids = frozenset(assignment.target.id for assignment in wanted)
        unplaced = state.unplaced
        if unplaced is None:
            unplaced = _Unplaced(ids, now, now)
        elif not ids <= unplaced.ids:
            unplaced = _Unplaced(ids, unplaced.since, now)
        state.unplaced = unplaced
        if not self._fleet_starts(service, wanted):
            return True
        settled = now - unplaced.grown_at >= SETTLE_S
        return settled or now - unplaced.since >= LONGEST_SETTLE_S

    async def _consider_move(
        self, service: ServiceSpec, engine: EngineSpec, state: _ServiceState, now: float
    ) -> None:
        """Order the move that helps most, once it has stayed the best for a while."""
        wanted = self._best_move(service, engine, state, now)
        if wanted is None or now - wanted.since < MOVE_AFTER_S:
            return
        if now < state.next_move_at:
            return
        if not self._may_order(wanted.assignment, now):
            return
        if not await state.lease.hold():
            return
        state.next_move_at = now + MOVE_PAUSE_S
        await self._order(state.lease, engine, wanted.assignment)

    def _best_move(
        self, service: ServiceSpec, engine: EngineSpec, state: _ServiceState, now: float
    ) -> _WantedMove | None:
        """Return the best move; it is searched for only when the list has changed."""
        version = self._view.directory.version
        if state.searched_version == version:
            return state.wanted_move
        state.searched_version = version
        records = self._view.directory.listed(service.name)
        move = None
        if all(record.span is not None for record in records):
            move = plan_move(engine, records)
        wanted = state.wanted_move
        if move is None:
            state.wanted_move = None
        elif wanted is None or wanted.assignment.span != move.span:
            state.wanted_move = _WantedMove(move, now)
        return state.wanted_move

    def _wanted(
        self, service: ServiceSpec, engine: EngineSpec, state: _ServiceState, now: float
    ) -> list[Assignment]:
        version = self._view.directory.version
        planned = state.planned
        if planned is None or planned.version != version or planned.engine != engine:
            records = self._view.directory.listed(service.name)
            assignments = tuple(plan_layout(engine, records))
            planned = state.planned = _Planned(version, engine, assignments)
        return [
            assignment
            for assignment in planned.assignments
            if self._may_order(assignment, now)
        ]

    def _may_order(self, assignment: Assignment, now: float) -> bool:
        target = assignment.target
        before = self._ordered_by_id.get(target.id)
        if before is None or before.incarnation != target.incarnation:
            return not self._view.directory.suspected(target.id, now)
        return now >= before.again_at

    async def _order(
        self, lease: PlacementLease, engine: EngineSpec, assignment: Assignment
    ) -> None:
        target, now = assignment.target, self._view.clock.now()
        ordered = _Ordered(target.incarnation, now + ORDER_AGAIN_S, now + ORDER_AGAIN_S)
        self._ordered_by_id[target.id] = ordered
        fence = lease.fence
        report = await self._targets.report(target)
        if report.is_error():
            ordered.loads_until = now
            self._left_unplaced(target, report.error)
            return
        if report.ok.busy or report.ok.span != target.span:
            # The list lags behind: the target holds other layers, or loads them.
            return
        body = place_order(assignment.span, fence, report.ok.order_count)
        answer = await self._targets.order(target, body)
        load_s = engine.load_s * len(assignment.span) / engine.layers
        # An order without an answer may be carried out late or never; the loads of
        # other targets do not wait for it.
        began = order_status(answer) in BEGUN
        ordered.loads_until = now + LOAD_SLACK * load_s if began else now
        log_event(
            "order.place",
            target=target.id,
            span=f"{assignment.span.first}-{assignment.span.end}",
            expected_orders=report.ok.order_count,
            fence=fence,
            status=order_status(answer),
            detail=answer.error.detail if answer.is_error() else "",
            directory_version=self._view.directory.version,
        )

    def _left_unplaced(self, target: TargetRecord, problem: Fault) -> None:
        if problem.code is ResultCode.CONNECT_FAILED:
            self._view.directory.suspect(target.id, self._view.clock.now())
        log_event(
            "order.skipped",
            target=target.id,
            code=int(problem.code),
            detail=problem.detail,
            directory_version=self._view.directory.version,
        )
