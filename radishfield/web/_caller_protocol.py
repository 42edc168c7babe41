"""HTTP/1.1 as it is spoken with callers: hypercorn's protocol without upgrades."""

import time

import h11
from hypercorn.events import Closed, Updated
from hypercorn.protocol.events import Body, EndBody, Request
from hypercorn.protocol.h11 import STREAM_ID, H11Protocol
from hypercorn.protocol.http_stream import HTTPStream

from radishfield.web._turns import Turns

HTTP_VERSIONS = (b"1.0", b"1.1")
VERSION_NOT_SUPPORTED = 505
FREE_PIECES = 32
"""Pieces of a body that a request may have, whatever their size."""
USUAL_PIECE_BYTES = 512
"""Pieces of this size on average never wait for a turn."""
PIECES_PER_TURN = 256
REST_FACTOR = 3.0
"""Rest after a turn, as a multiple of the time that the turn took."""


class CallerProtocol(H11Protocol):
    """The protocol state of one connection.

    Other protocols are refused.  Over HTTP/2 a stream that was aborted would end like
    a complete one, and a connection would hold a hundred bodies.  A request to upgrade
    is answered as if it had not asked for that.
    """

    turns: Turns
    announced: int | None = 0
    """Length of the request's body; None if it is sent in chunks."""

    @property
    def is_receiving(self) -> bool:
        """Return whether a request has begun and is not complete."""
        return self.connection.their_state in (h11.SEND_BODY, h11.ERROR)

    async def invite_body(self) -> None:
        """Ask for a body whose sender waits to be asked."""
        if self.connection.they_are_waiting_for_100_continue:
            await self._send_h11_event(
                h11.InformationalResponse(status_code=100, headers=[])
            )

    async def refuse_request(self, status: int) -> None:
        """Answer a request whose head is not complete, and close."""
        if self.connection.our_state is h11.IDLE:
            await self._send_error_response(status)
        await self.send(Closed())

    async def _handle_events(self) -> None:
        pieces = _Pieces(self.turns)
        while True:
            try:
                event = self.connection.next_event()
            except h11.RemoteProtocolError as problem:
                await pieces.pass_on(self.stream)
                if self.connection.our_state in (h11.IDLE, h11.SEND_RESPONSE):
                    await self._send_error_response(problem.error_status_hint)
                await self.send(Closed())
                return
            match event:
                case h11.Request():
                    await self.send(Updated(idle=False))
                    await self._create_stream(event)
                case h11.Data() if self.stream is not None:
                    await pieces.add(bytes(event.data), self.stream)
                case h11.EndOfMessage() if self.stream is not None:
                    await pieces.pass_on(self.stream)
                    if self.stream is not None:
                        await self.stream.handle(EndBody(stream_id=STREAM_ID))
                case h11.PAUSED:
                    await self.can_read.clear()
                    await self.can_read.wait()
                case _:
                    await pieces.pass_on(self.stream)
                    return

    async def _check_protocol(self, event: h11.Request) -> None:
        """Leave upgrades alone; versions are checked before a request is served."""

    async def _create_stream(self, request: h11.Request) -> None:
        if request.http_version not in HTTP_VERSIONS:
            await self._send_error_response(VERSION_NOT_SUPPORTED)
            await self.send(Closed())
            return
        self.announced = _announced(request)
        self.stream = HTTPStream(
            self.app,
            self.config,
            self.context,
            self.task_group,
            self.ssl,
            self.client,
            self.server,
            self.stream_send,
            STREAM_ID,
        )
        await self.stream.handle(
            Request(
                stream_id=STREAM_ID,
                headers=list(request.headers),
                http_version=request.http_version.decode(),
                method=request.method.decode("ascii").upper(),
                raw_path=request.target,
                state=self.connection_state,
            )
        )
        self.keep_alive_requests += 1
        await self.context.mark_request()


class _Pieces:
    """The pieces of a body that were read together, until they are passed on as one.

    A piece costs the same time whether it is long or short.  Where there are many for
    the bytes that they bring, their connection waits for its turn.
    """

    __slots__ = ("_began_at", "_bytes", "_count", "_parts", "_turns")

    def __init__(self, turns: Turns):
        self._began_at = time.perf_counter()
        self._bytes = 0
        self._count = 0
        self._parts: list[bytes] = []
        self._turns = turns

    async def add(self, piece: bytes, stream: HTTPStream) -> None:
        """Take a piece; pass on what there is if it is time to rest."""
        self._parts.append(piece)
        self._bytes += len(piece)
        self._count += 1
        if self._count < PIECES_PER_TURN:
            return
        await self.pass_on(stream)

    async def pass_on(self, stream: HTTPStream | None) -> None:
        """Pass on what there is, and rest if it was costly."""
        parts, self._parts = self._parts, []
        if parts and stream is not None:
            await stream.handle(Body(stream_id=STREAM_ID, data=b"".join(parts)))
        if self._count > FREE_PIECES + self._bytes // USUAL_PIECE_BYTES:
            spent_s = time.perf_counter() - self._began_at
            await self._turns.rest(spent_s * REST_FACTOR)
        self._began_at, self._bytes, self._count = time.perf_counter(), 0, 0


def _announced(request: h11.Request) -> int | None:
    value_by_name = dict(request.headers)
    if b"transfer-encoding" in value_by_name:
        # It goes before a length.
        return None
    return int(value_by_name.get(b"content-length", 0))
