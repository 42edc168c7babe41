"""Gives empty targets their layers, under a lease in the store.

The plan is pure (`radishfield.routing.plan_layout`).  Here one host at a time, the
holder of the service's lease, sends it as orders.  The lease keeps two hosts from
ordering different things; each order also names how many orders its target has
taken, as that target reports, so that one that is carried out late, or sent by a
host that has lost the lease without knowing, does not fit any more.
"""

from dataclasses import dataclass

import msgspec
import trio

from radishfield.core import Fault, ResultCode
from radishfield.forwarding._targets import Targets, order_status
from radishfield.forwarding._view import RouterView
from radishfield.platform import ObjectStore, StoredValue, place_order
from radishfield.routing import (
    Assignment,
    EngineSpec,
    ServiceSpec,
    TargetRecord,
    plan_layout,
    plan_move,
)
from radishfield.telemetry import log_event

LEASES_KIND = "radishfield-leases"
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
LEASE_S = 2.0
"""A lease whose object has not changed for this long, as the host that wants it has
watched, is free: a holder renews four times in it while it has orders to give.  A
holder that wakes late and orders all the same names counts that no longer fit."""
MOVE_AFTER_S = 2.0
"""Time for which a move has to stay the best one: a target that was killed mostly
comes back within seconds, empty, and takes what is missing without any move."""
MOVE_PAUSE_S = 5.0
"""Pause between two moves of a service: the longest load takes four seconds, and
only then does the list show what the next move has to build on."""
ASK_AGAIN_S = 1.5
"""Pause between readings of a lease that another host holds."""
ORDER_AGAIN_S = 3.0
"""An order that brought no answer may be carried out seconds later; the count of
orders it names keeps it from undoing the one that follows."""


@dataclass(slots=True, frozen=True)
class _Seen:
    revision: int
    since: float


@dataclass(slots=True)
class _Ordered:
    incarnation: tuple[str, int]
    again_at: float


@dataclass(slots=True, frozen=True)
class _Unplaced:
    """Empty targets that wait for a plan, since when, and when the last came."""

    ids: frozenset[str]
    since: float
    grown_at: float


@dataclass(slots=True, frozen=True)
class _Planned:
    """A plan, and what it was made from.

    Made anew at each look by each host, the plan for ninety targets took a
    hundredth of a core there.
    """

    version: int
    engine: EngineSpec
    assignments: tuple[Assignment, ...]


@dataclass(slots=True, frozen=True)
class _WantedMove:
    """A move, and since when it has been the best."""

    assignment: Assignment
    since: float


class _LeaseBody(msgspec.Struct):
    holder: str = ""


class Placer:
    """The duty of placing layers, for every service that has them."""

    __slots__ = (
        "_ask_again_at",
        "_held_revision",
        "_host_id",
        "_next_move_at",
        "_ordered_by_id",
        "_plan_by_service",
        "_renewed_at",
        "_searched_version_by_service",
        "_seen_by_service",
        "_store",
        "_targets",
        "_unplaced_by_service",
        "_view",
        "_wanted_move_by_service",
    )

    def __init__(
        self, host_id: str, store: ObjectStore, targets: Targets, view: RouterView
    ):
        self._host_id = host_id
        self._store = store
        self._targets = targets
        self._view = view
        self._seen_by_service: dict[str, _Seen] = {}
        self._held_revision: dict[str, int] = {}
        self._renewed_at: dict[str, float] = {}
        self._ordered_by_id: dict[str, _Ordered] = {}
        self._unplaced_by_service: dict[str, _Unplaced] = {}
        self._ask_again_at: dict[str, float] = {}
        self._plan_by_service: dict[str, _Planned] = {}
        self._wanted_move_by_service: dict[str, _WantedMove] = {}
        self._searched_version_by_service: dict[str, int] = {}
        self._next_move_at: dict[str, float] = {}

    def duties(self) -> list[str]:
        """Return the services whose lease this host holds, by its own knowledge."""
        now = self._view.clock.now()
        return [
            service
            for service, renewed_at in self._renewed_at.items()
            if service in self._held_revision and now - renewed_at < LEASE_S
        ]

    async def run(self, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED):
        """Look for empty targets until cancelled."""
        task_status.started()
        while True:
            await trio.sleep(LOOK_S)
            if self._view.table is None or self._view.leaving:
                continue
            for service in self._view.table.config.service_by_name.values():
                if service.engine is not None:
                    await self._look(service, service.engine)

    async def _look(self, service: ServiceSpec, engine: EngineSpec) -> None:
        now = self._view.clock.now()
        wanted = self._wanted(service, engine, now)
        if not wanted:
            self._unplaced_by_service.pop(service.name, None)
            await self._consider_move(service, engine, now)
            return
        if not self._is_settled(service.name, wanted, now):
            return
        if not await self._hold_lease(service.name):
            return
        # The list may have changed while the store was asked.
        wanted = self._wanted(service, engine, self._view.clock.now())
        async with trio.open_nursery() as nursery:
            for assignment in wanted:
                nursery.start_soon(self._order, service.name, assignment)

    def _is_settled(self, service: str, wanted: list[Assignment], now: float) -> bool:
        """Return whether a fleet that starts has stopped growing."""
        ids = frozenset(assignment.target.id for assignment in wanted)
        unplaced = self._unplaced_by_service.get(service)
        if unplaced is None:
            unplaced = _Unplaced(ids, now, now)
        elif not ids <= unplaced.ids:
            unplaced = _Unplaced(ids, unplaced.since, now)
        self._unplaced_by_service[service] = unplaced
        listed = len(self._view.directory.listed(service))
        if len(wanted) <= START_SHARE * listed:
            return True
        settled = now - unplaced.grown_at >= SETTLE_S
        return settled or now - unplaced.since >= LONGEST_SETTLE_S

    async def _consider_move(
        self, service: ServiceSpec, engine: EngineSpec, now: float
    ) -> None:
        """Order the move that helps most, once it has stayed the best for a while."""
        wanted = self._best_move(service, engine, now)
        if wanted is None or now - wanted.since < MOVE_AFTER_S:
            return
        if now < self._next_move_at.get(service.name, 0.0):
            return
        if not self._may_order(wanted.assignment, now):
            return
        if not await self._hold_lease(service.name):
            return
        self._next_move_at[service.name] = now + MOVE_PAUSE_S
        await self._order(service.name, wanted.assignment)

    def _best_move(
        self, service: ServiceSpec, engine: EngineSpec, now: float
    ) -> "_WantedMove | None":
        """Return the best move; it is searched for only when the list has changed."""
        version = self._view.directory.version
        wanted = self._wanted_move_by_service.get(service.name)
        if self._searched_version_by_service.get(service.name) == version:
            return wanted
        self._searched_version_by_service[service.name] = version
        records = self._view.directory.listed(service.name)
        move = None
        if all(record.span is not None for record in records):
            move = plan_move(engine, records)
        if move is None:
            self._wanted_move_by_service.pop(service.name, None)
            return None
        if wanted is None or wanted.assignment.span != move.span:
            wanted = _WantedMove(move, now)
            self._wanted_move_by_service[service.name] = wanted
        return wanted

    def _wanted(
        self, service: ServiceSpec, engine: EngineSpec, now: float
    ) -> list[Assignment]:
        version = self._view.directory.version
        planned = self._plan_by_service.get(service.name)
        if planned is None or planned.version != version or planned.engine != engine:
            records = self._view.directory.listed(service.name)
            assignments = tuple(plan_layout(engine, records))
            planned = _Planned(version, engine, assignments)
            self._plan_by_service[service.name] = planned
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

    async def _order(self, service: str, assignment: Assignment) -> None:
        target = assignment.target
        again_at = self._view.clock.now() + ORDER_AGAIN_S
        self._ordered_by_id[target.id] = _Ordered(target.incarnation, again_at)
        fence = self._held_revision.get(service, 0)
        report = await self._targets.report(target)
        if report.is_error():
            self._left_unplaced(target, report.error)
            return
        if report.ok.busy or report.ok.span != target.span:
            # The list lags behind: the target holds other layers, or loads them.
            return
        body = place_order(assignment.span, fence, report.ok.order_count)
        answer = await self._targets.order(target, body)
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

    async def _hold_lease(self, service: str) -> bool:
        """Hold the lease, take it if it is free, or learn who has it."""
        now = self._view.clock.now()
        revision = self._held_revision.get(service)
        if revision is not None:
            if now - self._renewed_at[service] < LEASE_S / 4:
                return True
            return await self._write_lease(service, revision)
        told_at = self._view.duty_reported_at.get(service, -1e9)
        if now - told_at < LEASE_S or now < self._ask_again_at.get(service, 0.0):
            return False
        self._ask_again_at[service] = now + ASK_AGAIN_S
        read = await self._store.read(LEASES_KIND, service)
        if read.is_error():
            if read.error.code is ResultCode.OBJECT_NOT_FOUND:
                return await self._write_lease(service, None)
            return False
        if not self._is_free(service, read.ok, now):
            return False
        return await self._write_lease(service, read.ok.revision)

    def _is_free(self, service: str, value: StoredValue, now: float) -> bool:
        if _holder(value) == self._host_id:
            # This host held it before it was started again.
            return True
        seen = self._seen_by_service.get(service)
        if seen is None or seen.revision != value.revision:
            self._seen_by_service[service] = _Seen(value.revision, now)
            return False
        return now - seen.since >= LEASE_S

    async def _write_lease(self, service: str, revision: int | None) -> bool:
        spec = {"holder": self._host_id, "at_s": round(self._view.clock.now(), 3)}
        asked_at = self._view.clock.now()
        if revision is None:
            written = await self._store.create(LEASES_KIND, service, spec)
        else:
            written = await self._store.replace(LEASES_KIND, service, spec, revision)
        if written.is_error():
            if self._held_revision.pop(service, None) is not None:
                log_event("lease.lost", service=service, code=int(written.error.code))
            return False
        if service not in self._held_revision:
            log_event("lease.held", service=service, revision=written.ok.revision)
        self._held_revision[service] = written.ok.revision
        self._renewed_at[service] = asked_at
        return True


def _holder(value: StoredValue) -> str:
    try:
        return msgspec.convert(value.spec, _LeaseBody).holder
    except msgspec.ValidationError:
        return ""
