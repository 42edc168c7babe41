"""Calls and latency of three ways to claim an idempotency key, on fakes.

Time is virtual: a call to a peer in another zone takes a millisecond there and
back, a call to the platform's store four.  The CPU figure is real.
"""

import time
import tracemalloc
from dataclasses import dataclass

import trio
import trio.testing
from expression import Error

from radishfield.core import Member, ResultCode, TrioClock, fault
from radishfield.fleet import Claims, KeeperStart, KnownHost
from radishfield.fleet._claims_book import ClaimBook, ClaimRecord

PEER_S = 0.001
PLATFORM_S = 0.004
ZONES = ("a", "b", "c")
KEYS = 300


@dataclass(slots=True, frozen=True)
class ClaimCost:
    """Per keyed request: claim and the note of its end."""

    peer_asks: float
    platform_writes: float
    claim_ms: float
    end_ms: float
    cpu_us: float


class CountedPeers:
    """Peers in one process; counts questions."""

    __slots__ = ("fleet", "host", "handlers_by_topic")

    def __init__(self, fleet: "CountedFleet", host: KnownHost):
        self.fleet = fleet
        self.host = host
        self.handlers_by_topic = {}

    def members(self):
        """Return every host."""
        hosts = (each.host for each in self.fleet.peers_by_id.values())
        return [Member(host.id, host.zone, "", 1) for host in hosts]

    def answer(self, topic, handler):
        """Register a handler."""
        self.handlers_by_topic[topic] = handler

    async def ask(self, member_id, topic, payload, timeout_s):
        """Ask after the time that a round trip takes."""
        self.fleet.asks += 1
        await trio.sleep(PEER_S)
        other = self.fleet.peers_by_id.get(member_id)
        if other is None:
            await trio.sleep(timeout_s)
            return Error(fault(ResultCode.PEER_UNREACHABLE))
        return await other.handlers_by_topic[topic](self.host.id, payload)


class CountedFleet:
    """Hosts with claims, all of them founders."""

    __slots__ = ("asks", "claims", "peers_by_id")

    def __init__(self, size: int):
        self.asks = 0
        self.peers_by_id = {}
        hosts = [KnownHost(f"h{number}", ZONES[number % 3]) for number in range(size)]
        self.claims = []
        for host in hosts:
            peers = CountedPeers(self, host)
            self.peers_by_id[host.id] = peers
            claims = Claims(peers, TrioClock(), KeeperStart(host, 1, 0.0))
            claims.become_founder(hosts)
            self.claims.append(claims)


class StoreWrites:
    """A claim as a conditional write, and a write of its end."""

    __slots__ = ("writes",)

    def __init__(self):
        self.writes = 0

    async def write(self) -> None:
        """Write once."""
        self.writes += 1
        await trio.sleep(PLATFORM_S)


def _in_virtual_time(main) -> None:
    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def keepers_cost(size: int) -> ClaimCost:
    """Return the cost of a majority of keepers in a fleet of a size."""
    waits: list[float] = []
    ends: list[float] = []
    cpu: list[float] = []
    asks: list[int] = []

    async def main() -> None:
        fleet = CountedFleet(size)
        before = time.process_time()
        async with trio.open_nursery() as nursery:
            for claims in fleet.claims:
                nursery.start_soon(claims.run)
            await claim_keys(fleet)
            nursery.cancel_scope.cancel()
        cpu.append(time.process_time() - before)
        asks.append(fleet.asks)

    async def claim_keys(fleet: CountedFleet) -> None:
        for number in range(KEYS):
            claims = fleet.claims[number % size]
            started = trio.current_time()
            result = await claims.claim("w", str(number), "d", "r", started + 500.0)
            waits.append(trio.current_time() - started)
            claimed = trio.current_time()
            await claims.finish(result.ok, b"x" * 3000)
            ends.append(trio.current_time() - claimed)
        for claims in fleet.claims:
            await claims.drain()

    _in_virtual_time(main)
    return _cost(asks[0], 0, waits, ends, cpu[0])


def store_cost() -> ClaimCost:
    """Return the cost of two writes to the platform's store."""
    waits: list[float] = []
    store = StoreWrites()

    async def main() -> None:
        for _ in range(KEYS):
            started = trio.current_time()
            await store.write()
            waits.append(trio.current_time() - started)
            await store.write()

    before = time.process_time()
    _in_virtual_time(main)
    return _cost(0, store.writes, waits, waits, time.process_time() - before)


def owner_cost(replicas: int = 2) -> ClaimCost:
    """Return the cost of one owner by hash that writes to replicas first."""
    waits: list[float] = []
    asks = 0

    async def ask() -> None:
        nonlocal asks
        asks += 1
        await trio.sleep(PEER_S)

    async def claim() -> None:
        await ask()
        async with trio.open_nursery() as nursery:
            for _ in range(replicas):
                nursery.start_soon(ask)

    async def main() -> None:
        for _ in range(KEYS):
            started = trio.current_time()
            await claim()
            waits.append(trio.current_time() - started)
            await claim()

    before = time.process_time()
    _in_virtual_time(main)
    return _cost(asks, 0, waits, waits, time.process_time() - before)


def _cost(asks: int, writes: int, waits, ends, cpu_s: float) -> ClaimCost:
    return ClaimCost(
        asks / KEYS,
        writes / KEYS,
        sum(waits) / KEYS * 1e3,
        sum(ends) / KEYS * 1e3,
        cpu_s / KEYS * 1e6,
    )


def book_bytes(records: int) -> float:
    """Return the bytes of memory of a kept claim without its answer."""
    book = ClaimBook(records)
    tracemalloc.start()
    for number in range(records):
        key = f"ticket-{number:012d}"
        digest = f"{number:064x}"
        claim_id = f"{number:032x}@h.1.1"
        record = ClaimRecord("workspace-1", key, digest, claim_id, "h", 1, 9e9)
        book.put(record, 0.0)
    allocated, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return allocated / records
