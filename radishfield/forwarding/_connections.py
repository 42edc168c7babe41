"""Connections to targets, kept and reused with care.

A reset on a kept connection proves nothing: the target may have closed it while the
request was on its way, or may have run the request.  So a request that may not be
repeated always gets a connection of its own, and kept ones are used only well
within the time after which targets close them.
"""

import socket
from collections import defaultdict
from collections.abc import AsyncIterator
from contextlib import aclosing

import httpcore
import msgspec
import trio
from expression import Error, Ok, Result

from radishfield.core import Clock, Fault, ResultCode, fault
from radishfield.platform import AnswerFacts, Headers, read_answer
from radishfield.web import BROKEN_CONNECTION_ERRORS, split_address

CONNECT_TIMEOUT_S = 0.4
"""Targets of a region answer within a millisecond; one lost packet costs a second,
after which another target has long answered."""
KEEP_S = 2.5
"""Longest idle time of a connection that is used again: half of the shortest idle
time that targets announce."""
KEEP_SHARE = 0.5
"""Part of the announced idle time after which a connection is not used again."""
KEPT_PER_TARGET = 8
SEND_TIMEOUT_MS = 2500
"""Time after which the kernel ends a connection whose bytes nobody acknowledges."""
PROBE_IDLE_S, PROBE_EVERY_S, PROBES = 1, 1, 2
"""Keep-alive probes end a connection that has fallen silent in three seconds."""
MAX_ANSWER_BYTES = 8 << 20

_SOCKET_OPTIONS = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SEND_TIMEOUT_MS),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_EVERY_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES),
]
_BROKEN_ERRORS = (*BROKEN_CONNECTION_ERRORS, httpcore.ConnectionNotAvailable)


class Outgoing(msgspec.Struct, frozen=True):
    """A request to a target, as bytes."""

    method: str
    target: bytes
    headers: Headers
    body: bytes = b""


class _Kept(msgspec.Struct):
    connection: httpcore.AsyncHTTPConnection
    until: float


class Exchange:
    """One request's answer, whose body is still to be read."""

    __slots__ = ("facts", "headers", "_address", "_connection", "_owner", "_response")

    def __init__(self, address, connection, response, owner: "TargetConnections"):
        self.headers: Headers = list(response.headers)
        self.facts: AnswerFacts = read_answer(response.status, self.headers)
        self._address = address
        self._connection = connection
        self._response = response
        self._owner = owner

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; raise `BrokenAnswerError` where it does not end whole."""
        try:
            async for chunk in self._response.stream:
                yield chunk
        except _BROKEN_ERRORS as problem:
            raise BrokenAnswerError(repr(problem)) from problem

    async def read(self) -> Result[bytes, Fault]:
        """Return the whole body."""
        body = bytearray()
        try:
            async with aclosing(self.chunks()) as chunks:
                async for chunk in chunks:
                    body += chunk
                    if len(body) > MAX_ANSWER_BYTES:
                        return Error(fault(ResultCode.ANSWER_TOO_LARGE))
        except BrokenAnswerError as problem:
            return Error(fault(ResultCode.ANSWER_TRUNCATED, str(problem)))
        return Ok(bytes(body))

    async def close(self, reusable: bool) -> None:
        """Give the connection back, or close it."""
        with trio.CancelScope(shield=True):
            await self._response.aclose()
            if reusable and not self.facts.closes:
                self._owner.keep(self._address, self._connection, self.facts.idle_s)
            else:
                await self._connection.aclose()


class BrokenAnswerError(Exception):
    """A body ended before it was whole."""


class TargetConnections:
    """Sends requests to targets; counts the connections that it opens."""

    __slots__ = ("_clock", "_kept_by_address", "opened")

    def __init__(self, clock: Clock):
        self._clock = clock
        self._kept_by_address: dict[str, list[_Kept]] = defaultdict(list)
        self.opened = 0

    async def send(
        self, address: str, outgoing: Outgoing, fresh: bool
    ) -> Result[Exchange, Fault]:
        """Send a request once; a fault says whether it may have run."""
        connection = None if fresh else await self._take(address)
        if connection is None:
            connection = self._open(address)
        host, port = split_address(address)
        request = httpcore.Request(
            outgoing.method,
            httpcore.URL(
                scheme=b"http", host=host.encode(), port=port, target=outgoing.target
            ),
            headers=outgoing.headers,
            content=outgoing.body or None,
            extensions={"timeout": {"connect": CONNECT_TIMEOUT_S}},
        )
        try:
            response = await connection.handle_async_request(request)
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as problem:
            return Error(fault(ResultCode.CONNECT_FAILED, repr(problem)))
        except httpcore.LocalProtocolError as problem:
            await connection.aclose()
            return Error(fault(ResultCode.BAD_HEADER, repr(problem)))
        except _BROKEN_ERRORS as problem:
            await connection.aclose()
            return Error(fault(ResultCode.STREAM_BROKEN, repr(problem)))
        return Ok(Exchange(address, connection, response, self))

    def keep(self, address: str, connection, idle_s: float | None) -> None:
        """Keep an idle connection for a while."""
        kept = self._kept_by_address[address]
        if not connection.is_idle() or len(kept) >= KEPT_PER_TARGET:
            # Closing needs no waiting: nothing is left to send.
            trio.lowlevel.spawn_system_task(_close_quietly, connection)
            return
        limit_s = KEEP_S if idle_s is None else min(KEEP_S, idle_s * KEEP_SHARE)
        kept.append(_Kept(connection, self._clock.now() + limit_s))

    async def close_idle(self) -> None:
        """Close the kept connections that are too old to be used again."""
        now = self._clock.now()
        for address, kept in list(self._kept_by_address.items()):
            old = [item for item in kept if item.until <= now]
            if old:
                kept[:] = [item for item in kept if item.until > now]
            for item in old:
                await item.connection.aclose()
            if not kept:
                self._kept_by_address.pop(address, None)

    async def _take(self, address: str) -> httpcore.AsyncHTTPConnection | None:
        kept = self._kept_by_address.get(address)
        while kept:
            item = kept.pop()
            # Readable while idle: closed, or bytes that belong to no request.
            if item.until > self._clock.now() and not item.connection.has_expired():
                return item.connection
            await item.connection.aclose()
        return None

    def _open(self, address: str) -> httpcore.AsyncHTTPConnection:
        self.opened += 1
        host, port = split_address(address)
        return httpcore.AsyncHTTPConnection(
            httpcore.Origin(b"http", host.encode(), port),
            socket_options=_SOCKET_OPTIONS,
        )


async def _close_quietly(connection: httpcore.AsyncHTTPConnection) -> None:
    with trio.move_on_after(1.0):
        await connection.aclose()
