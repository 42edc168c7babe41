"""Measures calls and latency of idempotency key claims against fakes.

Time is virtual: a request to another host takes a one-millisecond round trip, a
call to the platform's store four milliseconds.  The CPU figure is real.
"""

import time
import tracemalloc
from dataclasses import dataclass

import trio
import trio.testing

from radishfield.core import Member, TrioClock
from radishfield.fleet import Claims, ClaimSettings
from radishfield.fleet._claims_book import ClaimBook, ClaimRecord
from standins.fakes import FakePlatform

PEER_S = 0.001
PLATFORM_S = 0.004
ZONES = ("a", "b", "c")
KEYS = 300
ANSWER = b"x" * 3000


@dataclass(slots=True, frozen=True)
class ClaimCost:
    """Cost of one keyed request: its claim and the record of its end."""

    peer_asks: float
    platform_reads: float
    platform_writes: float
    claim_ms: float
    end_ms: float
    cpu_us: float


class CountedPeers:
    """Peers in one process that count the requests they send."""

    __slots__ = ("fleet", "host", "handlers_by_topic")

    def __init__(self, fleet: "CountedFleet", host: Member):
        self.fleet = fleet
        self.host = host
        self.handlers_by_topic = {}

    def members(self):
        """Return every host."""
        return [peers.host for peers in self.fleet.peers_by_id.values()]

    def answer(self, topic, handler):
        """Register a handler."""
        self.handlers_by_topic[topic] = handler

    async def ask(self, member_id, topic, payload, timeout_s):
        """Call the other host's handler after the time of a round trip."""
        self.fleet.peer_requests += 1
        await trio.sleep(PEER_S)
        other = self.fleet.peers_by_id[member_id]
        return await other.handlers_by_topic[topic](self.host.id, payload)


class CountedFleet:
    """Hosts that claim keys in one platform store."""

    __slots__ = ("peer_requests", "claims", "peers_by_id", "platform")

    def __init__(self, size: int):
        clock = TrioClock()
        self.peer_requests = 0
        self.peers_by_id = {}
        self.platform = FakePlatform(clock)
        self.platform.faults.delay_s = PLATFORM_S
        self.claims = []
        for number in range(size):
            host = Member(f"h{number}", ZONES[number % len(ZONES)], "", 1)
            peers = CountedPeers(self, host)
            self.peers_by_id[host.id] = peers
            settings = ClaimSettings(host.id, host.zone)
            platform = self.platform.as_caller(host.id)
            claims = Claims(platform, peers, clock, settings, unix_now=clock.now)
            self.claims.append(claims)


def slots_cost(size: int, keys: int = KEYS) -> ClaimCost:
    """Return the cost of claims in the platform's slots, in a fleet of `size` hosts."""
    claim_times: list[float] = []
    finish_times: list[float] = []
    fleets: list[CountedFleet] = []

    async def main() -> None:
        fleet = CountedFleet(size)
        fleets.append(fleet)
        async with trio.open_nursery() as nursery:
            for claims in fleet.claims:
                nursery.start_soon(claims.run)
            for number in range(keys):
                await claim_one(fleet.claims[number % size], str(number))
            for claims in fleet.claims:
                await claims.drain()
            nursery.cancel_scope.cancel()

    async def claim_one(claims: Claims, key: str) -> None:
        started = trio.current_time()
        result = await claims.claim("w", key, "d", "r", started + 500.0)
        claimed = trio.current_time()
        claim_times.append(claimed - started)
        await claims.finish(result.ok, ANSWER)
        finish_times.append(trio.current_time() - claimed)

    before = time.process_time()
    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    cpu_s = time.process_time() - before
    platform = fleets[0].platform
    return ClaimCost(
        fleets[0].peer_requests / keys,
        platform.calls(kind="read") / keys,
        platform.calls(kind="write") / keys,
        sum(claim_times) / keys * 1e3,
        sum(finish_times) / keys * 1e3,
        cpu_s / keys * 1e6,
    )


def book_bytes(records: int) -> float:
    """Return the memory in bytes of one stored claim record without its answer."""
    book = ClaimBook(records)
    tracemalloc.start()
    for number in range(records):
        record = ClaimRecord(
            f"{number:032x}", f"{number:064x}", f"{number}.x", "h", 9e9
        )
        book.put(record, 0.0)
    allocated, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return allocated / records
