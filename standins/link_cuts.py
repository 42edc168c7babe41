"""Cuts the links between hosts and targets that run in one process.

A cut acts below the HTTP library, on the sockets that a host opens to the targets'
ports, so that everything the host does over its links is cut.  The host of a socket is
the one in whose tasks it connects.
"""

import weakref
from collections.abc import Iterable
from contextlib import contextmanager
from contextvars import ContextVar
from dataclasses import dataclass, field
from enum import StrEnum

import trio

current_host: ContextVar[str] = ContextVar("current_host", default="")
"""The host in whose tasks the code runs; empty for targets, callers and tests."""


class NewConnections(StrEnum):
    """What happens to connections that are opened during a cut."""

    HANG = "hang"
    REFUSED = "refused"


class OpenConnections(StrEnum):
    """What happens to connections that were open when a cut began."""

    HANG = "hang"
    RESET = "reset"
    WORK = "work"


@dataclass(slots=True, frozen=True)
class Cut:
    """A cut of a host's links to the targets at some ports."""

    new: NewConnections
    open: OpenConnections
    ports: frozenset[int]


@dataclass(slots=True)
class LinkCuts:
    """The cuts that are in force, by host."""

    cut_by_host: dict[str, Cut] = field(default_factory=dict)
    _changed: trio.Event = field(default_factory=trio.Event)
    _link_by_socket: weakref.WeakKeyDictionary = field(
        default_factory=weakref.WeakKeyDictionary
    )

    def cut(
        self,
        hosts: Iterable[str],
        ports: Iterable[int],
        new: NewConnections,
        open_ones: OpenConnections,
    ) -> None:
        """Cut the links of hosts to the targets at these ports."""
        cut = Cut(new, open_ones, frozenset(ports))
        self.cut_by_host |= dict.fromkeys(hosts, cut)
        self._notify()
        if cut.open is OpenConnections.RESET:
            for sock, link in list(self._link_by_socket.items()):
                if self._cut_of(link) is cut and sock.fileno() >= 0:
                    trio.lowlevel.notify_closing(sock)

    def restore(self) -> None:
        """End all cuts; what hung goes on."""
        self.cut_by_host.clear()
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    def _cut_of(self, link: tuple[str, int] | None) -> Cut | None:
        if link is None:
            return None
        host, port = link
        cut = self.cut_by_host.get(host)
        return cut if cut is not None and port in cut.ports else None

    async def _pass_connect(self, sock, address) -> None:
        """Return once a new connection may be opened."""
        link = (current_host.get(), address[1])
        if not link[0]:
            return
        while (cut := self._cut_of(link)) is not None:
            if cut.new is NewConnections.REFUSED:
                raise ConnectionRefusedError("cut")
            await self._changed.wait()
        self._link_by_socket[sock] = link

    async def _pass_open(self, sock) -> None:
        """Return once an open connection may be used."""
        link = self._link_by_socket.get(sock)
        while (cut := self._cut_of(link)) is not None:
            if cut.open is OpenConnections.WORK:
                return
            if cut.open is OpenConnections.RESET:
                raise ConnectionResetError("cut")
            await self._changed.wait()

    async def _receive(self, sock, receive, *args) -> bytes:
        """Return bytes that arrived, once the link lets them through."""
        try:
            data = await receive(sock, *args)
        except trio.ClosedResourceError:
            # The cut has woken the receiver; without a cut the socket is closed.
            await self._pass_open(sock)
            raise
        await self._pass_open(sock)
        return data

    @contextmanager
    def installed(self):
        """Let cuts act on the sockets of this process."""
        sample = trio.socket.socket()
        socket_class = type(sample)
        sample.close()
        connect, receive, send = (
            socket_class.connect,
            socket_class.recv,
            socket_class.send,
        )

        async def connect_if_linked(sock, address):
            await self._pass_connect(sock, address)
            return await connect(sock, address)

        async def receive_if_linked(sock, *args):
            return await self._receive(sock, receive, *args)

        async def send_if_linked(sock, *args):
            await self._pass_open(sock)
            return await send(sock, *args)

        socket_class.connect = connect_if_linked
        socket_class.recv = receive_if_linked
        socket_class.send = send_if_linked
        try:
            yield self
        finally:
            socket_class.connect = connect
            socket_class.recv = receive
            socket_class.send = send
