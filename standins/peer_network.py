"""In-memory datagrams and connections between entry hosts, with faults.

One `MemoryNetwork` connects the transports of many hosts in one process.  It
disconnects links and drops and delays datagrams, in trio's real or virtual time.
"""

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import trio
import trio.testing

QUEUE_LENGTH = 4_096


@dataclass(slots=True)
class NetworkFaults:
    """Active faults: datagram loss, delays, disconnected pairs, silent addresses."""

    lost_share: float = 0.0
    delay_s: float = 0.0005
    is_partitioned: Callable[[str, str], bool] = lambda one, other: False
    silent: set[str] = field(default_factory=set)
    lag_s_by_address: dict[str, float] = field(default_factory=dict)


class MemoryNetwork:
    """Connects the transports of many hosts."""

    __slots__ = ("_rng", "faults", "transport_by_address")

    def __init__(self, seed: int = 1):
        self._rng = random.Random(seed)
        self.faults = NetworkFaults()
        self.transport_by_address: dict[str, MemoryTransport] = {}

    def transport(self, address: str) -> "MemoryTransport":
        """Return a new transport, which replaces an earlier one when it opens."""
        return MemoryTransport(self, address)

    def find(self, sender: str, address: str) -> "MemoryTransport | None":
        """Return the transport at an address, if it can be reached."""
        faults = self.faults
        if {sender, address} & faults.silent or faults.is_partitioned(sender, address):
            return None
        return self.transport_by_address.get(address)

    def deliver(self, data: bytes, sender: str, address: str) -> None:
        """Queue a datagram for delivery, unless it is lost."""
        receiver = self.find(sender, address)
        if receiver is None or self._rng.random() < self.faults.lost_share:
            return
        lag_s = self.faults.delay_s + self.faults.lag_s_by_address.get(address, 0.0)
        due = trio.current_time() + lag_s
        try:
            receiver.inbox_sender.send_nowait((due, data, sender))
        except (trio.WouldBlock, trio.BrokenResourceError):
            return


class MemoryTransport:
    """A `PeerTransport` on a `MemoryNetwork`."""

    __slots__ = (
        "_inbox_receiver",
        "_network",
        "_stream_receiver",
        "address",
        "inbox_sender",
        "stream_sender",
    )

    def __init__(self, network: MemoryNetwork, address: str):
        self._network = network
        self.address = address

        self.inbox_sender, self._inbox_receiver = trio.open_memory_channel(QUEUE_LENGTH)
        self.stream_sender, self._stream_receiver = trio.open_memory_channel(
            QUEUE_LENGTH
        )

    async def open(self) -> None:
        """Make this address reachable."""
        self._network.transport_by_address[self.address] = self

    def close(self) -> None:
        """Make this address unreachable, unless a newer transport has replaced it."""
        if self._network.transport_by_address.get(self.address) is self:
            del self._network.transport_by_address[self.address]

    async def send(self, data: bytes, address: str) -> None:
        """Send a datagram, which may be lost."""
        await trio.lowlevel.checkpoint()
        self._network.deliver(data, self.address, address)

    async def receive(self) -> tuple[bytes, str]:
        """Return the next datagram once its delay is over."""
        due, data, sender = await self._inbox_receiver.receive()
        await trio.sleep(max(0.0, due - trio.current_time()))
        return data, sender

    async def connect(self, address: str) -> trio.abc.Stream:
        """Open a connection in memory."""
        await trio.sleep(self._network.faults.delay_s)
        receiver = self._network.find(self.address, address)
        if receiver is None:
            raise ConnectionRefusedError(address)
        near, far = trio.testing.memory_stream_pair()
        receiver.stream_sender.send_nowait(
            PartitionableStream(far, self._network, address, self.address)
        )
        return PartitionableStream(near, self._network, self.address, address)

    async def serve(
        self, handler: Callable[[trio.abc.Stream], Awaitable[None]]
    ) -> None:
        """Run the handler in a task for each connection."""
        async with trio.open_nursery() as nursery:
            async for stream in self._stream_receiver:
                nursery.start_soon(handler, stream)


class PartitionableStream(trio.abc.Stream):
    """A connection that drops sent data, without an error, while disconnected."""

    __slots__ = ("_far", "_near", "_network", "_stream")

    def __init__(
        self, stream: trio.StapledStream, network: MemoryNetwork, near: str, far: str
    ):
        self._stream = stream
        self._network = network
        self._near = near
        self._far = far

    async def send_all(self, data: bytes) -> None:
        """Send the data, or drop it if the link is disconnected."""
        if self._network.find(self._near, self._far) is None:
            await trio.lowlevel.checkpoint()
            return
        await self._stream.send_all(data)

    async def wait_send_all_might_not_block(self) -> None:
        """Wait until sending would not block."""
        await self._stream.wait_send_all_might_not_block()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Receive data that was not dropped."""
        return await self._stream.receive_some(max_bytes)

    async def aclose(self) -> None:
        """Close this end."""
        await self._stream.aclose()
