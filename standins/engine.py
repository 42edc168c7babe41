"""A stand-in for a model engine that holds a range of layers.

The first stage of a route drives the tokens: each step is handed on from stage
to stage along the route that the entry host chose, and the word comes back with
the hops it passed.
"""

from dataclasses import dataclass

import click
import httpcore
import msgspec
import trio
from hypercorn.config import Config
from hypercorn.trio import serve

from radishfield.core import (
    Hop,
    LayerRange,
    LoadReport,
    Receipt,
    Route,
    StreamStart,
    Token,
)
from radishfield.edges import (
    BodyLimit,
    read_body,
    send_chunk,
    send_json,
    serve_lifespan,
    start_answer,
)
from radishfield.edges._target_wire import EXCHANGE_HEADER
from standins.model import first_hidden, run_layers, word_of

NDJSON_TYPE = b"application/x-ndjson"


@dataclass(slots=True, frozen=True)
class Step:
    """One token's step as it is handed from stage to stage."""

    request_id: str
    attempt: int
    position: int
    index: int
    route: Route
    hidden: str
    hops: tuple[Hop, ...]


class EngineApp:
    """The ASGI application of one engine."""

    __slots__ = ("target_id", "layers", "model", "step_s", "_pool", "in_flight")

    def __init__(self, target_id: str, layers: LayerRange, model: str, step_s: float):
        self.target_id = target_id
        self.layers = layers
        self.model = model
        self.step_s = step_s
        self.in_flight = 0
        self._pool = httpcore.AsyncConnectionPool(max_connections=64)

    async def __call__(self, scope, receive, send):
        """Answer one request."""
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
            return
        path = scope["path"]
        echo = [item for item in scope["headers"] if item[0] == EXCHANGE_HEADER]
        if path == "/engine/v1/load":
            await send_json(send, 200, self._load(), echo)
            return
        body = (await read_body(receive, BodyLimit())).ok
        if path == "/engine/v1/streams":
            await self._stream(msgspec.json.decode(body, type=StreamStart), send, echo)
        elif path == "/engine/v1/step":
            step = await self._step(msgspec.json.decode(body, type=Step))
            await send_json(send, 200, step)
        else:
            await send_json(send, 404, {"error": "unknown path"})

    def _load(self) -> LoadReport:
        return LoadReport(
            self.target_id, 1, self.layers, self.model, "1", self.in_flight, 0, 8, 0.0
        )

    async def _stream(self, start: StreamStart, send, echo) -> None:
        await start_answer(send, 200, [(b"content-type", NDJSON_TYPE), *echo])
        committed = list(start.committed)
        self.in_flight += 1
        while len(committed) < start.max_tokens:
            position = len(committed)
            hidden = first_hidden(start.route.model, start.prompt, committed)
            step = await self._step(
                Step(
                    start.request_id,
                    start.attempt,
                    position,
                    0,
                    start.route,
                    hidden,
                    (),
                )
            )
            committed.append(word_of(step.hidden))
            receipt = Receipt(start.request_id, start.attempt, position, step.hops)
            finish = "length" if len(committed) == start.max_tokens else None
            token = Token(position, committed[-1], receipt, finish)
            await send_chunk(send, msgspec.json.encode(token) + b"\n")
        self.in_flight -= 1
        await send_chunk(send, b"", more=False)

    async def _step(self, step: Step) -> Step:
        stage = step.route.stages[step.index]
        await trio.sleep(self.step_s)
        hidden = run_layers(step.hidden, stage.layers.first, stage.layers.end)
        passed = Step(
            step.request_id,
            step.attempt,
            step.position,
            step.index + 1,
            step.route,
            hidden,
            (*step.hops, Hop(self.target_id, stage.layers)),
        )
        if passed.index == len(step.route.stages):
            return passed
        address = step.route.stages[passed.index].address
        answer = await self._pool.request(
            "POST",
            f"http://{address}/engine/v1/step",
            content=msgspec.json.encode(passed),
        )
        return msgspec.json.decode(answer.content, type=Step)


@click.command()
@click.option("--id", "target_id", required=True)
@click.option("--port", type=int, required=True)
@click.option("--model", default="small")
@click.option("--first", type=int, required=True)
@click.option("--end", type=int, required=True)
@click.option("--step-ms", type=float, default=2.0)
def main(target_id, port, model, first, end, step_ms):
    """Run one engine stand-in."""
    config = Config()
    config.bind = [f"127.0.0.1:{port}"]
    app = EngineApp(target_id, LayerRange(first, end), model, step_ms / 1000)
    trio.run(serve, app, config)


if __name__ == "__main__":
    main()
