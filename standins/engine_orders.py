"""Executes orders to an engine: load layers, an adapter or a version, set its role."""

import trio

from radishfield.core import LayerRange, ResultCode, TargetOrder
from standins.engine_cache import KvCache
from standins.engine_control import Controls, OrderRun
from standins.engine_steps import EngineState

# Stands for loading weights from a rate-limited store; short to keep tests fast.
LOAD_S = 0.2


class Orders:
    """Executes orders one at a time."""

    __slots__ = (
        "_engine_state",
        "_kv",
        "_controls",
        "_checks_fencing",
        "_highest_fencing",
        "_lock",
    )

    def __init__(
        self,
        engine_state: EngineState,
        kv: KvCache,
        controls: Controls,
        checks_fencing: bool,
    ):
        self._engine_state = engine_state
        self._kv = kv
        self._controls = controls
        self._checks_fencing = checks_fencing
        self._highest_fencing = 0
        self._lock = trio.Lock()

    async def carry_out(self, order: TargetOrder) -> ResultCode:
        """Execute an order, unless its fencing number is too low or it is late."""
        received = trio.current_time()
        async with self._lock:
            code = self._check_order(order, trio.current_time() - received)
            if code is ResultCode.FINISHED:
                await self._apply(order)
        run = OrderRun(order.kind, order.fencing, int(code))
        self._controls.record.orders.append(run)
        return code

    def _check_order(self, order: TargetOrder, waited_s: float) -> ResultCode:
        if self._checks_fencing and order.fencing < self._highest_fencing:
            return ResultCode.ORDER_FENCED
        if waited_s > order.timeout_s:
            return ResultCode.ORDER_LATE
        self._highest_fencing = max(self._highest_fencing, order.fencing)
        return ResultCode.FINISHED

    async def _apply(self, order: TargetOrder) -> None:
        state = self._engine_state
        match order.kind:
            case "load-layers":
                await trio.sleep(LOAD_S)
                if LayerRange(*order.layers) != state.layers:
                    state.layers = LayerRange(*order.layers)
                    self._kv.clear()
            case "load-version":
                await trio.sleep(LOAD_S)
                if order.argument != state.model_version:
                    state.model_version = order.argument
                    self._kv.clear()
            case "load-adapter":
                await trio.sleep(LOAD_S)
                state.adapters = (*state.adapters, order.argument)
            case "set-role":
                state.role = order.argument
