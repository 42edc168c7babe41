"""Sends placement orders one at a time, under a lease and with a deadline.

A plan may contain many moves.  If all were sent at once, all targets would read
weights from a rate-limited store, each would load for minutes, and ranges of
layers would be without any target meanwhile.  So loads are spread out over
time, and no order removes the last replica of a layer.

An order is dropped rather than sent late.  Right before each send, the lease is
checked to last as long as the order may take, and the order carries a timeout
after which the target must not start it.
"""

from collections import Counter, deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import trio
from expression import Error, Result

from radishfield.core import (
    Clock,
    Fault,
    LayerRange,
    ResultCode,
    Target,
    TargetOrder,
    TargetPort,
    TargetState,
    fault,
)
from radishfield.fleet._directory import TargetDirectory
from radishfield.fleet._leases import HeldLease, LeaseKeeper

LOAD_LAYERS = "load-layers"
LOAD_ADAPTER = "load-adapter"
LOAD_VERSION = "load-version"
SET_ROLE = "set-role"

MAX_PENDING = 256
"""Enough for the plan of one zone.  Orders beyond it are proposed again with the
next plan."""

OUTCOMES_KEPT = 64


@dataclass(slots=True, frozen=True)
class ProposedOrder:
    """An order that placement proposes for a target.

    Attributes
    ----------
    layers : LayerRange
        For ``load-layers``: the layers that the target holds afterwards.
    reason : str
        Why the order is proposed, for the log and for operators.
    """

    target_id: str
    kind: str
    argument: str
    layers: LayerRange = LayerRange(0, 0)
    reason: str = ""


@dataclass(slots=True, frozen=True)
class OrderOutcome:
    """The result of a proposed order."""

    order: ProposedOrder
    result: Result[None, Fault]


@dataclass(slots=True, frozen=True)
class OrderSettings:
    """Limits for sending orders.

    Attributes
    ----------
    timeout_s : float
        Seconds from sending after which a target must not start an order.  Not
        above `LeaseSettings.longest_order_s`.
    load_interval_s : float
        Seconds between two loads of weights, derived from the rate of the
        weight store.
    load_s : float
        Seconds for which a target counts as loading after a load order, unless
        its own report shows sooner that the load is done.
    """

    timeout_s: float = 5.0
    load_interval_s: float = 5.0
    load_s: float = 120.0


@dataclass(slots=True, frozen=True)
class _Loading:
    order: ProposedOrder
    until: float


class OrderSender:
    """A service that sends proposed orders while it holds the lease.

    Attributes
    ----------
    outcomes : deque of OrderOutcome
        The most recent outcomes.
    sent, refused_by_code : int, Counter
        Counters for the metrics.
    """

    __slots__ = (
        "_clock",
        "_directory",
        "_last_load_at",
        "_lease",
        "_loading_by_target",
        "_on_outcome",
        "_pending",
        "_port",
        "_proposed",
        "_settings",
        "outcomes",
        "refused_by_code",
        "sent",
    )

    def __init__(
        self,
        settings: OrderSettings,
        lease: LeaseKeeper,
        port: TargetPort,
        directory: TargetDirectory,
        clock: Clock,
        on_outcome: Callable[[OrderOutcome], None] = lambda outcome: None,
    ):
        self._settings = settings
        self._lease = lease
        self._port = port
        self._directory = directory
        self._clock = clock
        self._on_outcome = on_outcome
        self._pending: deque[ProposedOrder] = deque()
        self._proposed = trio.Event()
        self._loading_by_target: dict[str, _Loading] = {}
        self._last_load_at: float | None = None
        self.outcomes: deque[OrderOutcome] = deque(maxlen=OUTCOMES_KEPT)
        self.sent = 0
        self.refused_by_code: Counter[ResultCode] = Counter()

    def propose(self, orders: Sequence[ProposedOrder]) -> None:
        """Replace the pending orders with those of a newer plan."""
        self._pending = deque(orders[:MAX_PENDING])
        self._proposed.set()

    async def run(self, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED):
        """Send proposed orders, until cancelled."""
        task_status.started()
        while True:
            await self._proposed.wait()
            self._proposed = trio.Event()
            while self._pending:
                order = self._pending.popleft()
                await self._wait_for_turn(order)
                self._record(OrderOutcome(order, await self.send(order)))

    async def send(self, order: ProposedOrder) -> Result[None, Fault]:
        """Send one order now, or return why it was not sent."""
        target = self._directory.find(order.target_id)
        problem = self._refusal(order, target)
        if problem is not None:
            return Error(problem)
        held = self._lease.check(self._settings.timeout_s)
        if held.is_error():
            return Error(held.error)
        if not target.checks_fencing:
            await self._wait_out(held.ok)
            held = self._lease.check(self._settings.timeout_s)
            if held.is_error():
                return Error(held.error)
        if _reads_weights(order):
            now = self._clock.now()
            self._last_load_at = now
            loading = _Loading(order, now + self._settings.load_s)
            self._loading_by_target[target.id] = loading
        self.sent += 1
        # Without an answer the target may have started the order, so it still
        # counts as loading.
        result: Result[None, Fault] = Error(
            fault(ResultCode.ORDER_LATE, f"{target.id}: no answer")
        )
        with trio.move_on_after(self._settings.timeout_s):
            result = await self._port.order(target, self._target_order(order, held.ok))
        if result.is_error() and result.error.code is ResultCode.ORDER_FENCED:
            # The target knows the fencing number of a later lease holder and has
            # not started the order, so the layers that it holds count as before.
            self._loading_by_target.pop(target.id, None)
        return result

    async def _wait_for_turn(self, order: ProposedOrder) -> None:
        if _reads_weights(order) and self._last_load_at is not None:
            next_load_at = self._last_load_at + self._settings.load_interval_s
            await trio.sleep(max(0.0, next_load_at - self._clock.now()))

    async def _wait_out(self, held: HeldLease) -> None:
        """Wait until the last order of the previous lease holder has expired.

        A target that ignores fencing numbers would otherwise run both at once.
        """
        wait_s = held.unfenced_from - self._clock.now()
        if wait_s > 0:
            await trio.sleep(wait_s)

    def _refusal(self, order: ProposedOrder, target: Target | None) -> Fault | None:
        if target is None or target.state is not TargetState.LIVE:
            return fault(ResultCode.NO_TARGET, order.target_id)
        self._remove_loaded()
        missing = layers_left_without_replica(
            order, target, self._directory.targets(), set(self._loading_by_target)
        )
        if missing:
            detail = f"{target.id} alone holds layer {missing[0]} of {target.model}"
            return fault(ResultCode.LAST_REPLICA, detail)
        return None

    def _remove_loaded(self) -> None:
        now = self._clock.now()
        for target_id, loading in list(self._loading_by_target.items()):
            if loading.until <= now or self._is_loaded(target_id, loading.order):
                del self._loading_by_target[target_id]

    def _is_loaded(self, target_id: str, order: ProposedOrder) -> bool:
        target = self._directory.find(target_id)
        if target is None:
            return True
        match order.kind:
            case "load-layers":
                return target.layers == order.layers
            case "load-version":
                return target.model_version == order.argument
        return False

    def _target_order(self, order: ProposedOrder, held: HeldLease) -> TargetOrder:
        return TargetOrder(
            order.kind,
            order.argument,
            held.fencing,
            self._settings.timeout_s,
            (order.layers.first, order.layers.end),
        )

    def _record(self, outcome: OrderOutcome) -> None:
        self.outcomes.append(outcome)
        if outcome.result.is_error():
            self.refused_by_code[outcome.result.error.code] += 1
        self._on_outcome(outcome)


def layers_left_without_replica(
    order: ProposedOrder,
    target: Target,
    targets: Sequence[Target],
    loading_ids: set[str],
) -> Sequence[int]:
    """Return the layers that no live target would hold while the order runs.

    Targets that are loading count as holding no layers: a load may fail, and
    until it is done they serve neither the old layers nor the new ones.
    """
    if order.kind == LOAD_ADAPTER:
        return []
    kept = range(0)
    if order.kind == LOAD_LAYERS and order.argument in ("", target.model):
        kept = range(order.layers.first, order.layers.end)
    others = [
        other
        for other in targets
        if other.id != target.id
        and other.id not in loading_ids
        and other.state is TargetState.LIVE
        and (other.model, other.model_version) == (target.model, target.model_version)
    ]
    return [
        layer
        for layer in range(target.layers.first, target.layers.end)
        if layer not in kept
        and not any(other.layers.first <= layer < other.layers.end for other in others)
    ]


def _reads_weights(order: ProposedOrder) -> bool:
    return order.kind in (LOAD_LAYERS, LOAD_ADAPTER, LOAD_VERSION)
