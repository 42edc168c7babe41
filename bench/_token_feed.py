"""Measures the cost of a token by the number of tokens per HTTP chunk.

A separate process sends prepared token lines as an HTTP stream, with several
tokens per chunk and a pause after each chunk, as an engine does between steps.
The measuring process reads, checks and commits them.
"""

import time

import click
import msgspec
import trio
from expression import Result

from radishfield.core import (
    Hop,
    LayerRange,
    Receipt,
    Route,
    Stage,
    StreamStart,
    Target,
    Token,
)
from radishfield.edges import EngineTargets
from radishfield.pipeline import PipelineState

PAUSE_S = 0.002
ROUTE = Route(
    tuple(
        Stage(f"engine-{first}", "127.0.0.1:1", LayerRange(first, first + 4))
        for first in range(0, 16, 4)
    ),
    "small",
    "1",
    16,
)


def token_lines(count: int) -> list[bytes]:
    """Return the lines of a complete answer to request ``r``."""
    hops = tuple(Hop(stage.target_id, stage.layers) for stage in ROUTE.stages)
    return [
        msgspec.json.encode(
            Token(
                position,
                "crowding",
                Receipt("r", 1, position, hops),
                "stop" if position + 1 == count else None,
            )
        )
        + b"\n"
        for position in range(count)
    ]


async def feed(port: int, count: int, per_chunk: int) -> None:
    """Serve the same answer to every connection."""
    lines = token_lines(count)
    chunks = [
        b"".join(lines[first : first + per_chunk])
        for first in range(0, count, per_chunk)
    ]

    async def serve(stream: trio.SocketStream) -> None:
        async with stream:
            request = await stream.receive_some()
            number = request.lower().partition(b"x-exchange: ")[2].partition(b"\r")[0]
            await stream.send_all(
                b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n"
                b"x-exchange: " + number + b"\r\n\r\n"
            )
            for chunk in chunks:
                await stream.send_all(b"%x\r\n%s\r\n" % (len(chunk), chunk))
                await trio.sleep(PAUSE_S)
            await stream.send_all(b"0\r\n\r\n")

    await trio.serve_tcp(serve, port, host="127.0.0.1")


async def read_answer(targets: EngineTargets, port: int, batched: bool) -> None:
    """Read, check and commit one complete answer."""
    state = PipelineState("r")
    state.start_attempt(1, ROUTE)
    target = Target("e", "e", "z", f"127.0.0.1:{port}")
    start = StreamStart("r", 1, ROUTE, "", (), 1, 60.0)
    async with targets.open_stream(target, start) as opened:
        stream = opened.ok
        while state.finish is None:
            if batched:
                tokens = (await stream.next_tokens()).ok
                if state.commit_batch(tokens).problem:
                    raise SystemExit("a token's receipt was rejected")
                continue
            match await stream.next_token():
                case Result(tag="ok", ok=token):
                    if state.commit(token).is_error():
                        raise SystemExit("a token's receipt was rejected")


def cpu_per_answer(port: int, answers: int, callers: int, batched: bool) -> float:
    """Return the reading process' CPU seconds per answer."""

    async def main() -> None:
        targets = EngineTargets()
        await read_answer(targets, port, batched)
        async with trio.open_nursery() as nursery:
            for _ in range(callers):
                nursery.start_soon(caller, targets)

    async def caller(targets: EngineTargets) -> None:
        for _ in range(answers // callers):
            await read_answer(targets, port, batched)

    before = time.process_time()
    trio.run(main)
    return (time.process_time() - before) / (answers + 1)


@click.command()
@click.option("--port", type=int, required=True)
@click.option("--count", type=int, required=True)
@click.option("--per-chunk", type=int, required=True)
def main(port, count, per_chunk):
    """Serve token lines until ended."""
    trio.run(feed, port, count, per_chunk)


if __name__ == "__main__":
    main()
