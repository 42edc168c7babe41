"""Runs one token's step on this engine's layers, and hands it on."""

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

# Per stage that is still to come: the last one's caller times out first, so
# that the stage at fault is named, and not the one before it.
HOP_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 0.5


@dataclass(slots=True)
class Holding:
    """What this engine holds now; orders change it."""

    target_id: str
    model: str
    model_version: str
    layers: LayerRange
    role: str = "any"
    adapters: tuple[str, ...] = ()
    is_leaving: bool = False


class Steps:
    """The layers of one engine, its caches, and the way to the next stage."""

    __slots__ = ("holding", "controls", "batcher", "kv", "prefixes", "_pool")

    def __init__(self, holding: Holding, controls: Controls, batcher: Batcher):
        self.holding = holding
        self.controls = controls
        self.batcher = batcher
        self.kv = KvCache()
        self.prefixes = PrefixCache(holding.target_id)
        self._pool = httpcore.AsyncConnectionPool(max_connections=512)

    async def run(self, step: Step) -> Result[Step, Fault]:
        """Run this stage's part, and all later ones where it hands on."""
        stage = step.route.stages[step.index]
        refusal = self._refusal(step, stage.layers)
        if refusal:
            self._note(step, stage.layers, refusal)
            return Error(self._fault(refusal, self.holding.target_id))
        await self._compute(step, stage.layers)
        hidden = run_layers(step.hidden, stage.layers.first, stage.layers.end)
        hop = Hop(self.holding.target_id, stage.layers)
        hops = (*step.hops, hop)
        passed = replace(step, hidden=hidden, index=step.index + 1, hops=hops)
        if step.is_last:
            self.kv.end(step.request_id, step.attempt)
        if not step.hand_on or passed.index == len(step.route.stages):
            return Ok(passed)
        return await self._hand_on(passed)

    def _refusal(self, step: Step, layers: LayerRange) -> str:
        held = self.holding
        if layers.first < held.layers.first or layers.end > held.layers.end:
            return "the layers are not held here"
        if (step.route.model, step.route.model_version) != (
            held.model,
            held.model_version,
        ):
            return "another model version is held here"
        if held.is_leaving and step.is_first and step.index > 0:
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
        self._note(step, layers, "")

    def _note(self, step: Step, layers: LayerRange, refused: str) -> None:
        run = StepRun(step.request_id, step.attempt, step.position, layers, refused)
        self.controls.record.step(run)

    async def _hand_on(self, step: Step) -> Result[Step, Fault]:
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

    async def forget(self, route: Route, request_id: str, attempt: int) -> None:
        """Drop a request's cache here and at the other stages of its route."""
        self.kv.end(request_id, attempt)
        content = msgspec.json.encode(Cancel(request_id, attempt))
        for stage in route.stages:
            if stage.target_id != self.holding.target_id:
                await self._forget_at(stage.address, content)

    async def _forget_at(self, address: str, content: bytes) -> None:
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
            # What is not forgotten now is dropped once it has been idle.
            return

    def _fault(self, detail: str, target_id: str) -> Fault:
        return Fault(ResultCode.STAGE_FAILED, detail, target_id=target_id)
