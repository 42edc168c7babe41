"""A stand-in target that sends bytes which nobody asked for on kept connections.

A request says by its headers what the target does after the answer: how many bytes of a
second answer to the same request it sends, and when.
"""

from dataclasses import dataclass, field
from enum import StrEnum

import trio

LATER_S = 0.03
NOT_FOUND = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
PHRASES = {200: b"OK", 500: b"Internal Server Error"}


class Moment(StrEnum):
    """When the bytes of the second answer are sent."""

    TOGETHER = "together"
    LATER = "later"
    NEXT = "next"
    """Right before the answer to the next request over the connection."""


@dataclass(slots=True)
class StutteringTarget:
    """A target whose every run has a stamp and a body of its own.

    Attributes
    ----------
    statuses_by_stamp : dict
        Status of the answer to each run.
    runs_by_id : dict
        Stamps of the runs of each request.
    reused : int
        Requests that arrived over a connection that was used before.
    """

    id: str
    chunked: bool = False
    address: str = ""
    statuses_by_stamp: dict[str, int] = field(default_factory=dict)
    runs_by_id: dict[str, list[str]] = field(default_factory=dict)
    reused: int = 0

    async def serve(self, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED):
        """Serve connections until cancelled."""
        async with trio.open_nursery() as nursery:
            (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
            port = listener.socket.getsockname()[1]
            self.address = f"127.0.0.1:{port}"
            task_status.started(self.address)
            await trio.serve_listeners(
                self._serve_connection, [listener], handler_nursery=nursery
            )

    def answer(self, request_id: str, stamp: str, status: int = 200) -> bytes:
        """Return the bytes of an answer."""
        body = f"body of {stamp}".encode()
        framing = b"Content-Length: %d" % len(body)
        if self.chunked:
            framing = b"Transfer-Encoding: chunked"
            body = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
        head = [
            b"HTTP/1.1 %d %s" % (status, PHRASES[status]),
            b"Content-Type: text/plain",
            b"X-Request-Id: " + request_id.encode(),
            b"X-Server-Stamp: " + stamp.encode(),
            framing,
        ]
        return b"\r\n".join(head) + b"\r\n\r\n" + body

    async def _serve_connection(self, stream: trio.SocketStream) -> None:
        late = b""
        served = 0
        try:
            while (headers := await _read_request(stream)) is not None:
                self.reused += served > 0
                served += 1
                late = await self._answer(stream, headers, late)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return

    async def _answer(
        self, stream: trio.SocketStream, headers: dict[str, str], late: bytes
    ) -> bytes:
        """Answer a request; return the bytes to send before the next answer."""
        request_id = headers.get("x-request-id")
        if request_id is None:
            # A report is asked for of a target that has failed.
            await stream.send_all(late + NOT_FOUND)
            return b""
        status = int(headers.get("x-play-status", "200"))
        stamp = f"{self.id}.{len(self.statuses_by_stamp)}"
        self.statuses_by_stamp[stamp] = status
        self.runs_by_id.setdefault(request_id, []).append(stamp)
        answer = self.answer(request_id, stamp, status)
        second = self.answer(request_id, stamp)[: int(headers.get("x-play-extra", 0))]
        moment = headers.get("x-play-moment")
        if moment == Moment.TOGETHER:
            answer += second
        await stream.send_all(late + answer)
        if moment == Moment.LATER:
            await trio.sleep(LATER_S)
            await stream.send_all(second)
        return second if moment == Moment.NEXT else b""


async def _read_request(stream: trio.SocketStream) -> dict[str, str] | None:
    """Return the headers of the next request; None at the connection's end."""
    received = b""
    while b"\r\n\r\n" not in received:
        data = await stream.receive_some(65536)
        if not data:
            return None
        received += data
    head, _, body = received.partition(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")[1:]
    headers = {
        name.lower(): value.strip()
        for name, _, value in (line.partition(":") for line in lines)
    }
    while len(body) < int(headers.get("content-length", 0)):
        body += await stream.receive_some(65536)
    return headers
