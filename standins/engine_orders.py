"""Orders to an engine: load layers, an adapter or a version, change its role."""

import trio

from radishfield.core import LayerRange, ResultCode, TargetOrder
from standins.engine_cache import KvCache
from standins.engine_control import Controls, OrderRun
from standins.engine_steps import Holding

# Weights come from a rate-limited store; small here so that tests are quick.
LOAD_S = 0.2


class Orders:
    """Carries orders out one at a time."""

    __slots__ = (
        "_holding",
        "_kv",
        "_controls",
        "_checks_fencing",
        "_highest",
        "_lock",
    )

    def __init__(
        self, holding: Holding, kv: KvCache, controls: Controls, checks_fencing: bool
    ):
        self._holding = holding
        self._kv = kv
        self._controls = controls
        self._checks_fencing = checks_fencing
        self._highest = 0
        self._lock = trio.Lock()

    async def carry_out(self, order: TargetOrder) -> ResultCode:
        """Carry an order out, unless it is fenced off or late."""
        received = trio.current_time()
        async with self._lock:
            code = self._checked(order, trio.current_time() - received)
            if code is ResultCode.FINISHED:
                await self._apply(order)
        run = OrderRun(order.kind, order.fencing, int(code))
        self._controls.record.orders.append(run)
        return code

    def _checked(self, order: TargetOrder, waited_s: float) -> ResultCode:
        if self._checks_fencing and order.fencing < self._highest:
            return ResultCode.ORDER_FENCED
        if waited_s > order.timeout_s:
            return ResultCode.ORDER_LATE
        self._highest = max(self._highest, order.fencing)
        return ResultCode.FINISHED

    async def _apply(self, order: TargetOrder) -> None:
        held = self._holding
        match order.kind:
            case "load-layers":
                await trio.sleep(LOAD_S)
                if LayerRange(*order.layers) != held.layers:
                    held.layers = LayerRange(*order.layers)
                    self._kv.clear()
            case "load-version":
                await trio.sleep(LOAD_S)
                if order.argument != held.model_version:
                    held.model_version = order.argument
                    self._kv.clear()
            case "load-adapter":
                await trio.sleep(LOAD_S)
                held.adapters = (*held.adapters, order.argument)
            case "set-role":
                held.role = order.argument
