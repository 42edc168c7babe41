"""Byte streams to targets, as the HTTP library uses them."""

import math
import os
import socket
from collections.abc import Awaitable, Callable
from contextlib import closing

import httpcore
import trio
from expression import Error, Ok, Result

from radishfield.core import Fault, ResultCode, fault
from radishfield.relay._frames import CHUNK, MAX_CHUNK_BYTES
from radishfield.web import split_address

SEND_TIMEOUT_MS = 2500
"""Time after which the kernel closes a connection with unacknowledged bytes, and one
whose keep-alive probes are not answered."""
KEEPALIVE_IDLE_S, KEEPALIVE_INTERVAL_S, KEEPALIVE_PROBES = 1, 1, 2
RECEIVE_BUFFER_BYTES = 16 << 10
"""What the kernel may hold unread of a connection.  Its bytes are passed on as quickly
as their receiver reads, and count as this process's until then."""
MAX_PEEKED_BYTES = 4096
"""Bytes beyond an answer that are counted at most."""
RESET_ON_CLOSE = b"\x01\x00\x00\x00\x00\x00\x00\x00"
"""``struct linger`` with a time of 0: closing the socket resets the connection."""

_SOCKET_OPTIONS = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SEND_TIMEOUT_MS),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
]
END_FRAME = CHUNK.pack(0)
"""What a relaying host sends once the target has closed in good order."""
BROKEN_STREAM_ERRORS = (trio.BrokenResourceError, trio.ClosedResourceError, OSError)


def limit_receive_buffer(opened: trio.socket.SocketType) -> None:
    """Let the kernel hold little of a connection, or of those that are accepted.

    It determines the window that the kernel offers when a connection opens, so it is
    set before that.
    """
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)


def set_socket_options(stream: trio.SocketStream) -> None:
    """Let the kernel close a connection whose other end is gone."""
    for option in _SOCKET_OPTIONS:
        stream.setsockopt(*option)


async def connect(host: str, port: int) -> trio.SocketStream:
    """Connect to an IPv4 address.

    Raises
    ------
    OSError
        The connection was refused, or there is no way to the address.
    """
    opened = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        limit_receive_buffer(opened)
        await opened.connect((host, port))
        stream = trio.SocketStream(opened)
        set_socket_options(stream)
    except BaseException:
        opened.close()
        raise
    return stream


async def open_direct(
    address: str, limit_s: float = math.inf
) -> Result[trio.SocketStream, Fault]:
    """Connect to a target over this host's own link.

    The fault is ``CONNECT_FAILED`` if the connection was refused, ``STREAM_SILENT`` if
    there was no answer in time, which proves nothing of the target.
    """
    try:
        with trio.move_on_after(limit_s):
            return Ok(await connect(*split_address(address)))
    except OSError as problem:
        return Error(fault(ResultCode.CONNECT_FAILED, repr(problem)))
    return Error(fault(ResultCode.STREAM_SILENT, f"no connection in {limit_s} s"))


async def receive_exactly(stream: trio.SocketStream, size: int) -> bytes:
    """Return this many bytes.

    Raises
    ------
    trio.BrokenResourceError
        The connection ends before.
    """
    received = bytearray()
    while len(received) < size:
        data = await stream.receive_some(size - len(received))
        if not data:
            raise trio.BrokenResourceError(f"ended after {len(received)} bytes")
        received += data
    return bytes(received)


class RelayedStream:
    """A connection to a target through another host, whose frames it removes."""

    __slots__ = ("_buffer", "_ended", "_left", "_stream")

    def __init__(self, stream: trio.SocketStream):
        self._buffer = bytearray()
        self._ended = False
        self._left = 0
        self._stream = stream

    @property
    def socket(self) -> trio.socket.SocketType:
        """Return the socket to the other host."""
        return self._stream.socket

    def has_buffered(self) -> bool:
        """Return whether bytes have been received that were not asked for."""
        return bool(self._buffer)

    @property
    def buffered(self) -> bytes:
        """Return the bytes received and not yet read, frames included."""
        return bytes(self._buffer)

    async def receive_some(self, max_bytes: int = MAX_CHUNK_BYTES) -> bytes:
        """Return the target's next bytes; empty once the target closed."""
        while not self._ended:
            if self._left and self._buffer:
                size = min(max_bytes, self._left, len(self._buffer))
                data = bytes(self._buffer[:size])
                del self._buffer[:size]
                self._left -= size
                return data
            if not self._left and len(self._buffer) >= CHUNK.size:
                (self._left,) = CHUNK.unpack_from(self._buffer)
                del self._buffer[: CHUNK.size]
                self._ended = self._left == 0
                continue
            received = await self._stream.receive_some(MAX_CHUNK_BYTES)
            if not received:
                raise trio.BrokenResourceError("the relaying host ended")
            self._buffer += received
        return b""

    async def send_all(self, data: bytes) -> None:
        """Send bytes to the target."""
        await self._stream.send_all(data)

    async def aclose(self) -> None:
        """Close the connection, at the target too."""
        await self._stream.aclose()


class TargetStream(httpcore.AsyncNetworkStream):
    """Adapts a connection to a target to the HTTP library."""

    def __init__(self, stream: trio.SocketStream | RelayedStream):
        self._send_failed = False
        self._stream = stream
        self.before_read: Callable[[], Awaitable[None]] | None = None
        """Called before each read, once all bytes read so far have been used."""

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return the next bytes; empty at the end."""
        if self.before_read is not None:
            await self.before_read()
        try:
            if timeout is None:
                # A stream has hundreds of events, and a scope for each read takes a
                # tenth of a host's time.
                return await self._receive(max_bytes)
            with trio.fail_after(timeout):
                return await self._receive(max_bytes)
        except trio.TooSlowError as problem:
            raise httpcore.ReadTimeout(problem) from problem
        except BROKEN_STREAM_ERRORS as problem:
            raise httpcore.ReadError(problem) from problem

    async def _receive(self, max_bytes: int) -> bytes:
        if isinstance(self._stream, trio.SocketStream):
            # The next event has rarely arrived already.  A read without a wait would
            # fail for each event, and be repeated after the wait.
            await trio.lowlevel.wait_readable(self._stream.socket)
        data = await self._stream.receive_some(max_bytes)
        if not data and self._send_failed:
            # The failed send took in the reset, which then reads like an end.
            raise trio.BrokenResourceError("the connection was reset")
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Send bytes."""
        try:
            with trio.fail_after(math.inf if timeout is None else timeout):
                await self._stream.send_all(buffer)
        except trio.TooSlowError as problem:
            raise httpcore.WriteTimeout(problem) from problem
        except BROKEN_STREAM_ERRORS as problem:
            self._send_failed = True
            raise httpcore.WriteError(problem) from problem

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()

    def unread_bytes(self) -> int:
        """Return how many bytes arrived that were not read, up to a limit.

        An end of the connection is no byte.
        """
        peeked = _peek(self._stream.socket)
        if isinstance(self._stream, RelayedStream):
            unread = self._stream.buffered + peeked
            return 0 if unread == END_FRAME else len(unread)
        return len(peeked)

    def get_extra_info(self, info: str) -> object:
        """Return what the HTTP library asks about an idle connection."""
        if info == "is_readable":
            buffered = isinstance(self._stream, RelayedStream) and (
                self._stream.has_buffered()
            )
            return buffered or self._stream.socket.is_readable()
        return self._stream.socket if info == "socket" else None


def _peek(stream_socket: trio.socket.SocketType) -> bytes:
    """Return bytes that arrived and were not read, and leave them; empty if unknown."""
    try:
        if stream_socket.fileno() < 0 or not stream_socket.is_readable():
            return b""
        with closing(socket.socket(fileno=os.dup(stream_socket.fileno()))) as raw:
            return raw.recv(MAX_PEEKED_BYTES, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except OSError:
        # Descriptors are short, or the connection is broken.
        return b""
