"""A stand-in for a model engine that holds a range of layers.

The first stage of a route generates the tokens: each step is forwarded from stage
to stage along the route that the entry host chose, and the word is returned with
the hops that ran it.  For comparison an entry host may also call each stage
itself.  ``/control`` sets faults and returns the record of what was run.
"""

from dataclasses import replace

import click
import msgspec
import trio

from radishfield.core import (
    KvState,
    LayerRange,
    LoadReport,
    ResultCode,
    StreamStart,
    TargetOrder,
)
from radishfield.edges import (
    BodyLimit,
    read_body,
    send_json,
    serve_lifespan,
    start_answer,
)
from radishfield.edges import _target_wire as wire
from standins.daemon import serve_until_signal
from standins.engine_batch import Batcher
from standins.engine_control import Controls, EngineFaults
from standins.engine_orders import Orders
from standins.engine_steps import EngineState, Steps
from standins.engine_streams import Streams

NDJSON = (b"content-type", b"application/x-ndjson")
NOT_STARTED = (wire.NOT_STARTED_HEADER, b"true")
BODY_LIMIT = BodyLimit(max_bytes=64 << 20)
REPORT_LAG_S = 0.5
# Streams beyond this multiple of the slots are refused before they start.
QUEUE_FACTOR = 4
DRAIN_S = 30.0
RETRY_AFTER_S = 0.5


class EngineApp:
    """The ASGI application of one engine; `run` runs its background tasks."""

    __slots__ = (
        "engine_state",
        "controls",
        "steps",
        "streams",
        "orders",
        "incarnation",
        "checks_fencing",
        "_report",
        "_reported_at",
    )

    def __init__(
        self,
        engine_state: EngineState,
        step_s: float = 0.002,
        slots: int = 8,
        checks_fencing: bool = True,
        incarnation: int = 1,
    ):
        self.engine_state = engine_state
        self.controls = Controls()
        self.incarnation = incarnation
        self.checks_fencing = checks_fencing
        self.steps = Steps(engine_state, self.controls, Batcher(step_s, slots))
        self.orders = Orders(engine_state, self.steps.kv, self.controls, checks_fencing)
        self.streams: Streams | None = None

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED):
        """Generate tokens, run batches and update load reports until cancelled."""
        async with trio.open_nursery() as nursery:
            self.streams = Streams(self.steps, nursery)
            await nursery.start(self.steps.batcher.run)
            self._take_report()
            task_status.started()
            while True:
                await trio.sleep(REPORT_LAG_S)
                self._take_report()
                self.streams.cancel_orphans()
                self.steps.kv.drop_idle(trio.current_time())

    async def drain(self) -> None:
        """Refuse new work, and wait until the work in flight has ended."""
        self.engine_state.is_leaving = True
        with trio.move_on_after(DRAIN_S):
            while self.streams.running or self.steps.kv.active(trio.current_time()):
                await trio.sleep(0.05)

    async def __call__(self, scope, receive, send):
        """Answer one request."""
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
            return
        echo = [item for item in scope["headers"] if item[0] == wire.EXCHANGE_HEADER]
        body = (await read_body(receive, BODY_LIMIT)).default_value(b"")
        try:
            await self._answer(scope, body, send, echo)
        except msgspec.MsgspecError as error:
            refusal = wire.Refusal(int(ResultCode.MALFORMED_BODY), str(error))
            await send_json(send, 400, refusal, echo)

    async def _answer(self, scope, body: bytes, send, echo) -> None:
        match (scope["method"], scope["path"]):
            case ("POST", wire.STREAMS_PATH):
                await self._open(
                    msgspec.json.decode(body, type=StreamStart), send, echo
                )
            case ("POST", wire.REOPEN_PATH):
                reopen = msgspec.json.decode(body, type=wire.Reopen)
                await self._reopen(reopen, send, echo)
            case ("POST", wire.STEP_PATH):
                await self._step(msgspec.json.decode(body, type=wire.Step), send)
            case ("POST", wire.CANCEL_PATH):
                cancel = msgspec.json.decode(body, type=wire.Cancel)
                self.streams.cancel(cancel.request_id, cancel.attempt)
                self.steps.kv.end(cancel.request_id, cancel.attempt)
                await send_json(send, 200, cancel, echo)
            case ("POST", wire.ORDERS_PATH):
                order = msgspec.json.decode(body, type=TargetOrder)
                await self._order(order, send, echo)
            case ("GET", wire.LOAD_PATH):
                await send_json(send, 200, self._lagging_report(), echo)
            case ("GET", wire.EVENTS_PATH):
                after = int(scope["query_string"].rpartition(b"=")[2] or 0)
                events = self.steps.prefixes.events(after, trio.current_time())
                await send_json(send, 200, wire.CacheEvents(events), echo)
            case ("PUT", wire.KV_PATH):
                self.steps.kv.import_state(msgspec.json.decode(body, type=KvState))
                await send_json(send, 200, {}, echo)
            case ("GET", path) if path.startswith(wire.KV_PATH + "/"):
                await self._export(path.rpartition("/")[2], send, echo)
            case ("POST", "/control/faults"):
                self.controls.faults = msgspec.json.decode(body, type=EngineFaults)
                await send_json(send, 200, self.controls.faults)
            case ("GET", "/control/record"):
                await send_json(send, 200, self.controls.record)
            case _:
                unknown = wire.Refusal(int(ResultCode.UNKNOWN_ROUTE), scope["path"])
                await send_json(send, 404, unknown, echo)

    async def _open(self, start: StreamStart, send, echo) -> None:
        reason = self._refusal()
        if reason:
            refusal = wire.Refusal(
                int(ResultCode.TARGET_REFUSED),
                reason,
                RETRY_AFTER_S,
                self.engine_state.target_id,
            )
            await send_json(send, 503, refusal, [*echo, NOT_STARTED])
            return
        attempt = self.streams.begin(start)
        if attempt is None:
            refusal = wire.Refusal(
                int(ResultCode.TARGET_ERROR),
                "the attempt, or a newer one, was started before",
            )
            await send_json(send, 409, refusal, echo)
            return
        await start_answer(send, 200, [NDJSON, *echo])
        await self.streams.send(attempt, attempt.first_position, send)

    def _refusal(self) -> str:
        if self.engine_state.is_leaving:
            return "leaving"
        if self.controls.faults.refuse:
            return "refused by a configured fault"
        if self.streams.running >= self.steps.batcher.slots * QUEUE_FACTOR:
            return "full"
        return ""

    async def _reopen(self, reopen: wire.Reopen, send, echo) -> None:
        attempt = self.streams.find(reopen.request_id, reopen.attempt)
        if attempt is None or reopen.position < attempt.first_position:
            refusal = wire.Refusal(int(ResultCode.TARGET_REFUSED), "no such attempt")
            await send_json(send, 503, refusal, [*echo, NOT_STARTED])
            return
        await start_answer(send, 200, [NDJSON, *echo])
        await self.streams.send(attempt, reopen.position, send)

    async def _step(self, step: wire.Step, send) -> None:
        done = await self.steps.run(step)
        if done.is_ok():
            await send_json(send, 200, done.ok)
            return
        problem = done.error
        refusal = wire.Refusal(
            int(problem.code), problem.detail, target_id=problem.target_id
        )
        await send_json(send, 502, refusal)

    async def _order(self, order: TargetOrder, send, echo) -> None:
        code = await self.orders.carry_out(order)
        if code is ResultCode.FINISHED:
            await send_json(send, 200, wire.OrderDone(order.fencing), echo)
        else:
            refusal = wire.Refusal(int(code), target_id=self.engine_state.target_id)
            await send_json(send, 409, refusal, echo)

    async def _export(self, request_id: str, send, echo) -> None:
        state = self.steps.kv.export(request_id, self.engine_state.target_id)
        if state is None:
            refusal = wire.Refusal(int(ResultCode.TARGET_REFUSED), "no such request")
            await send_json(send, 404, refusal, echo)
        else:
            await send_json(send, 200, state, echo)

    def _take_report(self) -> None:
        state, batcher = self.engine_state, self.steps.batcher
        self._reported_at = trio.current_time()
        self._report = LoadReport(
            state.target_id,
            self.incarnation,
            state.layers,
            state.model,
            state.model_version,
            self.steps.kv.active(self._reported_at),
            batcher.waiting,
            batcher.slots,
            batcher.mean_s,
            checks_fencing=self.checks_fencing,
        )

    def _lagging_report(self) -> LoadReport:
        """Return the last periodic load figures with the current leaving state."""
        age = trio.current_time() - self._reported_at
        leaving = self.engine_state.is_leaving
        return replace(self._report, leaving=leaving, measured_s_ago=age)


@click.command()
@click.option("--id", "target_id", required=True)
@click.option("--port", type=int, required=True)
@click.option("--model", default="small")
@click.option("--model-version", default="1")
@click.option("--first", type=int, required=True)
@click.option("--end", type=int, required=True)
@click.option("--step-ms", type=float, default=2.0)
@click.option("--slots", type=int, default=8)
@click.option("--incarnation", type=int, default=1)
@click.option("--checks-fencing/--ignores-fencing", default=True)
def main(
    target_id,
    port,
    model,
    model_version,
    first,
    end,
    step_ms,
    slots,
    incarnation,
    checks_fencing,
):
    """Run one engine stand-in."""
    engine_state = EngineState(target_id, model, model_version, LayerRange(first, end))
    app = EngineApp(engine_state, step_ms / 1000, slots, checks_fencing, incarnation)
    trio.run(serve_until_signal, app, port)


if __name__ == "__main__":
    main()
