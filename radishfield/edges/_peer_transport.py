"""Datagrams and connections between entry hosts, on one port number."""

from collections.abc import Awaitable, Callable
from typing import Protocol

import trio

from radishfield.web import split_address

StreamHandler = Callable[[trio.abc.Stream], Awaitable[None]]

_RECEIVE_BYTES = 2_048
# A datagram longer than any frame is truncated here, and fails its MAC.


class PeerTransport(Protocol):
    """The transport that `PeerNetwork` needs; tests use one in memory."""

    async def open(self) -> None:
        """Bind the sockets."""

    def close(self) -> None:
        """Close the sockets."""

    async def send(self, data: bytes, address: str) -> None:
        """Send a datagram; it may be lost without an error."""

    async def receive(self) -> tuple[bytes, str]:
        """Return the next datagram and its sender's address."""

    async def connect(self, address: str) -> trio.abc.Stream:
        """Open a connection; raise `OSError` on failure."""

    async def serve(self, handler: StreamHandler) -> None:
        """Run the handler in a task for each connection, until cancelled."""


class SocketTransport:
    """UDP and TCP sockets bound to one ``ip:port``."""

    __slots__ = ("_address", "_datagrams", "_listeners")

    def __init__(self, address: str):
        self._address = address
        self._datagrams: trio.socket.SocketType | None = None
        self._listeners: list[trio.SocketListener] = []

    @property
    def address(self) -> str:
        """Return ``ip:port`` as bound; port 0 is replaced by the port in use."""
        return self._address

    async def open(self) -> None:
        """Bind both sockets, TCP first; with port 0, UDP uses the port TCP got."""
        host, port = split_address(self._address)
        self._listeners = await trio.open_tcp_listeners(port, host=host)
        bound_port = self._listeners[0].socket.getsockname()[1]
        self._datagrams = trio.socket.socket(
            trio.socket.AF_INET, trio.socket.SOCK_DGRAM
        )
        await self._datagrams.bind((host, bound_port))
        self._address = f"{host}:{bound_port}"

    def close(self) -> None:
        """Close both sockets."""
        if self._datagrams is not None:
            self._datagrams.close()
        for listener in self._listeners:
            listener.socket.close()

    async def send(self, data: bytes, address: str) -> None:
        """Send a datagram; one that the network refuses counts as lost."""
        try:
            await self._datagrams.sendto(data, split_address(address))
        except OSError:
            await trio.lowlevel.checkpoint()

    async def receive(self) -> tuple[bytes, str]:
        """Return the next datagram and its sender's address."""
        while True:
            try:
                data, (host, port) = await self._datagrams.recvfrom(_RECEIVE_BYTES)
            except ConnectionError:
                # An earlier datagram went to a port without a listener.
                continue
            return data, f"{host}:{port}"

    async def connect(self, address: str) -> trio.abc.Stream:
        """Open a TCP connection."""
        host, port = split_address(address)
        return await trio.open_tcp_stream(host, port)

    async def serve(self, handler: StreamHandler) -> None:
        """Accept connections until cancelled."""
        await trio.serve_listeners(handler, self._listeners)
