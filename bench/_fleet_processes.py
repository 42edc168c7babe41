"""The control plane of a fleet of real processes, measured from outside.

Nine entry hosts in three zones, their engines and the platform stand-in, each a
process on loopback.  Delays are read at the operators' endpoints, so they
include HTTP and up to one turn of polling.
"""

import os
import random
import signal
import tempfile
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path

import httpcore
import msgspec
import trio

from radishfield.core import Member, MemberState, Target, TargetState
from radishfield.edges._operator_messages import ProfileBody
from standins.fleet import MODEL, OPERATOR_TOKEN, EntryProcess, SmallFleet, ZonePlan
from standins.platform import CallCount

ZONES = ("hall-petrzalka", "hall-ruzinov", "hall-devin")
QUIET_S = 20.0
CHANGES = 10
DRAINS = 6
POLL_S = 0.02
PATIENCE_S = 30.0

AUTHORIZED = {"authorization": f"Bearer {OPERATOR_TOKEN}"}


@dataclass(slots=True, frozen=True)
class SeenProfile:
    """The part of a profile that a change of this bench touches."""

    name: str
    deadline_s: float


@dataclass(slots=True, frozen=True)
class SeenProfileList:
    """A host's list of profiles."""

    profiles: tuple[SeenProfile, ...]


@dataclass(slots=True, frozen=True)
class SeenStatus:
    """The part of a host's status that is read here."""

    members: tuple[Member, ...]
    targets: tuple[Target, ...]


@dataclass(slots=True, frozen=True)
class FleetFigures:
    """What one run measured.

    Attributes
    ----------
    cpu_share : float
        Of a core, for a quiet entry host.
    resident_bytes : int
        Of the largest entry host.
    """

    platform_calls_per_s: float
    cpu_share: float
    resident_bytes: int
    spread_s: Sequence[float]
    drain_s: Sequence[float]
    detection_s: Sequence[float]


async def measure_processes(hosts_a_zone: int, seed: int = 1) -> FleetFigures:
    """Start a fleet, measure it, and end it."""
    plans = tuple(ZonePlan(zone, hosts_a_zone) for zone in ZONES)
    with tempfile.TemporaryDirectory() as folder:
        fleet = SmallFleet(Path(folder), plans)
        try:
            await trio.to_thread.run_sync(fleet.start)
            await trio.sleep(10)
            return await Measurement(fleet, random.Random(seed)).run()
        finally:
            fleet.stop()


class Measurement:
    """The steps of one run."""

    __slots__ = ("_chance", "_fleet", "_pool")

    def __init__(self, fleet: SmallFleet, chance: random.Random):
        self._fleet = fleet
        self._chance = chance
        self._pool = httpcore.AsyncConnectionPool(max_connections=64)

    async def run(self) -> FleetFigures:
        """Take all figures, the kill last."""
        calls, cpu_share = await self._measure_quiet()
        resident = max(map(resident_bytes, self._fleet.entry_process_ids))
        spread_s = await self._measure_spread()
        drain_s = await self._measure_drain()
        detection_s = await self._measure_detection()
        await self._pool.aclose()
        return FleetFigures(calls, cpu_share, resident, spread_s, drain_s, detection_s)

    async def _measure_quiet(self) -> tuple[float, float]:
        """Return platform calls a second and zone, and the CPU of a host."""
        pids = self._fleet.entry_process_ids
        calls, cpu_s = await self._calls(), sum(map(cpu_seconds, pids))
        started = time.monotonic()
        await trio.sleep(QUIET_S)
        elapsed_s = time.monotonic() - started
        calls = await self._calls() - calls
        cpu_s = sum(map(cpu_seconds, pids)) - cpu_s
        return calls / elapsed_s / len(ZONES), cpu_s / elapsed_s / len(pids)

    async def _measure_spread(self) -> Sequence[float]:
        """Change a profile at some host, and see when each host has it."""
        delays: list[float] = []
        for turn in range(CHANGES):
            entry = self._chance.choice(list(self._fleet.entries_by_id.values()))
            body = ProfileBody(name="review", model=MODEL, deadline_s=61.0 + turn)
            sent = time.monotonic()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    self._operate, entry, "PUT", "/v1/profiles/review", body
                )
                for other in self._fleet.entries_by_id.values():
                    nursery.start_soon(
                        self._await, other, has_deadline(turn), sent, delays
                    )
            await trio.sleep(1)
        return delays

    async def _measure_drain(self) -> Sequence[float]:
        """Drain a target at some host, and see when each host leaves it out."""
        delays: list[float] = []
        for target_id in list(self._fleet.targets_by_id)[:DRAINS]:
            entry = self._chance.choice(list(self._fleet.entries_by_id.values()))
            sent = time.monotonic()
            async with trio.open_nursery() as nursery:
                path = f"/v1/drains/target/{target_id}"
                nursery.start_soon(self._operate, entry, "PUT", path, None)
                for other in self._fleet.entries_by_id.values():
                    nursery.start_soon(
                        self._await, other, is_leaving(target_id), sent, delays
                    )
            await trio.sleep(1)
        return delays

    async def _measure_detection(self) -> Sequence[float]:
        """Kill a host, and see when each other one holds it for dead."""
        delays: list[float] = []
        victim = self._chance.choice(list(self._fleet.entries_by_id))
        self._fleet.end(victim, signal.SIGKILL)
        killed = time.monotonic()
        async with trio.open_nursery() as nursery:
            for other in self._fleet.entries_by_id.values():
                nursery.start_soon(self._await, other, is_dead(victim), killed, delays)
        return delays

    async def _await(
        self,
        entry: EntryProcess,
        seen: "Seen",
        since: float,
        delays: list[float],
    ) -> None:
        """Ask a host until it shows what is awaited, and note how long it took."""
        with trio.fail_after(PATIENCE_S):
            while True:
                body = await self._operate(entry, "GET", seen.path)
                if seen.shows(body):
                    delays.append(time.monotonic() - since)
                    return
                await trio.sleep(POLL_S)

    async def _operate(
        self, entry: EntryProcess, method: str, path: str, body: object = None
    ) -> bytes:
        answer = await self._pool.request(
            method,
            f"http://127.0.0.1:{entry.operator_port}{path}",
            headers=AUTHORIZED,
            content=None if body is None else msgspec.json.encode(body),
        )
        if answer.status != 200:
            raise SystemExit(f"{method} {path}: {answer.status} {answer.content!r}")
        return answer.content

    async def _calls(self) -> int:
        url = f"http://127.0.0.1:{self._fleet.platform_port}/control/calls"
        answer = await self._pool.request("GET", url)
        counts = msgspec.json.decode(answer.content, type=list[CallCount])
        return sum(count.calls for count in counts)


@dataclass(slots=True, frozen=True)
class Seen:
    """What is asked of a host, and what its answer has to show."""

    path: str
    shows: Callable[[bytes], bool]


def has_deadline(turn: int) -> Seen:
    """Await the change of one turn."""

    def shows(body: bytes) -> bool:
        profiles = msgspec.json.decode(body, type=SeenProfileList).profiles
        return any(p.name == "review" and p.deadline_s == 61 + turn for p in profiles)

    return Seen("/v1/profiles", shows)


def is_leaving(target_id: str) -> Seen:
    """Await that a target is given no new work."""

    def shows(body: bytes) -> bool:
        targets = msgspec.json.decode(body, type=SeenStatus).targets
        return any(
            target.id == target_id and target.state is not TargetState.LIVE
            for target in targets
        )

    return Seen("/v1/status", shows)


def is_dead(host_id: str) -> Seen:
    """Await that an entry host is held for dead."""

    def shows(body: bytes) -> bool:
        members = msgspec.json.decode(body, type=SeenStatus).members
        return any(
            member.id == host_id and member.state is MemberState.DEAD
            for member in members
        )

    return Seen("/v1/status", shows)


def cpu_seconds(pid: int) -> float:
    """Return a process' CPU seconds so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_bytes(pid: int) -> int:
    """Return a process' resident memory."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")
