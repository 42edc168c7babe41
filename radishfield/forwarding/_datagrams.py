"""The UDP socket between entry hosts; reads many datagrams in one event loop turn.

A host of a large fleet receives over a hundred datagrams a second, one at a time,
and sends twice as many.  A turn of the event loop for each of them costs several
times as much as reading or writing it, and is most of the load of an idle host.
Therefore all datagrams that arrived since the last tick are read in one turn, which
other periodic tasks share, and sending takes none.
"""

import socket
from collections.abc import Iterable

from radishfield.core import sleep_to_tick
from radishfield.telemetry import log_event
from radishfield.web import split_address

READ_INTERVAL_S = 0.05
"""Pause between two reads: a fifth of the interval between two statuses of a host, so
that the reported state is hardly older."""
MAX_DATAGRAMS = 200
"""Maximum number of datagrams read in one turn; a longer batch would delay the
events for callers."""


class DatagramSocket:
    """Sends without waiting, and receives datagrams in batches."""

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
        """Return the address to which the socket is bound."""
        return self._socket.getsockname()

    def __enter__(self) -> "DatagramSocket":
        return self

    def __exit__(self, *problem) -> None:
        self._socket.close()

    def send(self, data: bytes, addresses: Iterable[tuple[str, int]]) -> None:
        """Send a datagram to each address; drop those that the send buffer can't take.

        Each datagram is soon followed by a newer one of the same kind, so dropping
        it costs less than a task that waits for buffer space.
        """
        for address in addresses:
            try:
                self._socket.sendto(data, address)
                self.sent_bytes += len(data)
            except BlockingIOError:
                self.dropped += 1
            except (OSError, ValueError, OverflowError) as problem:
                # An address of another program may be none that sockets take.
                log_event("peer.unreachable", peer=address[0], detail=str(problem))

    async def receive(self) -> list[bytes]:
        """Wait for datagrams and return them, at most `MAX_DATAGRAMS`."""
        received: list[bytes] = []
        while not received:
            await sleep_to_tick(READ_INTERVAL_S)
            received = self.read_waiting()
        return received

    def read_waiting(self) -> list[bytes]:
        """Return the datagrams that have arrived, at most `MAX_DATAGRAMS`."""
        received: list[bytes] = []
        for _ in range(MAX_DATAGRAMS):
            try:
                received.append(self._socket.recv(self._limit))
            except BlockingIOError:
                break
            except OSError as problem:
                # An earlier datagram to a host without a listener is reported as
                # an error of this call.
                log_event("peer.error", detail=str(problem))
        return received
