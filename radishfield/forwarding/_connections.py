"""Pool of HTTP connections to targets.

A reset on a reused connection does not show whether the request ran: the target may
have closed the connection while the request was in transit, or may have run it.
Requests that may not be retried therefore always get a new connection, and idle
connections are reused only well before the target closes them.

A connection that delivered anything but the answers to its requests is not used again,
and the connections to such a target are not kept for a while.
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
from radishfield.platform import (
    SINGLE_ANSWER_FIELDS,
    AnswerFacts,
    Headers,
    read_answer,
)
from radishfield.relay import TargetDialer, TargetStream
from radishfield.routing import TargetLinks
from radishfield.telemetry import log_event
from radishfield.web import (
    BROKEN_CONNECTION_ERRORS,
    FramedStream,
    MalformedAnswerError,
    UnusableConnectionError,
    split_address,
)

MAX_IDLE_S = 2.5
"""Longest idle time of a connection that is reused: half of the shortest idle timeout
that targets announce."""
IDLE_SHARE = 0.5
"""Share of the announced idle timeout after which a connection is not reused."""
MAX_IDLE_PER_TARGET = 8
CLOSE_LIMIT_S = 1.0
MAX_ANSWER_BYTES = 8 << 20
HELD_UNASKED_BYTES = 32 << 10
"""Answers up to this size are held without a look at the room for them."""
SPOILED_S = 2.0
"""Time for which no connection to a target is kept that sent unrequested bytes: more
of them may follow on its other connections."""
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

    __slots__ = ("facts", "headers", "_connection", "_owner", "_response")

    def __init__(
        self,
        connection: "_TargetConnection",
        response: httpcore.Response,
        owner: "TargetConnections",
    ):
        self.headers: Headers = list(response.headers)
        self.facts: AnswerFacts = read_answer(response.status, self.headers)
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
            raise BrokenAnswerError(
                repr(problem), isinstance(problem, MalformedAnswerError)
            ) from problem

    def call_before_reads(self, call: Callable[[], Awaitable[None]] | None) -> None:
        """Set what is called whenever the body's next bytes have to be waited for."""
        if self._connection.network.stream is not None:
            self._connection.network.stream.before_read = call

    async def read(
        self, hold: Callable[[int], bool] | None = None
    ) -> Result[bytes, Fault]:
        """Return the complete body.

        Parameters
        ----------
        hold : callable, optional
            Returns whether there is room for so many bytes more of a long answer.
        """
        body = bytearray()
        held = HELD_UNASKED_BYTES
        try:
            async with aclosing(self.chunks()) as chunks:
                async for chunk in chunks:
                    body += chunk
                    if len(body) > MAX_ANSWER_BYTES:
                        return Error(fault(ResultCode.ANSWER_TOO_LARGE))
                    if hold is not None and len(body) > held:
                        if not hold(len(body) - held):
                            detail = f"no room after {held} bytes"
                            return Error(fault(ResultCode.ANSWER_TOO_LARGE, detail))
                        held = len(body)
        except BrokenAnswerError as problem:
            code = ResultCode.ANSWER_TRUNCATED
            if problem.is_malformed:
                code = ResultCode.MALFORMED_ANSWER
            return Error(fault(code, str(problem)))
        return Ok(bytes(body))

    async def close(self, reusable: bool) -> None:
        """Return the connection to the pool, or close it."""
        self.call_before_reads(None)
        with trio.CancelScope(shield=True):
            await self._response.aclose()
            if reusable and not self.facts.closes:
                self._owner.keep(self._connection, self.facts.idle_s)
            else:
                await self._owner.discard(self._connection)

    async def reject(self) -> None:
        """Close the connection, since the answer belongs to another request."""
        self._owner.note_spoiled(self._connection)
        await self.close(reusable=False)

    @property
    def use(self) -> int:
        """Return the number of requests sent over the connection so far."""
        return self._connection.uses

    @property
    def via(self) -> str:
        """Return the host that relays the connection; empty for a direct one."""
        return self._connection.network.via


class BrokenAnswerError(Exception):
    """A body ended before it was complete.

    Attributes
    ----------
    is_malformed : bool
        Its bytes are not of the strict form, which is the target's fault.
    """

    def __init__(self, detail: str, is_malformed: bool = False):
        super().__init__(detail)
        self.is_malformed = is_malformed


class _DialedNetwork(httpcore.AsyncNetworkBackend):
    """Opens the one connection of an HTTP connection, and knows over which way."""

    def __init__(self, dialer: TargetDialer):
        self._dialer = dialer
        self.framed: FramedStream | None = None
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
        self.framed = FramedStream(dialed.ok.stream, SINGLE_ANSWER_FIELDS)
        return self.framed


class _TargetConnection(msgspec.Struct):
    """A connection to a target.

    Attributes
    ----------
    address, target_id : str
        The target that it was opened to.
    until : float
        Time up to which it may be reused while it is idle.
    answered_at : float
        Time of its last complete answer.
    uses : int
        Requests sent over it.
    last_id : str
        The request id that its last answer bears.
    """

    address: str
    target_id: str
    http: httpcore.AsyncHTTPConnection
    network: _DialedNetwork
    until: float = 0.0
    answered_at: float = 0.0
    uses: int = 0
    last_id: str = ""

    @property
    def is_spoiled(self) -> bool:
        """Return whether it delivered bytes that belong to no answer."""
        return self.network.framed is not None and self.network.framed.is_spoiled

    @property
    def target(self) -> tuple[str, str]:
        """Return the key of the target in the pool."""
        return self.address, self.target_id


class TargetConnections:
    """Sends requests to targets over pooled connections and counts those opened."""

    __slots__ = (
        "_boundary",
        "_clock",
        "_dialer",
        "_idle_by_target",
        "_links",
        "_spoiled_until_by_target",
        "malformed",
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
        self._idle_by_target: dict[tuple[str, str], list[_TargetConnection]] = (
            defaultdict(list)
        )
        self._links = links
        self._spoiled_until_by_target: dict[tuple[str, str], float] = {}
        self.malformed = 0
        self.opened = 0
        self.reused = 0
        self.surplus = 0

    async def send(
        self, address: str, outgoing: Outgoing, fresh: bool, target_id: str = ""
    ) -> Result[Exchange, Fault]:
        """Send a request once; the fault shows whether it may have run.

        Parameters
        ----------
        target_id : str
            The target at the address: a connection that was opened to another one
            there is not used.
        """
        while True:
            connection = None if fresh else await self._take(address, target_id)
            if connection is None:
                connection = self._open(address, target_id)
            elif connection.uses:
                self.reused += 1
            connection.uses += 1
            try:
                response = await connection.http.handle_async_request(
                    _request(address, outgoing)
                )
            except UnusableConnectionError:
                # Nothing was sent over it.
                await self.discard(connection)
                continue
            except (httpcore.ConnectError, httpcore.ConnectTimeout) as problem:
                return Error(fault(ResultCode.CONNECT_FAILED, repr(problem)))
            except httpcore.LocalProtocolError as problem:
                await self.discard(connection)
                return Error(fault(ResultCode.BAD_HEADER, repr(problem)))
            except MalformedAnswerError as problem:
                # The target is at fault, and neither its end nor the link to it.
                await self.discard(connection)
                return Error(fault(ResultCode.MALFORMED_ANSWER, repr(problem)))
            except _BROKEN_ERRORS as problem:
                await self.discard(connection)
                return Error(fault(ResultCode.STREAM_BROKEN, repr(problem)))
            self._links.note_answer(address, self._clock.now())
            return Ok(Exchange(connection, response, self))

    def keep(self, connection: _TargetConnection, idle_s: float | None) -> None:
        """Keep an idle connection for reuse."""
        if connection.is_spoiled:
            self.note_spoiled(connection)
        now = self._clock.now()
        kept = self._idle_by_target[connection.target]
        if (
            not connection.http.is_idle()
            or len(kept) >= MAX_IDLE_PER_TARGET
            or self._is_target_spoiled(connection.target, now)
        ):
            # The caller need not wait for the close: nothing is left to send.
            trio.lowlevel.spawn_system_task(self._close_within_limit, connection)
            return
        limit_s = MAX_IDLE_S if idle_s is None else min(MAX_IDLE_S, idle_s * IDLE_SHARE)
        connection.answered_at = now
        connection.until = now + limit_s
        kept.append(connection)

    async def close_idle(self) -> None:
        """Close the idle connections that must not be reused."""
        now = self._clock.now()
        for target, kept in list(self._idle_by_target.items()):
            unusable = [item for item in kept if not self._is_reusable(item)]
            kept[:] = [item for item in kept if item not in unusable]
            for item in unusable:
                with self._boundary.contain("connection.close", item.address):
                    await self.discard(item)
            if not kept:
                self._idle_by_target.pop(target, None)
        for target in list(self._spoiled_until_by_target):
            if not self._is_target_spoiled(target, now):
                del self._spoiled_until_by_target[target]

    async def discard(self, connection: _TargetConnection) -> None:
        """Close a connection that is not used again."""
        framed, stream = connection.network.framed, connection.network.stream
        try:
            if framed is not None:
                # Unread bytes of an answer that is given up are its own.
                unread = stream.unread_bytes() if framed.is_idle else 0
                if framed.is_spoiled or unread:
                    self._report_spoiled(connection, framed, unread)
        finally:
            await connection.http.aclose()

    def note_spoiled(self, connection: _TargetConnection) -> None:
        """Keep no connections to a target for a while."""
        until = self._clock.now() + SPOILED_S
        self._spoiled_until_by_target[connection.target] = until

    def _is_target_spoiled(self, target: tuple[str, str], now: float) -> bool:
        return self._spoiled_until_by_target.get(target, now) > now

    def _is_reusable(self, item: _TargetConnection) -> bool:
        now = self._clock.now()
        if item.until <= now or self._is_target_spoiled(item.target, now):
            return False
        if item.network.via:
            is_down = self._links.is_down(item.address)
            return is_down and self._dialer.offers(item.network.via)
        return self._links.trusts_kept(item.address, item.answered_at, now)

    async def _take(self, address: str, target_id: str) -> _TargetConnection | None:
        if self._links.is_down(address) and self._links.is_retry_due(
            address, self._clock.now()
        ):
            # A new connection shows whether the link works again.
            return None
        kept = self._idle_by_target.get((address, target_id))
        while kept:
            item = kept.pop()
            # An idle connection that is readable was closed or has unrequested bytes.
            if self._is_reusable(item) and not item.http.has_expired():
                return item
            await self.discard(item)
        return None

    def _report_spoiled(
        self, connection: _TargetConnection, framed: FramedStream, unread: int
    ) -> None:
        """Report bytes of a connection that belong to none of its requests."""
        self.note_spoiled(connection)
        if framed.problem:
            self.malformed += 1
            log_event(
                "answer.malformed",
                address=connection.address,
                target=connection.target_id,
                uses=connection.uses,
                via=connection.network.via,
                detail=framed.problem,
            )
        if framed.surplus or unread:
            self.surplus += 1
            log_event(
                "answer.surplus",
                address=connection.address,
                target=connection.target_id,
                after=connection.last_id[:MAX_LOGGED_ID],
                uses=connection.uses,
                via=connection.network.via,
                received=framed.surplus,
                unread=unread,
            )

    async def _close_within_limit(self, connection: _TargetConnection) -> None:
        with self._boundary.contain("connection.close"):
            with trio.move_on_after(CLOSE_LIMIT_S):
                await self.discard(connection)

    def _open(self, address: str, target_id: str) -> _TargetConnection:
        self.opened += 1
        host, port = split_address(address)
        network = _DialedNetwork(self._dialer)
        http = httpcore.AsyncHTTPConnection(
            httpcore.Origin(b"http", host.encode(), port), network_backend=network
        )
        return _TargetConnection(address, target_id, http, network)


def _request(address: str, outgoing: Outgoing) -> httpcore.Request:
    host, port = split_address(address)
    return httpcore.Request(
        outgoing.method,
        httpcore.URL(
            scheme=b"http", host=host.encode(), port=port, target=outgoing.target
        ),
        headers=outgoing.headers,
        content=outgoing.body or None,
    )
