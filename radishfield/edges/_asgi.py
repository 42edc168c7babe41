"""Small pieces shared by every ASGI application of the project."""

from dataclasses import dataclass

import msgspec
import trio
from expression import Error, Ok, Result

from radishfield.core import Fault, ResultCode, fault

JSON_TYPE = b"application/json"


@dataclass(slots=True, frozen=True)
class BodyLimit:
    """How large a body may be, and how long it may take to arrive."""

    max_bytes: int = 1 << 20
    timeout_s: float = 10.0


async def read_body(receive, limit: BodyLimit) -> Result[bytes, Fault]:
    """Read a whole request body within the limit's bytes and seconds."""
    chunks: list[bytes] = []
    size = 0
    with trio.move_on_after(limit.timeout_s) as scope:
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                return Error(fault(ResultCode.CANCELLED_BEFORE_START, "disconnected"))
            chunk = message.get("body", b"")
            size += len(chunk)
            if size > limit.max_bytes:
                detail = f"body is over {limit.max_bytes} bytes"
                return Error(fault(ResultCode.BODY_TOO_LARGE, detail))
            chunks.append(chunk)
            if not message.get("more_body", False):
                return Ok(b"".join(chunks))
    if scope.cancelled_caught:
        detail = f"body took over {limit.timeout_s} s"
        return Error(fault(ResultCode.BODY_TOO_SLOW, detail))
    raise AssertionError("unreachable")


async def start_answer(send, status: int, headers: list[tuple[bytes, bytes]]) -> None:
    """Send the status line and headers."""
    await send({"type": "http.response.start", "status": status, "headers": headers})


async def send_chunk(send, chunk: bytes, more: bool = True) -> None:
    """Send a part of the body; ``more=False`` ends the answer."""
    await send({"type": "http.response.body", "body": chunk, "more_body": more})


async def send_json(
    send,
    status: int,
    value: object,
    headers: list[tuple[bytes, bytes]] | None = None,
) -> None:
    """Send a whole answer of one JSON value."""
    body = msgspec.json.encode(value)
    fixed = [
        (b"content-type", JSON_TYPE),
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
