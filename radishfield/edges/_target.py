"""The targets' edge: the engine's HTTP protocol behind `TargetPort`."""

from contextlib import asynccontextmanager

import httpcore
import msgspec
from expression import Error, Ok, Result

from radishfield.core import (
    Fault,
    LoadReport,
    Outcome,
    ResultCode,
    StreamStart,
    Target,
    Token,
    fault,
)

CONNECT_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 10.0


class EngineTargets:
    """Engines reached over pooled HTTP connections."""

    __slots__ = ("_pool",)

    def __init__(self):
        self._pool = httpcore.AsyncConnectionPool(max_connections=256)

    @asynccontextmanager
    async def open_stream(self, target: Target, start: StreamStart):
        """Start an attempt at the route's first stage."""
        url = f"http://{target.address}/engine/v1/streams"
        timeouts = {"connect": CONNECT_TIMEOUT_S, "read": READ_TIMEOUT_S}
        try:
            async with self._pool.stream(
                "POST",
                url,
                content=msgspec.json.encode(start),
                extensions={"timeout": timeouts},
            ) as response:
                yield Ok(_LineStream(response))
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            yield Error(
                Fault(
                    ResultCode.CONNECT_FAILED,
                    str(error),
                    proven_outcome=Outcome.NOT_RUN,
                )
            )

    async def load(self, target: Target) -> Result[LoadReport, Fault]:
        """Return the target's load report."""
        url = f"http://{target.address}/engine/v1/load"
        try:
            answer = await self._pool.request("GET", url)
            return Ok(msgspec.json.decode(answer.content, type=LoadReport))
        except (httpcore.NetworkError, httpcore.TimeoutException) as error:
            return Error(fault(ResultCode.CONNECT_FAILED, str(error)))


class _LineStream:
    """One token a line of JSON."""

    __slots__ = ("_chunks", "_buffer")

    def __init__(self, response: httpcore.Response):
        self._chunks = response.aiter_stream()
        self._buffer = b""

    async def next_token(self) -> Result[Token, Fault]:
        """Return the next token, or the fault that ended the stream."""
        try:
            while b"\n" not in self._buffer:
                self._buffer += await anext(self._chunks)
        except StopAsyncIteration:
            return Error(fault(ResultCode.ANSWER_TRUNCATED))
        except httpcore.TimeoutException:
            return Error(fault(ResultCode.STREAM_SILENT))
        except (httpcore.NetworkError, httpcore.RemoteProtocolError) as error:
            return Error(fault(ResultCode.STREAM_BROKEN, str(error)))
        line, _, self._buffer = self._buffer.partition(b"\n")
        try:
            return Ok(msgspec.json.decode(line, type=Token))
        except msgspec.MsgspecError as error:
            return Error(fault(ResultCode.MALFORMED_ANSWER, str(error)))
