"""Datagrams and connections between entry hosts, in memory, with faults.

One `MemoryNetwork` joins the transports of many hosts in one process.  It cuts
links, loses datagrams and delays them, in whatever time trio runs.
"""

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import trio
import trio.testing

QUEUE_LENGTH = 4_096


@dataclass(slots=True)
class NetworkFaults:
    """Switches: lost share of datagrams, delay, cut pairs, silent addresses."""

    lost_share: float = 0.0
    delay_s: float = 0.0005
    is_cut: Callable[[str, str], bool] = lambda one, other: False
    silent: set[str] = field(default_factory=set)
    lag_s_by_address: dict[str, float] = field(default_factory=dict)


class MemoryNetwork:
    """Joins the transports of many hosts."""

    __slots__ = ("_chance", "faults", "transport_by_address")

    def __init__(self, seed: int = 1):
        self._chance = random.Random(seed)
        self.faults = NetworkFaults()
        self.transport_by_address: dict[str, MemoryTransport] = {}

    def transport(self, address: str) -> "MemoryTransport":
        """Return a new transport for an address; a former one is replaced."""
        return MemoryTransport(self, address)

    def find(self, sender: str, address: str) -> "MemoryTransport | None":
        """Return the transport at an address, if it can be reached."""
        faults = self.faults
        if {sender, address} & faults.silent or faults.is_cut(sender, address):
            return None
        return self.transport_by_address.get(address)

    def deliver(self, data: bytes, sender: str, address: str) -> None:
        """Put a datagram on its way; it may be lost."""
        receiver = self.find(sender, address)
        if receiver is None or self._chance.random() < self.faults.lost_share:
            return
        lag_s = self.faults.delay_s + self.faults.lag_s_by_address.get(address, 0.0)
        due = trio.current_time() + lag_s
        try:
            receiver.inbox_in.send_nowait((due, data, sender))
        except (trio.WouldBlock, trio.BrokenResourceError):
            return


class MemoryTransport:
    """A `PeerTransport` on a `MemoryNetwork`."""

    __slots__ = (
        "_inbox_out",
        "_network",
        "_streams_out",
        "address",
        "inbox_in",
        "streams_in",
    )

    def __init__(self, network: MemoryNetwork, address: str):
        self._network = network
        self.address = address

        self.inbox_in, self._inbox_out = trio.open_memory_channel(QUEUE_LENGTH)
        self.streams_in, self._streams_out = trio.open_memory_channel(QUEUE_LENGTH)

    async def open(self) -> None:
        """Become reachable."""
        self._network.transport_by_address[self.address] = self

    def close(self) -> None:
        """Be reachable no more."""
        if self._network.transport_by_address.get(self.address) is self:
            del self._network.transport_by_address[self.address]

    async def send(self, data: bytes, address: str) -> None:
        """Send a datagram, which may be lost."""
        await trio.lowlevel.checkpoint()
        self._network.deliver(data, self.address, address)

    async def receive(self) -> tuple[bytes, str]:
        """Return the next datagram once its delay is over."""
        due, data, sender = await self._inbox_out.receive()
        await trio.sleep(max(0.0, due - trio.current_time()))
        return data, sender

    async def connect(self, address: str) -> trio.abc.Stream:
        """Open a connection in memory."""
        await trio.sleep(self._network.faults.delay_s)
        receiver = self._network.find(self.address, address)
        if receiver is None:
            raise ConnectionRefusedError(address)
        near, far = trio.testing.memory_stream_pair()
        receiver.streams_in.send_nowait(
            CuttableStream(far, self._network, address, self.address)
        )
        return CuttableStream(near, self._network, self.address, address)

    async def serve(
        self, handler: Callable[[trio.abc.Stream], Awaitable[None]]
    ) -> None:
        """Run the handler in a task for each connection."""
        async with trio.open_nursery() as nursery:
            async for stream in self._streams_out:
                nursery.start_soon(handler, stream)


class CuttableStream(trio.abc.Stream):
    """A connection that falls silent, without an error, while its link is cut."""

    __slots__ = ("_far", "_near", "_network", "_stream")

    def __init__(
        self, stream: trio.StapledStream, network: MemoryNetwork, near: str, far: str
    ):
        self._stream = stream
        self._network = network
        self._near = near
        self._far = far

    async def send_all(self, data: bytes) -> None:
        """Send, or drop what the cut link would."""
        if self._network.find(self._near, self._far) is None:
            await trio.lowlevel.checkpoint()
            return
        await self._stream.send_all(data)

    async def wait_send_all_might_not_block(self) -> None:
        """Wait until sending would not block."""
        await self._stream.wait_send_all_might_not_block()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Receive what came through."""
        return await self._stream.receive_some(max_bytes)

    async def aclose(self) -> None:
        """Close this end."""
        await self._stream.aclose()
