"""A stand-in target that sends exactly the bytes that a test chooses.

It reads requests by their length and answers none by itself, so that a test can send
bytes that belong to no request, at any place of a connection.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import h11
import trio

RECEIVE_BYTES = 65536


@dataclass(slots=True)
class ReceivedRequest:
    """A request that a scripted target received.

    Attributes
    ----------
    connection : int
        Number of the connection on which it came, from 1.
    """

    connection: int
    method: str
    path: str
    headers: dict[bytes, bytes]
    body: bytes


def answer_bytes(status: int, body: bytes = b"", **headers: str) -> bytes:
    """Return a whole answer; underscores in names of headers stand for hyphens."""
    lines = [b"HTTP/1.1 %d Any" % status, b"Content-Length: %d" % len(body)]
    lines += [
        f"{name.replace('_', '-')}: {value}".encode("latin-1")
        for name, value in headers.items()
    ]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


@dataclass(slots=True)
class ScriptedTarget:
    """A target whose answers a test writes byte by byte.

    Attributes
    ----------
    answer : callable
        Returns the bytes that are sent once a request has been received.
    on_connect : bytes
        Sent as soon as a connection is open.
    """

    id: str
    answer: Callable[[ReceivedRequest], bytes]
    on_connect: bytes = b""
    address: str = ""
    received: list[ReceivedRequest] = field(default_factory=list)
    streams: list[trio.SocketStream] = field(default_factory=list)

    async def serve(self, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED):
        """Serve connections until cancelled."""
        async with trio.open_nursery() as nursery:
            (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
            self.address = f"127.0.0.1:{listener.socket.getsockname()[1]}"
            task_status.started(self.address)
            await trio.serve_listeners(self._serve, [listener], handler_nursery=nursery)

    def connections_of(self, path: str) -> list[int]:
        """Return the connections on which the requests to a path came."""
        return [item.connection for item in self.received if item.path == path]

    async def _serve(self, stream: trio.SocketStream) -> None:
        self.streams.append(stream)
        number = len(self.streams)
        try:
            if self.on_connect:
                await stream.send_all(self.on_connect)
            async with stream:
                await self._answer_all(number, stream)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # The other end closed while this one was sending.
            return

    async def _answer_all(self, number: int, stream: trio.SocketStream) -> None:
        received = b""
        while True:
            connection = h11.Connection(h11.SERVER)
            if received:
                connection.receive_data(received)
            request = await _read_request(connection, stream.receive_some)
            if request is None:
                return
            head, body = request
            received = connection.trailing_data[0]
            item = ReceivedRequest(
                number,
                head.method.decode(),
                head.target.decode(),
                dict(head.headers),
                body,
            )
            self.received.append(item)
            await stream.send_all(self.answer(item))


async def _read_request(
    connection: h11.Connection, receive: Callable[[int], Awaitable[bytes]]
) -> tuple[h11.Request, bytes] | None:
    """Return the next request and its body; None at the end of the connection."""
    head, body = None, b""
    while True:
        event = connection.next_event()
        match event:
            case h11.Request():
                head = event
            case h11.Data():
                body += bytes(event.data)
            case h11.EndOfMessage():
                return head, body
            case h11.ConnectionClosed():
                return None
            case _:
                connection.receive_data(await receive(RECEIVE_BYTES))
