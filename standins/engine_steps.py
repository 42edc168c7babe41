"""Runs one token's step on this engine's layers and forwards it."""

from dataclasses import dataclass, replace

import httpcore
import msgspec
import trio
from expression import Error, Ok, Result

from radishfield.core import Fault, Hop, LayerRange, ResultCode, Route
from radishfield.edges._target_wire import CANCEL_PATH, STEP_PATH, Cancel, Refusal, Step
from standins.engine_batch import Batcher
from standins.engine_cache import KvCache, PrefixCache
from standins.engine_control import Controls, StepRun
from standins.model import run_layers

# Timeout for each remaining stage.  The caller of the last stage times out first,
# so that the failed stage is reported and not the one before it.
HOP_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 0.5


@dataclass(slots=True)
class EngineState:
    """What this engine serves at the moment; orders change it."""

    target_id: str
    model: str
    model_version: str
    layers: LayerRange
    role: str = "any"
    adapters: tuple[str, ...] = ()
    is_leaving: bool = False


class Steps:
    """Runs steps on an engine's layers and caches, and forwards them."""

    __slots__ = ("engine_state", "controls", "batcher", "kv", "prefixes", "_pool")

    def __init__(self, engine_state: EngineState, controls: Controls, batcher: Batcher):
        self.engine_state = engine_state
        self.controls = controls
        self.batcher = batcher
        self.kv = KvCache()
        self.prefixes = PrefixCache(engine_state.target_id)
        self._pool = httpcore.AsyncConnectionPool(max_connections=512)

    async def run(self, step: Step) -> Result[Step, Fault]:
        """Run this stage, and all later ones if the step is to be forwarded."""
        stage = step.route.stages[step.index]
        refusal = self._refusal(step, stage.layers)
        if refusal:
            self._record_step(step, stage.layers, refusal)
            return Error(self._fault(refusal, self.engine_state.target_id))
        await self._compute(step, stage.layers)
        hidden = run_layers(step.hidden, stage.layers.first, stage.layers.end)
        hop = Hop(self.engine_state.target_id, stage.layers)
        hops = (*step.hops, hop)
        next_step = replace(step, hidden=hidden, index=step.index + 1, hops=hops)
        if step.is_last:
            self.kv.end(step.request_id, step.attempt)
        if not step.hand_on or next_step.index == len(step.route.stages):
            return Ok(next_step)
        return await self._forward(next_step)

    def _refusal(self, step: Step, layers: LayerRange) -> str:
        state = self.engine_state
        if layers.first < state.layers.first or layers.end > state.layers.end:
            return "the layers are not held here"
        if (step.route.model, step.route.model_version) != (
            state.model,
            state.model_version,
        ):
            return "another model version is held here"
        if state.is_leaving and step.is_first and step.index > 0:
            return "leaving"
        return self.kv.refusal(
            step.request_id, step.attempt, step.position, step.is_first
        )

    async def _compute(self, step: Step, layers: LayerRange) -> None:
        now = trio.current_time()
        prefill = 0
        if step.is_first:
            imported = self.kv.begin(
                step.request_id, step.attempt, step.position, layers, now
            )
            prefill = 0 if imported else step.prefix_tokens
            if self.prefixes.use(step.prompt, now):
                prefill = min(prefill, step.position)
        self.kv.advance(step.request_id, step.attempt, now)
        faults = self.controls.faults
        if faults.hang_at is not None and step.position >= faults.hang_at:
            await trio.sleep_forever()
        self.batcher.slow_factor = faults.slow_factor
        await self.batcher.step(step.priority, prefill)
        if faults.die_at is not None and step.position >= faults.die_at:
            self.controls.die(9)
        self._record_step(step, layers, "")

    def _record_step(self, step: Step, layers: LayerRange, refused: str) -> None:
        run = StepRun(step.request_id, step.attempt, step.position, layers, refused)
        self.controls.record.step(run)

    async def _forward(self, step: Step) -> Result[Step, Fault]:
        stage = step.route.stages[step.index]
        remaining = len(step.route.stages) - step.index
        timeouts = {"connect": CONNECT_TIMEOUT_S, "read": HOP_TIMEOUT_S * remaining}
        try:
            answer = await self._pool.request(
                "POST",
                f"http://{stage.address}{STEP_PATH}",
                content=msgspec.json.encode(step),
                extensions={"timeout": timeouts},
            )
        except (
            httpcore.NetworkError,
            httpcore.TimeoutException,
            httpcore.RemoteProtocolError,
        ) as error:
            detail = str(error) or type(error).__name__
            return Error(self._fault(detail, stage.target_id))
        if answer.status == 200:
            return Ok(msgspec.json.decode(answer.content, type=Step))
        refusal = msgspec.json.decode(answer.content, type=Refusal)
        return Error(self._fault(refusal.detail, refusal.target_id))

    async def drop_caches(self, route: Route, request_id: str, attempt: int) -> None:
        """Drop a request's cache here and at the other stages of its route."""
        self.kv.end(request_id, attempt)
        content = msgspec.json.encode(Cancel(request_id, attempt))
        for stage in route.stages:
            if stage.target_id != self.engine_state.target_id:
                await self._drop_cache_at(stage.address, content)

    async def _drop_cache_at(self, address: str, content: bytes) -> None:
        timeouts = {"connect": CONNECT_TIMEOUT_S, "read": CONNECT_TIMEOUT_S}
        try:
            await self._pool.request(
                "POST",
                f"http://{address}{CANCEL_PATH}",
                content=content,
                extensions={"timeout": timeouts},
            )
        except (
            httpcore.NetworkError,
            httpcore.TimeoutException,
            httpcore.RemoteProtocolError,
        ):
            # A cache that is not dropped now is dropped once it has been idle.
            return

    def _fault(self, detail: str, target_id: str) -> Fault:
        return Fault(ResultCode.STAGE_FAILED, detail, target_id=target_id)
