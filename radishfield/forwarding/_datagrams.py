"""The UDP socket between entry hosts, with many datagrams a turn of the event loop.

Load pattern: a host of a large fleet hears over a hundred datagrams a second and
sends twice as many, one at a time.  A turn of the event loop for each costs several
times what reading or writing it does, and is most of what an idle host spends.  So
all datagrams of a moment are read in one turn, and sending takes none.
"""

import socket
from collections.abc import Iterable

import trio

from radishfield.telemetry import log_event
from radishfield.web import split_address

GATHER_S = 0.02
"""Pause in which further datagrams gather: a twelfth of the pause between two
statuses of a host, so that what it tells is hardly older."""
MOST_AT_ONCE = 200
"""Datagrams read in one turn; callers' events must not wait behind a longer row."""


class DatagramSocket:
    """Sends without waiting, and receives what came in a moment together."""

    __slots__ = ("_limit", "_socket", "dropped", "sent_bytes")

    def __init__(self, address: str, limit: int):
        self._limit = limit
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind(split_address(address))
        self.sent_bytes = 0
        self.dropped = 0

    @property
    def address(self) -> tuple[str, int]:
        """Return the address that it is bound to."""
        return self._socket.getsockname()

    def __enter__(self) -> "DatagramSocket":
        return self

    def __exit__(self, *problem) -> None:
        self._socket.close()

    def send(self, data: bytes, addresses: Iterable[tuple[str, int]]) -> None:
        """Send a datagram to each address; one that finds no room is dropped.

        Each datagram is followed by a newer one of the same kind, so a full buffer
        costs less than a task that waits for it.
        """
        for address in addresses:
            try:
                self._socket.sendto(data, address)
                self.sent_bytes += len(data)
            except BlockingIOError:
                self.dropped += 1
            except OSError as problem:
                log_event("peer.unreachable", peer=address[0], detail=str(problem))

    async def receive(self) -> list[bytes]:
        """Wait for datagrams; return all that came, at most `MOST_AT_ONCE`."""
        await trio.lowlevel.wait_readable(self._socket)
        await trio.sleep(GATHER_S)
        received: list[bytes] = []
        for _ in range(MOST_AT_ONCE):
            try:
                received.append(self._socket.recv(self._limit))
            except BlockingIOError:
                break
            except OSError as problem:
                # A host without a listener answers a datagram with an error here.
                log_event("peer.error", detail=str(problem))
        return received
