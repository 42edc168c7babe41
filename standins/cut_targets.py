"""A stand-in target whose answers stop at a chosen byte.

The connection is then closed, reset, or left open in silence.
"""

import math
import re
import socket
from dataclasses import dataclass, replace
from enum import StrEnum
from http import HTTPStatus

import trio

from standins.unframed_targets import RESET_ON_CLOSE

END_OF_HEAD = b"\r\n\r\n"
_EVENT = re.compile(rb"id: ([0-9]+)\n")
_FIELD = re.compile(rb"\r\n([!-9;-~]+):[ \t]*([^\r\n]*)")


class End(StrEnum):
    """What happens to the connection after the last byte."""

    CLOSE = "close"
    RESET = "reset"
    SILENCE = "silence"


class Framing(StrEnum):
    """How the end of the body is marked."""

    LENGTH = "length"
    CHUNKED = "chunked"
    NONE = "none"


@dataclass(slots=True, frozen=True)
class CutAnswer:
    """An answer, and the number of its bytes that are sent.

    Attributes
    ----------
    parts : tuple of bytes
        The body; each part is a chunk of its own.
    cut : int or None
        Bytes that are sent; None for all of them.
    early : bool
        The target answers as soon as it has read the request's head.
    """

    framing: Framing
    parts: tuple[bytes, ...]
    end: End = End.CLOSE
    cut: int | None = None
    status: int = 200
    fields: tuple[bytes, ...] = ()
    early: bool = False

    @property
    def body(self) -> bytes:
        """Return the whole body."""
        return b"".join(self.parts)

    def head(self, request_id: bytes, stamp: bytes) -> bytes:
        """Return the head of the answer to a request."""
        phrase = HTTPStatus(self.status).phrase
        lines = [f"HTTP/1.1 {self.status} {phrase}".encode()]
        lines.append(b"X-Request-Id: " + request_id)
        lines.append(b"X-Server-Stamp: " + stamp)
        lines += self.fields
        match self.framing:
            case Framing.LENGTH:
                lines.append(b"Content-Length: %d" % len(self.body))
            case Framing.CHUNKED:
                lines.append(b"Transfer-Encoding: chunked")
            case Framing.NONE:
                lines.append(b"Connection: close")
        return b"\r\n".join(lines) + END_OF_HEAD

    def encode(self, request_id: bytes, stamp: bytes) -> bytes:
        """Return the whole answer to a request."""
        body = self.body
        if self.framing is Framing.CHUNKED:
            chunks = [b"%x\r\n%s\r\n" % (len(part), part) for part in self.parts]
            body = b"".join(chunks) + b"0" + END_OF_HEAD
        return self.head(request_id, stamp) + body

    def after(self, event_id: int) -> "CutAnswer":
        """Return the answer without the events up to an id."""
        left = [part for part in self.parts if _event_id(part) > event_id]
        return replace(self, parts=tuple(left))

    def cut_at(self, place: int, end: End) -> "CutAnswer":
        """Return the answer that stops at a byte."""
        return replace(self, cut=place, end=end)


@dataclass(slots=True, frozen=True)
class Sent:
    """An answer as it was given, with the stamp that tells it from all others."""

    answer: CutAnswer
    stamp: bytes
    last_event_id: bytes = b""

    @property
    def is_whole(self) -> bool:
        """Return whether no byte is missing that the receiver could miss."""
        answer = self.answer
        is_marked = answer.framing is not Framing.NONE or answer.end is End.CLOSE
        return answer.cut is None and is_marked


@dataclass(slots=True)
class CutTarget:
    """A target that gives the next answer that the test has chosen for a request.

    Attributes
    ----------
    answers_by_id : dict
        The next answers to a request, shared by all targets; then ``usual`` is given.
        A request without an id is named by its path.
    sent_by_id : dict
        What was answered to a request, shared by all targets.
    """

    id: str
    usual: CutAnswer
    answers_by_id: dict[bytes, list[CutAnswer]]
    sent_by_id: dict[bytes, list[Sent]]
    address: str = ""
    _given: int = 0

    async def serve(self, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED):
        """Serve connections until cancelled."""
        async with trio.open_nursery() as nursery:
            (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
            self.address = f"127.0.0.1:{listener.socket.getsockname()[1]}"
            task_status.started(self.address)
            await trio.serve_listeners(self._serve, [listener], handler_nursery=nursery)

    async def _serve(self, stream: trio.SocketStream) -> None:
        try:
            while await self._answer_next(stream):
                pass
        except trio.BrokenResourceError:
            pass
        finally:
            await trio.aclose_forcefully(stream)

    async def _answer_next(self, stream: trio.SocketStream) -> bool:
        """Answer a request; return whether the connection stays open."""
        request = await _read_head(stream)
        if request is None:
            return False
        fields, body = request
        request_id = fields.get(b"x-request-id", fields[b""])
        chosen = self.answers_by_id.get(request_id)
        answer = chosen.pop(0) if chosen else self.usual
        last_event_id = fields.get(b"last-event-id", b"")
        if last_event_id:
            answer = answer.after(int(last_event_id))
        self._given += 1
        stamp = b"%s.%06d" % (self.id.encode(), self._given)
        if not answer.early:
            await _read_body(stream, fields, body)
        encoded = answer.encode(request_id, stamp)
        if answer.cut is not None and answer.cut >= len(encoded):
            answer = replace(answer, cut=None)
        sent = Sent(answer, stamp, last_event_id)
        self.sent_by_id.setdefault(request_id, []).append(sent)
        await stream.send_all(encoded[: answer.cut])
        if answer.end is End.SILENCE:
            # Ends with the other side's close.
            while await stream.receive_some():
                pass
        if answer.end is End.RESET:
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        return sent.is_whole and answer.framing is not Framing.NONE


def _event_id(part: bytes) -> float:
    """Return the id of an event; infinite for a part that is none."""
    found = _EVENT.match(part)
    return int(found[1]) if found else math.inf


async def _read_head(stream: trio.SocketStream) -> tuple[dict, bytes] | None:
    """Return a request's fields and the begin of its body; None if there is none.

    Its path is the field without a name.
    """
    received = b""
    while END_OF_HEAD not in received:
        data = await stream.receive_some()
        if not data:
            return None
        received += data
    head, _, body = received.partition(END_OF_HEAD)
    fields = {name.lower(): value for name, value in _FIELD.findall(head)}
    fields[b""] = head.split(b" ", 2)[1]
    return fields, body


async def _read_body(stream, fields: dict[bytes, bytes], begin: bytes) -> None:
    missing = int(fields.get(b"content-length", b"0")) - len(begin)
    while missing > 0:
        data = await stream.receive_some()
        if not data:
            raise trio.BrokenResourceError("ended inside a request")
        missing -= len(data)
