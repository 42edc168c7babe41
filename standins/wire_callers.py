"""A caller that keeps the bytes of its answer, and how its connection ended."""

import re
from dataclasses import dataclass

import trio

from standins.cut_targets import END_OF_HEAD, End

_STATUS_LINE = re.compile(rb"HTTP/1\.1 ([1-5][0-9]{2}) [ -~]*")


@dataclass(slots=True, frozen=True)
class WireReply:
    """An answer as it came over the wire.

    Attributes
    ----------
    looks_whole : bool
        Nothing on the wire shows that a part is missing.
    status : int
        0 if the head is not complete.
    """

    raw: bytes
    end: End
    looks_whole: bool
    status: int
    fields: dict[bytes, bytes]
    body: bytes


async def call_on_wire(
    address: str, request: bytes, limit_s: float = 10.0
) -> WireReply:
    """Send a request, and read until the connection ends."""
    host, _, port = address.rpartition(":")
    stream = await trio.open_tcp_stream(host, int(port))
    received, end = bytearray(), End.SILENCE
    async with stream:
        await stream.send_all(request)
        with trio.move_on_after(limit_s):
            try:
                while data := await stream.receive_some():
                    received += data
                end = End.CLOSE
            except trio.BrokenResourceError:
                end = End.RESET
    return read_wire(bytes(received), end)


def read_wire(raw: bytes, end: End) -> WireReply:
    """Return an answer with what its bytes say of its end."""
    head, found, rest = raw.partition(END_OF_HEAD)
    if not found:
        return WireReply(raw, end, False, 0, {}, b"")
    status_line, *lines = head.split(b"\r\n")
    status = int(_STATUS_LINE.fullmatch(status_line)[1])
    pairs = [line.split(b": ", 1) for line in lines]
    fields = {name.lower(): value for name, value in pairs}
    assert len(fields) == len(pairs), head
    if b"transfer-encoding" in fields:
        body, whole = _read_chunks(rest)
    elif b"content-length" in fields:
        body, whole = rest, len(rest) == int(fields[b"content-length"])
    else:
        body, whole = rest, end is End.CLOSE
    return WireReply(raw, end, whole, status, fields, body)


def _read_chunks(rest: bytes) -> tuple[bytes, bool]:
    body = b""
    while True:
        size, found, rest = rest.partition(b"\r\n")
        if not found:
            return body, False
        length = int(size, 16)
        if length == 0:
            return body, rest == b"\r\n"
        if len(rest) < length + 2:
            return body + rest[:length], False
        assert rest[length : length + 2] == b"\r\n", rest
        body, rest = body + rest[:length], rest[length + 2 :]
