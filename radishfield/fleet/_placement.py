"""Plans placement periodically at the host that holds the zone's lease.

`radishfield.decisions.propose_moves` decides which moves to make.  This service
calls it once in each period for the targets of its own zone and forwards the
moves to the `OrderSender`, which checks the lease again before each order.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

import trio

from radishfield.core import Link, Target, TargetKind, TargetState
from radishfield.decisions import Move, WeightStore, propose_moves
from radishfield.fleet._directory import TargetDirectory
from radishfield.fleet._leases import LeaseKeeper
from radishfield.fleet._orders import LOAD_LAYERS, OrderSender, ProposedOrder

MovePlanner = Callable[[Sequence[Target], Sequence[Link], str, WeightStore], list[Move]]


@dataclass(slots=True, frozen=True)
class PlacementSettings:
    """How often placement is planned, and how fast weights load.

    Attributes
    ----------
    period_s : float
        Seconds between plans.  A plan may take seconds of CPU time, and a move
        pays for its load only over minutes, so planning more often costs time
        without a benefit.
    layers_per_s : float
        Rate of one load from the weight store.
    """

    zone: str
    period_s: float = 300.0
    layers_per_s: float = 1.0
    concurrent_loads: int = 1


class PlacementPlanner:
    """A service that proposes orders while this host holds the zone's lease."""

    __slots__ = (
        "_settings",
        "_lease",
        "_directory",
        "_sender",
        "_links",
        "_plan_moves",
        "plans",
    )

    def __init__(
        self,
        settings: PlacementSettings,
        lease: LeaseKeeper,
        directory: TargetDirectory,
        sender: OrderSender,
        links: Sequence[Link] = (),
        plan_moves: MovePlanner = propose_moves,
    ):
        self._settings = settings
        self._lease = lease
        self._directory = directory
        self._sender = sender
        self._links = links
        self._plan_moves = plan_moves
        self.plans = 0

    async def run(self, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED):
        """Plan once a period, until cancelled."""
        task_status.started()
        while True:
            await trio.sleep(self._settings.period_s)
            if self._lease.check().is_ok():
                await self.plan()

    async def plan(self) -> None:
        """Compute the moves that are worth their cost, and propose them."""
        orders: list[ProposedOrder] = []
        store = WeightStore(
            self._settings.layers_per_s, self._settings.concurrent_loads
        )
        for targets in self._groups():
            # Solving flows may take seconds; on the event loop it would stall
            # every stream of this host for that time.
            moves = await trio.to_thread.run_sync(
                self._plan_moves, targets, self._links, self._settings.zone, store
            )
            orders += [_order_for(move) for move in moves]
        self.plans += 1
        if orders:
            self._sender.propose(orders)

    def _groups(self) -> list[list[Target]]:
        """Return this zone's live engines by model and version."""
        by_model: dict[tuple[str, str], list[Target]] = {}
        for target in self._directory.targets():
            if target.zone != self._settings.zone:
                continue
            if target.kind is TargetKind.ENGINE and target.state is TargetState.LIVE:
                key = target.model, target.model_version
                by_model.setdefault(key, []).append(target)
        return list(by_model.values())


def _order_for(move: Move) -> ProposedOrder:
    return ProposedOrder(move.target_id, LOAD_LAYERS, "", move.layers, move.reason)
