"""Callers on loopback that send more than a host can hold, each in one form."""

import ssl
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

import trio

from standins.routed_config import HOST_NAME, KEY

SENDING_S = 10.0
"""After this long a caller that cannot send any more counts as having sent all."""
RESOURCE_INTERVAL_S = 0.02
PAGE_BYTES = 4096


@dataclass(slots=True, frozen=True)
class Form:
    """What each caller of a crowd sends, and how.

    Attributes
    ----------
    pieces : callable
        Returns the bytes that are sent, for an id of the request.
    pause_s : float
        Time between two pieces.
    leaves : int
        How often the caller closes its connection and begins again.
    reads : bool
        The caller reads its answer.
    """

    pieces: Callable[[str], Iterator[bytes]]
    pause_s: float = 0.0
    leaves: int = 0
    reads: bool = True


@dataclass(slots=True)
class Crowd:
    """Callers that keep their connections open until they are released.

    Attributes
    ----------
    tls : ssl.SSLContext, optional
        The callers connect with TLS.
    status_by_id : dict of str to int
        Status of the answer to each request that was answered.
    """

    address: str
    form: Form
    callers: int
    tls: ssl.SSLContext | None = None
    status_by_id: dict[str, int] = field(default_factory=dict)
    unsent: int = 0
    outcomes: Counter[str] = field(default_factory=Counter)

    async def run(self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED):
        """Connect and send; report the start once everybody has sent."""
        self.unsent = self.callers
        all_sent = trio.Event()
        async with trio.open_nursery() as nursery:
            for number in range(self.callers):
                nursery.start_soon(self._call, number, nursery, all_sent)
            with trio.move_on_after(SENDING_S):
                await all_sent.wait()
            task_status.started()
            await trio.sleep_forever()

    async def _call(self, number: int, nursery, all_sent: trio.Event) -> None:
        for turn in range(self.form.leaves):
            await self._connect_and_leave(f"c-{number}-{turn}")
        await nursery.start(self._connect_and_stay, f"c-{number}")
        self.unsent -= 1
        if not self.unsent:
            all_sent.set()

    async def _connect_and_leave(self, request_id: str) -> None:
        stream = await self._connect()
        if stream is not None:
            async with stream:
                await self._send(stream, request_id)

    async def _connect_and_stay(self, request_id: str, task_status) -> None:
        """Send, report that, and read until the other end closes."""
        stream = await self._connect()
        if stream is None:
            task_status.started()
            return
        async with stream, trio.open_nursery() as nursery:
            if self.form.reads:
                nursery.start_soon(self._read_status, stream, request_id)
            await self._send(stream, request_id)
            task_status.started()
            await trio.sleep_forever()

    async def _connect(self) -> trio.abc.Stream | None:
        try:
            return await connect(self.address, self.tls)
        except (OSError, trio.BrokenResourceError, trio.TooSlowError):
            self.outcomes["not connected"] += 1
            return None

    async def _send(self, stream, request_id: str) -> None:
        with trio.move_on_after(SENDING_S):
            try:
                for piece in self.form.pieces(request_id):
                    await stream.send_all(piece)
                    await trio.sleep(self.form.pause_s)
                self.outcomes["sent"] += 1
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                self.outcomes["cut off"] += 1

    async def _read_status(self, stream, request_id: str) -> None:
        received = b""
        try:
            while data := await stream.receive_some(4096):
                received = (received + data)[:64]
                if received.startswith(b"HTTP/1.1 100"):
                    received = received.partition(b"\r\n\r\n")[2]
                if received.startswith(b"HTTP/1.1 ") and len(received) > 12:
                    self.status_by_id[request_id] = int(received[9:12])
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return


@dataclass(slots=True)
class ResourceMeter:
    """Peak memory and descriptors of a process that listens on a port.

    Attributes
    ----------
    memory_bytes : int
        Resident memory, with the bytes that wait unread in its sockets.
    descriptors : int
        Open descriptors.
    """

    pid: int
    port: int
    memory_bytes: int = 0
    descriptors: int = 0

    async def run(self) -> None:
        """Measure until cancelled or until the process has ended."""
        while True:
            try:
                self.measure()
            except (FileNotFoundError, ProcessLookupError):
                return
            await trio.sleep(RESOURCE_INTERVAL_S)

    def measure(self) -> None:
        """Measure once."""
        folder = Path("/proc") / str(self.pid)
        pages = int((folder / "statm").read_text().split()[1])
        memory_bytes = pages * PAGE_BYTES + unread_bytes(self.port)
        self.memory_bytes = max(self.memory_bytes, memory_bytes)
        opened = sum(1 for _ in (folder / "fd").iterdir())
        self.descriptors = max(self.descriptors, opened)


def unread_bytes(port: int, at_caller: bool = False) -> int:
    """Return what waits unread in the sockets of a port on this machine.

    Parameters
    ----------
    at_caller : bool
        Count the other ends of the port's connections.
    """
    lines = Path("/proc/net/tcp").read_text().splitlines()[1:]
    rows = [line.split() for line in lines]
    column = 2 if at_caller else 1
    return sum(
        int(row[4].partition(":")[2], 16)
        for row in rows
        if row[column].endswith(f":{port:04X}")
    )


def head(
    request_id: str,
    *lines: str,
    path: str = "/post/x",
    key: str = KEY,
    version: str = "1.1",
) -> bytes:
    """Return the head of a POST request with further lines."""
    fixed = [
        f"POST {path} HTTP/{version}",
        f"Host: {HOST_NAME}",
        f"X-Request-Id: {request_id}",
        "X-Deadline-Ms: 20000",
        f"Authorization: Token {key}",
    ]
    return "\r\n".join([*fixed, *lines, "", ""]).encode()


def counted(size: int, announced: int, pieces: int = 1, **head_options):
    """Return a form's bytes: a body with a length, of which ``size`` bytes are sent."""

    def generate(request_id: str) -> Iterator[bytes]:
        length = f"Content-Length: {announced}"
        yield head(request_id, length, **head_options)
        for number in range(pieces):
            yield bytes(size * (number + 1) // pieces - size * number // pieces)

    return generate


def chunked(size: int, chunk: int, whole: bool = False, **head_options):
    """Return a form's bytes: a body in chunks, with its last chunk only if whole."""

    def generate(request_id: str) -> Iterator[bytes]:
        yield head(request_id, "Transfer-Encoding: chunked", **head_options)
        one = b"%x\r\n%b\r\n" % (chunk, bytes(chunk))
        per_piece = max(1, (64 << 10) // len(one))
        left = size // chunk
        while left > 0:
            yield one * min(left, per_piece)
            left -= per_piece
        if whole:
            yield b"0\r\n\r\n"

    return generate


async def connect(address: str, tls: ssl.SSLContext | None = None) -> trio.abc.Stream:
    """Open a connection, with TLS if a context is given."""
    host, _, port = address.rpartition(":")
    stream = await trio.open_tcp_stream(host, int(port))
    if tls is None:
        return stream
    secured = trio.SSLStream(stream, tls, server_hostname=host, https_compatible=True)
    try:
        with trio.fail_after(SENDING_S):
            await secured.do_handshake()
    except BaseException:
        await trio.aclose_forcefully(secured)
        raise
    return secured


async def ask(
    address: str, request: bytes, tls: ssl.SSLContext | None = None
) -> tuple[int, bytes]:
    """Send a request over a new connection; return the final status and the body.

    The request must ask for the connection to be closed.
    """
    received = b""
    async with await connect(address, tls) as stream:
        await stream.send_all(request)
        try:
            while data := await stream.receive_some():
                received += data
        except trio.BrokenResourceError:
            pass
    if received.startswith(b"HTTP/1.1 100"):
        received = received.partition(b"\r\n\r\n")[2]
    start, _, body = received.partition(b"\r\n\r\n")
    return (int(start[9:12]) if start.startswith(b"HTTP/1.1 ") else 0), body
