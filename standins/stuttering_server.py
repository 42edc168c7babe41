"""Serves an application as a target that stutters: it answers some requests twice.

A second answer is the first one again, a success or a refusal, whole or cut at any
place.  It is sent together with the first one, some milliseconds later, or as soon as
the next request on the connection was read.  While a server stutters, some of its own
answers are errors, have no length, break off, or are followed by a reset.
"""

import random
import socket
import struct
from collections import defaultdict
from dataclasses import dataclass, field
from enum import StrEnum
from http import HTTPStatus

import h11
import trio

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
RECEIVE_BYTES = 65536
MAX_LATE_S = 0.03
MAX_PIECES_UNTIL_TORN = 6
HEAD_END = b"\r\n\r\n"
PLAIN_TYPE = (b"content-type", b"text/plain")


class When(StrEnum):
    """When a second answer is sent."""

    WITH_FIRST = "with the first"
    LATER = "later"
    BEFORE_NEXT = "before the next answer"


@dataclass(slots=True, frozen=True)
class Habits:
    """Shares of the answers of a stuttering server, by what is wrong with them.

    Attributes
    ----------
    errors : float
        Successes with a plain body that are sent as errors.
    """

    doubled: float = 0.3
    errors: float = 0.2
    unframed: float = 0.03
    torn: float = 0.03
    reset: float = 0.03


@dataclass(slots=True)
class Run:
    """What a target answered to one request.

    Attributes
    ----------
    spoiled : bool
        Other bytes were sent before the answer, or it broke off.
    whole : bool
        All of the answer was sent.
    """

    target_id: str
    status: int = 0
    stamp: bytes = b""
    body: bytes = b""
    spoiled: bool = False
    whole: bool = False


@dataclass(slots=True)
class StutteringServer:
    """Listens for an application and sends its answers.

    Attributes
    ----------
    habits : Habits or None
        What is wrong with its answers now.
    runs_by_request : dict
        The answers to each request, refusals too, in their order.
    doubled : int
        Number of second answers.
    """

    target_id: str
    app: object
    rng: random.Random
    habits: Habits | None = None
    runs_by_request: dict[str, list[Run]] = field(
        default_factory=lambda: defaultdict(list)
    )
    doubled: int = 0

    async def serve(self, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Serve connections until cancelled; the started value is the address."""
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        task_status.started(f"127.0.0.1:{listener.socket.getsockname()[1]}")
        await trio.serve_listeners(self._serve_connection, [listener])

    async def _serve_connection(self, stream: trio.SocketStream) -> None:
        connection = _Connection(self, stream)
        try:
            while await connection.serve_request():
                pass
        except* (
            _TornError,
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            h11.RemoteProtocolError,
        ):
            # An answer was torn, or the other end has closed the connection.
            pass
        finally:
            await trio.aclose_forcefully(stream)

    def chance(self, share: float) -> bool:
        """Draw whether something happens now that happens to a share of answers."""
        return self.rng.random() < share

    def draw_second(self, answer: "_Answer") -> bytes:
        """Return a second answer to the same request, whole or cut."""
        self.doubled += 1
        match self.rng.choice(("same", "success", "refusal")):
            case "same":
                second = bytes(answer.sent)
            case "success":
                body = bytes(answer.sent).partition(HEAD_END)[2]
                second = encode_head(200, answer.headers) + body
            case "refusal":
                extra = [(b"x-not-executed", b"1"), (b"content-length", b"0")]
                second = encode_head(503, [*answer.ids(), *extra])
        head_bytes = second.index(HEAD_END) + len(HEAD_END)
        match self.rng.choice(("whole", "head", "head", "body")):
            case "head":
                return second[: self.rng.randrange(1, head_bytes)]
            case "body":
                return second[: self.rng.randrange(head_bytes, len(second) + 1)]
        return second


class _Answer:
    """One answer of the application, as it is written to the connection."""

    def __init__(self, server: StutteringServer, run: Run, habits: Habits | None):
        self.headers: list[tuple[bytes, bytes]] = []
        self.run = run
        self.sent = bytearray()
        self.closes = False
        self._unsent_head = b""
        self._chunked = False
        self._pieces_until_torn = server.rng.randrange(MAX_PIECES_UNTIL_TORN)
        self._torn = habits is not None and server.chance(habits.torn)
        self._unframed = habits is not None and server.chance(habits.unframed)
        self._error = habits is not None and server.chance(habits.errors)

    def start(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        """Prepare the head, which is sent with the first piece of the body."""
        self.headers = list(headers)
        self.run.stamp = dict(headers).get(b"x-server-stamp", b"")
        if status == HTTPStatus.OK and PLAIN_TYPE in headers:
            if self._error:
                status = HTTPStatus.INTERNAL_SERVER_ERROR
            if self._unframed:
                # Its end could not be told from a cut, so it is never torn.
                self.closes, self._torn = True, False
                self.headers = [
                    item for item in headers if item[0] != b"content-length"
                ]
                self.headers.append((b"connection", b"close"))
        if not self.closes and b"content-length" not in dict(headers):
            self._chunked = True
            self.headers.append((b"transfer-encoding", b"chunked"))
        self.run.status = int(status)
        self._unsent_head = encode_head(status, self.headers)

    def encode(self, chunk: bytes, more: bool) -> bytes:
        """Return a part of the body as it is sent, the first one with the head."""
        self.run.body += chunk
        data = chunk
        if self._chunked:
            data = b"%x\r\n%b\r\n" % (len(chunk), chunk) if chunk else b""
            data = data if more else data + b"0\r\n\r\n"
        data = self._unsent_head + data
        self._unsent_head = b""
        self.sent += data
        return data

    def is_torn_now(self, more: bool) -> bool:
        """Return whether the answer breaks off within this part of it."""
        self._pieces_until_torn -= 1
        return self._torn and (not more or self._pieces_until_torn < 0)

    def ids(self) -> list[tuple[bytes, bytes]]:
        """Return the header that names the request."""
        return [item for item in self.headers if item[0] == b"x-request-id"]


class _TornError(Exception):
    """An answer was cut, and its connection ends."""


class _Connection:
    """One connection, with one request at a time."""

    def __init__(self, server: StutteringServer, stream: trio.SocketStream):
        self._server = server
        self._stream = stream
        self._unread = b""
        self._before_next = b""
        self._spoiled = False

    async def serve_request(self) -> bool:
        """Answer the next request; return whether the connection is kept."""
        request, body = await self._read_request()
        if request is None:
            return False
        headers = [(name, value) for name, value in request.headers]
        habits = self._server.habits
        is_preceded = bool(self._before_next) and habits is not None
        self._spoiled = self._spoiled or is_preceded
        run = Run(self._server.target_id, spoiled=self._spoiled)
        request_id = dict(headers).get(b"x-request-id", b"").decode()
        if request_id:
            self._server.runs_by_request[request_id].append(run)
        if is_preceded:
            await self._stream.send_all(self._before_next)
        self._before_next = b""
        answer = _Answer(self._server, run, habits)
        path, _, query = request.target.partition(b"?")
        scope = {
            "type": "http",
            "method": request.method.decode(),
            "path": path.decode(),
            "query_string": query,
            "headers": headers,
        }
        messages = [{"type": "http.request", "body": body, "more_body": False}]

        async def receive():
            if messages:
                return messages.pop()
            await self._wait_until_closed()
            return {"type": "http.disconnect"}

        async def send(message):
            await self._send(answer, message, habits)

        await self._server.app(scope, receive, send)
        if not run.whole or answer.closes:
            return False
        if habits is not None and self._server.chance(habits.reset):
            run.spoiled = True
            self._stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            return False
        return True

    async def _read_request(self) -> tuple[h11.Request | None, bytes]:
        parser = h11.Connection(h11.SERVER)
        if self._unread:
            parser.receive_data(self._unread)
        request, body = None, bytearray()
        while True:
            match parser.next_event():
                case h11.NEED_DATA:
                    parser.receive_data(await self._stream.receive_some(RECEIVE_BYTES))
                case h11.Request() as request:
                    pass
                case h11.Data(data=data):
                    body += data
                case h11.EndOfMessage():
                    self._unread = parser.trailing_data[0]
                    return request, bytes(body)
                case _:
                    return None, b""

    async def _wait_until_closed(self) -> None:
        try:
            while data := await self._stream.receive_some(RECEIVE_BYTES):
                self._unread += data
        except trio.BrokenResourceError:
            # A reset ends the request like a close.
            return

    async def _send(self, answer: _Answer, message: dict, habits) -> None:
        if message["type"] == "http.response.start":
            answer.start(message["status"], message["headers"])
            return
        more = message.get("more_body", False)
        data = answer.encode(message.get("body", b""), more)
        if answer.is_torn_now(more):
            answer.run.spoiled = True
            await self._stream.send_all(data[: self._server.rng.randrange(len(data))])
            raise _TornError
        if more:
            await self._stream.send_all(data)
            return
        answer.run.whole = True
        if habits is None or answer.closes or not self._server.chance(habits.doubled):
            await self._stream.send_all(data)
            return
        second = self._server.draw_second(answer)
        match self._server.rng.choice(list(When)):
            case When.WITH_FIRST:
                self._spoiled = True
                await self._stream.send_all(data + second)
            case When.LATER:
                self._spoiled = True
                await self._stream.send_all(data)
                await trio.sleep(self._server.rng.uniform(0.0, MAX_LATE_S))
                await self._stream.send_all(second)
            case When.BEFORE_NEXT:
                await self._stream.send_all(data)
                self._before_next = second


def encode_head(status: int, headers: list[tuple[bytes, bytes]]) -> bytes:
    """Return the head of an answer."""
    lines = [f"HTTP/1.1 {status} {HTTPStatus(status).phrase}".encode()]
    lines += [name + b": " + value for name, value in headers]
    return b"\r\n".join([*lines, b"", b""])
