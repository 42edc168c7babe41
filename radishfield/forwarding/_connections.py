"""Pool of HTTP connections to targets.

A reset on a reused connection does not show whether the request ran: the target may
have closed the connection while the request was in transit, or may have run it.
Requests that may not be retried therefore always get a new connection, and idle
connections are reused only well before the target closes them.
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
from radishfield.routing import MAX_DELIVERY_S
from radishfield.web import BROKEN_CONNECTION_ERRORS, run_within, split_address

CONNECT_TIMEOUT_S = MAX_DELIVERY_S
MAX_IDLE_S = 2.5
"""Longest idle time of a connection that is reused: half of the shortest idle timeout
that targets announce."""
IDLE_SHARE = 0.5
"""Share of the announced idle timeout after which a connection is not reused."""
MAX_IDLE_PER_TARGET = 8
SEND_TIMEOUT_MS = 2500
"""Time after which the kernel closes a connection with unacknowledged bytes."""
KEEPALIVE_IDLE_S, KEEPALIVE_INTERVAL_S, KEEPALIVE_PROBES = 1, 1, 2
"""Keep-alive probes close an unresponsive connection within three seconds."""
MAX_ANSWER_BYTES = 8 << 20

_SOCKET_OPTIONS = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SEND_TIMEOUT_MS),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
]
_BROKEN_ERRORS = (*BROKEN_CONNECTION_ERRORS, httpcore.ConnectionNotAvailable)


class Outgoing(msgspec.Struct, frozen=True):
    """A request to a target, encoded as bytes."""

    method: str
    target: bytes
    headers: Headers
    body: bytes = b""


class _IdleConnection(msgspec.Struct):
    connection: httpcore.AsyncHTTPConnection
    until: float


class Exchange:
    """The answer to one request, with its body not yet read."""

    __slots__ = ("facts", "headers", "_address", "_connection", "_owner", "_response")

    def __init__(self, address, connection, response, owner: "TargetConnections"):
        self.headers: Headers = list(response.headers)
        self.facts: AnswerFacts = read_answer(response.status, self.headers)
        self._address = address
        self._connection = connection
        self._response = response
        self._owner = owner

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; raise `BrokenAnswerError` if it is truncated."""
        try:
            async for chunk in self._response.stream:
                yield chunk
        except _BROKEN_ERRORS as problem:
            raise BrokenAnswerError(repr(problem)) from problem

    async def read(self) -> Result[bytes, Fault]:
        """Return the complete body."""
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
        """Return the connection to the pool, or close it."""
        with trio.CancelScope(shield=True):
            await self._response.aclose()
            if reusable and not self.facts.closes:
                self._owner.keep(self._address, self._connection, self.facts.idle_s)
            else:
                await self._connection.aclose()


class BrokenAnswerError(Exception):
    """A body ended before it was complete."""


class _Network(httpcore.TrioBackend):
    """Opens connections within a time limit that this host's lateness extends.

    Otherwise a host that was held up takes targets that have accepted its connections
    for unreachable.
    """

    async def connect_tcp(
        self, host, port, timeout=None, local_address=None, socket_options=None
    ) -> httpcore.AsyncNetworkStream:
        connect = super().connect_tcp
        try:
            return await run_within(
                CONNECT_TIMEOUT_S if timeout is None else timeout,
                lambda: connect(host, port, None, local_address, socket_options),
            )
        except trio.TooSlowError as problem:
            raise httpcore.ConnectTimeout(problem) from problem


_NETWORK = _Network()


class TargetConnections:
    """Sends requests to targets over pooled connections and counts those opened."""

    __slots__ = ("_clock", "_idle_by_address", "opened")

    def __init__(self, clock: Clock):
        self._clock = clock
        self._idle_by_address: dict[str, list[_IdleConnection]] = defaultdict(list)
        self.opened = 0

    async def send(
        self, address: str, outgoing: Outgoing, fresh: bool
    ) -> Result[Exchange, Fault]:
        """Send a request once; the fault shows whether it may have run."""
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
        """Keep an idle connection for reuse."""
        kept = self._idle_by_address[address]
        if not connection.is_idle() or len(kept) >= MAX_IDLE_PER_TARGET:
            # The caller need not wait for the close: nothing is left to send.
            trio.lowlevel.spawn_system_task(_close_within_limit, connection)
            return
        limit_s = MAX_IDLE_S if idle_s is None else min(MAX_IDLE_S, idle_s * IDLE_SHARE)
        kept.append(_IdleConnection(connection, self._clock.now() + limit_s))

    async def close_idle(self) -> None:
        """Close the idle connections that are too old to be reused."""
        now = self._clock.now()
        for address, kept in list(self._idle_by_address.items()):
            expired = [item for item in kept if item.until <= now]
            if expired:
                kept[:] = [item for item in kept if item.until > now]
            for item in expired:
                await item.connection.aclose()
            if not kept:
                self._idle_by_address.pop(address, None)

    async def _take(self, address: str) -> httpcore.AsyncHTTPConnection | None:
        kept = self._idle_by_address.get(address)
        while kept:
            item = kept.pop()
            # An idle connection that is readable was closed or has unrequested bytes.
            if item.until > self._clock.now() and not item.connection.has_expired():
                return item.connection
            await item.connection.aclose()
        return None

    def _open(self, address: str) -> httpcore.AsyncHTTPConnection:
        self.opened += 1
        host, port = split_address(address)
        return httpcore.AsyncHTTPConnection(
            httpcore.Origin(b"http", host.encode(), port),
            network_backend=_NETWORK,
            socket_options=_SOCKET_OPTIONS,
        )


async def _close_within_limit(connection: httpcore.AsyncHTTPConnection) -> None:
    with trio.move_on_after(1.0):
        await connection.aclose()
