"""Pool of HTTP connections to targets.

A reset on a reused connection does not show whether the request ran: the target may
have closed the connection while the request was in transit, or may have run it.
Requests that may not be retried therefore always get a new connection, and idle
connections are reused only well before the target closes them.
"""

from collections import defaultdict
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import aclosing

import httpcore
import msgspec
import trio
from expression import Error, Ok, Result

from radishfield.core import Clock, Fault, ResultCode, fault
from radishfield.kernel import WorkBoundary
from radishfield.platform import AnswerFacts, Headers, read_answer
from radishfield.relay import TargetDialer, TargetStream
from radishfield.routing import TargetLinks
from radishfield.telemetry import log_event
from radishfield.web import BROKEN_CONNECTION_ERRORS, split_address

MAX_IDLE_S = 2.5
"""Longest idle time of a connection that is reused: half of the shortest idle timeout
that targets announce."""
IDLE_SHARE = 0.5
"""Share of the announced idle timeout after which a connection is not reused."""
MAX_IDLE_PER_TARGET = 8
CLOSE_LIMIT_S = 1.0
MAX_ANSWER_BYTES = 8 << 20
MAX_LOGGED_ID = 64
"""Characters of a request id that are logged as an answer bears it."""

_BROKEN_ERRORS = (*BROKEN_CONNECTION_ERRORS, httpcore.ConnectionNotAvailable)


class Outgoing(msgspec.Struct, frozen=True):
    """A request to a target, encoded as bytes."""

    method: str
    target: bytes
    headers: Headers
    body: bytes = b""


class Exchange:
    """The answer to one request, with its body not yet read."""

    __slots__ = ("facts", "headers", "_address", "_connection", "_owner", "_response")

    def __init__(
        self,
        address: str,
        connection: "_TargetConnection",
        response: httpcore.Response,
        owner: "TargetConnections",
    ):
        self.headers: Headers = list(response.headers)
        self.facts: AnswerFacts = read_answer(response.status, self.headers)
        self._address = address
        self._connection = connection
        self._response = response
        self._owner = owner
        connection.last_id = self.facts.request_id

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; raise `BrokenAnswerError` if it is truncated."""
        try:
            async for chunk in self._response.stream:
                yield chunk
        except _BROKEN_ERRORS as problem:
            raise BrokenAnswerError(repr(problem)) from problem

    def call_before_reads(self, call: Callable[[], Awaitable[None]] | None) -> None:
        """Set what is called whenever the body's next bytes have to be waited for."""
        if self._connection.network.stream is not None:
            self._connection.network.stream.before_read = call

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
        self.call_before_reads(None)
        with trio.CancelScope(shield=True):
            await self._response.aclose()
            if reusable and not self.facts.closes:
                self._owner.keep(self._address, self._connection, self.facts.idle_s)
            else:
                await self._owner.discard(self._address, self._connection)

    @property
    def use(self) -> int:
        """Return the number of requests sent over the connection so far."""
        return self._connection.uses

    @property
    def via(self) -> str:
        """Return the host that relays the connection; empty for a direct one."""
        return self._connection.network.via


class BrokenAnswerError(Exception):
    """A body ended before it was complete."""


class _DialedNetwork(httpcore.AsyncNetworkBackend):
    """Opens the one connection of an HTTP connection, and knows over which way."""

    def __init__(self, dialer: TargetDialer):
        self._dialer = dialer
        self.via = ""
        self.stream: TargetStream | None = None

    async def connect_tcp(
        self, host, port, timeout=None, local_address=None, socket_options=None
    ) -> httpcore.AsyncNetworkStream:
        """Connect to a target; the dialer limits the time."""
        dialed = await self._dialer.dial(f"{host}:{port}")
        if dialed.is_error():
            raise httpcore.ConnectError(dialed.error.detail)
        self.via = dialed.ok.via
        self.stream = dialed.ok.stream
        return dialed.ok.stream


class _TargetConnection(msgspec.Struct):
    """A connection to a target.

    Attributes
    ----------
    until : float
        Time up to which it may be reused while it is idle.
    answered_at : float
        Time of its last complete answer.
    uses : int
        Requests sent over it.
    last_id : str
        The request id that its last answer bears.
    """

    http: httpcore.AsyncHTTPConnection
    network: _DialedNetwork
    until: float = 0.0
    answered_at: float = 0.0
    uses: int = 0
    last_id: str = ""

    def library_bytes(self) -> int:
        """Return how many bytes the HTTP library holds beyond the last answer."""
        inner = getattr(self.http, "_connection", None)
        state = getattr(inner, "_h11_state", None)
        return len(state.trailing_data[0]) if state is not None else 0


class TargetConnections:
    """Sends requests to targets over pooled connections and counts those opened."""

    __slots__ = (
        "_boundary",
        "_clock",
        "_dialer",
        "_idle_by_address",
        "_links",
        "opened",
        "reused",
        "surplus",
    )

    def __init__(
        self,
        clock: Clock,
        links: TargetLinks | None = None,
        dialer: TargetDialer | None = None,
        boundary: WorkBoundary | None = None,
    ):
        links = links or TargetLinks()
        self._boundary = boundary or WorkBoundary(clock)
        self._clock = clock
        self._dialer = dialer or TargetDialer.direct(links, clock)
        self._idle_by_address: dict[str, list[_TargetConnection]] = defaultdict(list)
        self._links = links
        self.opened = 0
        self.reused = 0
        self.surplus = 0

    async def send(
        self, address: str, outgoing: Outgoing, fresh: bool
    ) -> Result[Exchange, Fault]:
        """Send a request once; the fault shows whether it may have run."""
        connection = None if fresh else await self._take(address)
        if connection is None:
            connection = self._open(address)
        elif connection.uses:
            self.reused += 1
        connection.uses += 1
        host, port = split_address(address)
        request = httpcore.Request(
            outgoing.method,
            httpcore.URL(
                scheme=b"http", host=host.encode(), port=port, target=outgoing.target
            ),
            headers=outgoing.headers,
            content=outgoing.body or None,
        )
        try:
            response = await connection.http.handle_async_request(request)
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as problem:
            return Error(fault(ResultCode.CONNECT_FAILED, repr(problem)))
        except httpcore.LocalProtocolError as problem:
            await connection.http.aclose()
            return Error(fault(ResultCode.BAD_HEADER, repr(problem)))
        except _BROKEN_ERRORS as problem:
            await connection.http.aclose()
            return Error(fault(ResultCode.STREAM_BROKEN, repr(problem)))
        self._links.note_answer(address, self._clock.now())
        return Ok(Exchange(address, connection, response, self))

    def keep(
        self, address: str, connection: _TargetConnection, idle_s: float | None
    ) -> None:
        """Keep an idle connection for reuse."""
        kept = self._idle_by_address[address]
        if not connection.http.is_idle() or len(kept) >= MAX_IDLE_PER_TARGET:
            # The caller need not wait for the close: nothing is left to send.
            trio.lowlevel.spawn_system_task(
                self._close_within_limit, address, connection
            )
            return
        self._note_surplus(address, connection)
        limit_s = MAX_IDLE_S if idle_s is None else min(MAX_IDLE_S, idle_s * IDLE_SHARE)
        connection.answered_at = self._clock.now()
        connection.until = connection.answered_at + limit_s
        kept.append(connection)

    async def close_idle(self) -> None:
        """Close the idle connections that must not be reused."""
        for address, kept in list(self._idle_by_address.items()):
            unusable = [item for item in kept if not self._is_reusable(address, item)]
            kept[:] = [item for item in kept if item not in unusable]
            for item in unusable:
                with self._boundary.contain("connection.close", address):
                    await self.discard(address, item)
            if not kept:
                self._idle_by_address.pop(address, None)

    def _is_reusable(self, address: str, item: _TargetConnection) -> bool:
        now = self._clock.now()
        if item.until <= now:
            return False
        if item.network.via:
            is_down = self._links.is_down(address)
            return is_down and self._dialer.offers(item.network.via)
        return self._links.trusts_kept(address, item.answered_at, now)

    async def _take(self, address: str) -> _TargetConnection | None:
        if self._links.is_down(address) and self._links.is_retry_due(
            address, self._clock.now()
        ):
            # A new connection shows whether the link works again.
            return None
        kept = self._idle_by_address.get(address)
        while kept:
            item = kept.pop()
            # An idle connection that is readable was closed or has unrequested bytes.
            if self._is_reusable(address, item) and not item.http.has_expired():
                return item
            await self.discard(address, item)
        return None

    async def discard(self, address: str, connection: _TargetConnection) -> None:
        """Close a connection that is not used again."""
        self._note_surplus(address, connection)
        await connection.http.aclose()

    def _note_surplus(self, address: str, connection: _TargetConnection) -> None:
        """Report bytes of a connection that belong to none of its requests."""
        in_library = connection.library_bytes()
        stream = connection.network.stream
        unread = stream.unread_bytes() if stream is not None else 0
        if in_library or unread:
            self.surplus += 1
            log_event(
                "answer.surplus",
                address=address,
                after=connection.last_id[:MAX_LOGGED_ID],
                uses=connection.uses,
                via=connection.network.via,
                in_library=in_library,
                unread=unread,
            )

    async def _close_within_limit(
        self, address: str, connection: _TargetConnection
    ) -> None:
        with self._boundary.contain("connection.close"):
            with trio.move_on_after(CLOSE_LIMIT_S):
                await self.discard(address, connection)

    def _open(self, address: str) -> _TargetConnection:
        self.opened += 1
        host, port = split_address(address)
        network = _DialedNetwork(self._dialer)
        http = httpcore.AsyncHTTPConnection(
            httpcore.Origin(b"http", host.encode(), port), network_backend=network
        )
        return _TargetConnection(http, network)
