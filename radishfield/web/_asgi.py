"""Helpers shared by all ASGI applications of the project."""

from http import HTTPStatus
from typing import Protocol

import msgspec
import trio
from expression import Error, Ok, Result

from radishfield.core import Fault, ResultCode, fault

JSON_TYPE = b"application/json"
# Before a body that is too large is refused, up to this much more of it is read,
# for at most this time.  Otherwise the connection would be reset while the caller
# is still sending, and the caller would see a network error instead of the answer.
DISCARD_TIMEOUT_S = 2.0
DISCARD_BYTES = 16 << 20
WEBSOCKET_UNSUPPORTED = 1003
BODY_ROOM = "radishfield.body_room"
"""Key of the connection's room in the state of a scope."""
FIRST_ADMITTED_BYTES = 16 << 10
ADMITTED_AHEAD_BYTES = 64 << 10
"""Room that a body of unknown length asks for at first, and ahead of what was read."""
NO_ROOM_RETRY_S = 1.0
"""A body that stops short of its end gives way, or ends, within some seconds."""


class BodyLimit(msgspec.Struct, frozen=True):
    """How large a body may be, and how long it may take to arrive."""

    max_bytes: int = 1 << 20
    timeout_s: float = 10.0


class BodyRoom(Protocol):
    """Room in the process for the body of one request, and for its answer."""

    announced: int | None
    """Its length; None if it is sent in chunks."""

    def admit(self, size: int) -> bool:
        """Return whether there is room for a body of so many bytes."""

    async def start_body(self) -> trio.CancelScope:
        """Ask for the body; return the scope in which it is read."""

    def end_body(self) -> None:
        """Note that the body was read."""

    def hold_answer(self, added: int) -> bool:
        """Return whether there is room for so many bytes more of an answer."""


def body_room(scope) -> BodyRoom | None:
    """Return the room of a request's connection, if its server accounts for it."""
    return scope.get("state", {}).get(BODY_ROOM)


async def read_body(
    receive, limit: BodyLimit, room: BodyRoom | None = None
) -> Result[bytes, Fault]:
    """Read a complete request body within the limit's size and time.

    Parameters
    ----------
    room : BodyRoom, optional
        The account of the connection, which discards what is left of a body itself.
    """
    if room is None:
        result = await _read_within(receive, limit)
        if result.is_error() and result.error.code is ResultCode.BODY_TOO_LARGE:
            await _discard_body(receive)
        return result
    if room.announced is not None:
        problem = _unfit(room.announced, limit, room)
        if problem is not None:
            return Error(problem)
    with await room.start_body():
        result = await _read_within(receive, limit, room)
        if result.is_ok():
            room.end_body()
        return result
    return Error(_no_room("body gave way to others"))


async def _read_within(
    receive, limit: BodyLimit, room: BodyRoom | None = None
) -> Result[bytes, Fault]:
    body = bytearray()
    admitted = 0
    if room is not None and room.announced is not None:
        admitted = room.announced
    with trio.move_on_after(limit.timeout_s):
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                return Error(fault(ResultCode.CANCELLED_BEFORE_START, "disconnected"))
            chunk = message.get("body", b"")
            size = len(body) + len(chunk)
            if size > limit.max_bytes:
                return Error(_too_large(limit))
            if room is not None and size > admitted:
                admitted = min(size + ADMITTED_AHEAD_BYTES, limit.max_bytes)
                if size <= FIRST_ADMITTED_BYTES:
                    admitted = FIRST_ADMITTED_BYTES
                if not room.admit(admitted):
                    return Error(_no_room(f"no room for {admitted} bytes"))
            body += chunk
            if not message.get("more_body", False):
                return Ok(bytes(body))
    detail = f"body did not arrive within {limit.timeout_s} s"
    return Error(fault(ResultCode.BODY_TOO_SLOW, detail))


def _unfit(size: int, limit: BodyLimit, room: BodyRoom) -> Fault | None:
    """Return why a body of a known size is not read."""
    if size > limit.max_bytes:
        return _too_large(limit)
    if size and not room.admit(size):
        return _no_room(f"no room for {size} bytes")
    return None


def _too_large(limit: BodyLimit) -> Fault:
    return fault(ResultCode.BODY_TOO_LARGE, f"body is over {limit.max_bytes} bytes")


def _no_room(detail: str) -> Fault:
    return fault(ResultCode.NO_ROOM_FOR_BODY, detail, NO_ROOM_RETRY_S)


async def _discard_body(receive) -> None:
    discarded = 0
    with trio.move_on_after(DISCARD_TIMEOUT_S):
        while discarded < DISCARD_BYTES:
            message = await receive()
            discarded += len(message.get("body", b""))
            if not message.get("more_body", False):
                return


async def start_answer(send, status: int, headers: list[tuple[bytes, bytes]]) -> None:
    """Send the status line and headers."""
    await send({"type": "http.response.start", "status": status, "headers": headers})


async def send_chunk(send, chunk: bytes, more: bool = True) -> None:
    """Send a part of the body; ``more=False`` ends the answer."""
    await send({"type": "http.response.body", "body": chunk, "more_body": more})


def http_answer(status: int, headers: list[tuple[bytes, bytes]], body: bytes) -> bytes:
    """Return the last answer on a connection as it is sent over HTTP/1.1."""
    lines = [f"HTTP/1.1 {status} {HTTPStatus(status).phrase}".encode()]
    lines += [name + b": " + value for name, value in headers]
    lines += [b"content-length: %d" % len(body), b"connection: close", b"", body]
    return b"\r\n".join(lines)


async def send_json(
    send,
    status: int,
    value: object,
    headers: list[tuple[bytes, bytes]] | None = None,
) -> None:
    """Send a complete answer whose body is one JSON value."""
    await send_bytes(send, status, msgspec.json.encode(value), JSON_TYPE, headers)


async def send_bytes(
    send,
    status: int,
    body: bytes,
    content_type: bytes,
    headers: list[tuple[bytes, bytes]] | None = None,
) -> None:
    """Send a complete answer."""
    fixed = [
        (b"content-type", content_type),
        (b"content-length", str(len(body)).encode()),
    ]
    await start_answer(send, status, fixed + (headers or []))
    await send_chunk(send, body, more=False)


async def serve_lifespan(receive, send) -> None:
    """Answer the ASGI lifespan messages; nothing is started or stopped there."""
    while True:
        message = await receive()
        if message["type"] == "lifespan.startup":
            await send({"type": "lifespan.startup.complete"})
        elif message["type"] == "lifespan.shutdown":
            await send({"type": "lifespan.shutdown.complete"})
            return


async def serve_scope(scope, receive, send, serve_http) -> None:
    """Answer a scope of any type; requests go to ``serve_http``."""
    match scope["type"]:
        case "lifespan":
            await serve_lifespan(receive, send)
        case "http":
            await serve_http(scope, receive, send)
        case "websocket":
            await receive()
            await send({"type": "websocket.close", "code": WEBSOCKET_UNSUPPORTED})


async def run_until_disconnect(receive, work) -> None:
    """Run ``work`` and cancel it as soon as the other end disconnects.

    Messages are read while the work runs.  Otherwise a caller that has disconnected
    would occupy its slot at the targets until its deadline, and a full queue of
    unread messages would keep the server from closing the connection.
    """
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_cancel_on_disconnect, receive, nursery.cancel_scope)
        await work()
        nursery.cancel_scope.cancel()


async def _cancel_on_disconnect(receive, scope: trio.CancelScope) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass
    scope.cancel()
