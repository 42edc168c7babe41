"""A stand-in target whose answers have neither a length nor chunks.

Such an answer ends with its connection.  The connection is closed in order, which ends
the answer, or reset, which breaks it off.
"""

import socket
import struct
from dataclasses import dataclass, field
from enum import StrEnum

import h11
import trio

RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class End(StrEnum):
    """How the connection of an answer ends."""

    CLOSE = "close"
    RESET = "reset"


@dataclass(slots=True)
class UnframedTarget:
    """A target that sends bodies without a length, one on each connection.

    Attributes
    ----------
    bodies : list of tuple
        Body and end of the next answers, one each; after them ``usual`` is sent.
    resumed_after : list of bytes
        The last event that each request names, in their order.
    """

    id: str
    usual: bytes
    content_type: bytes
    address: str = ""
    bodies: list[tuple[bytes, End]] = field(default_factory=list)
    resumed_after: list[bytes] = field(default_factory=list)

    async def serve(self, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED):
        """Serve connections until cancelled."""
        async with trio.open_nursery() as nursery:
            (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
            port = listener.socket.getsockname()[1]
            self.address = f"127.0.0.1:{port}"
            task_status.started(self.address)
            await trio.serve_listeners(
                self._answer, [listener], handler_nursery=nursery
            )

    async def _answer(self, stream: trio.SocketStream) -> None:
        connection = h11.Connection(h11.SERVER)
        request = None
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                connection.receive_data(await stream.receive_some(65536))
            elif isinstance(event, h11.Request):
                request = event
            elif isinstance(event, h11.EndOfMessage):
                break
            elif isinstance(event, h11.ConnectionClosed):
                await stream.aclose()
                return
        headers = dict(request.headers)
        if headers.get(b"x-expect-instance") != self.id.encode():
            await stream.send_all(b"HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n")
            await stream.aclose()
            return
        self.resumed_after.append(headers.get(b"last-event-id", b""))
        body, end = self.bodies.pop(0) if self.bodies else (self.usual, End.CLOSE)
        head = [
            b"HTTP/1.1 200 OK",
            b"Content-Type: " + self.content_type,
            b"X-Request-Id: " + headers.get(b"x-request-id", b""),
            b"X-Server-Stamp: " + self.id.encode(),
        ]
        await stream.send_all(b"\r\n".join(head) + b"\r\n\r\n" + body)
        await trio.sleep(0.1)
        if end is End.RESET:
            stream.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
            stream.socket.close()
            return
        await stream.aclose()
