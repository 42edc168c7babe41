"""Measures the control plane of a fleet of real processes from outside.

Nine entry hosts in three zones, their engines and the platform stand-in, each a
process on loopback.  Delays are read at the operators' endpoints, so they
include HTTP and up to one polling interval.
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
TIMEOUT_S = 30.0

AUTHORIZED = {"authorization": f"Bearer {OPERATOR_TOKEN}"}


@dataclass(slots=True, frozen=True)
class ProfileFields:
    """The fields of a profile that this benchmark changes."""

    name: str
    deadline_s: float


@dataclass(slots=True, frozen=True)
class ProfileListFields:
    """A host's list of profiles."""

    profiles: tuple[ProfileFields, ...]


@dataclass(slots=True, frozen=True)
class StatusFields:
    """The fields of a host's status that are read here."""

    members: tuple[Member, ...]
    targets: tuple[Target, ...]


@dataclass(slots=True, frozen=True)
class FleetFigures:
    """The figures of one run.

    Attributes
    ----------
    cpu_share : float
        Mean CPU use of an idle entry host, as a share of one core.
    resident_bytes : int
        Resident memory of the largest entry host.
    """

    platform_calls_per_s: float
    cpu_share: float
    resident_bytes: int
    spread_s: Sequence[float]
    drain_s: Sequence[float]
    detection_s: Sequence[float]


async def measure_processes(hosts_a_zone: int, seed: int = 1) -> FleetFigures:
    """Start a fleet, measure it and stop it."""
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
    """The measuring steps of one run."""

    __slots__ = ("_rng", "_fleet", "_pool")

    def __init__(self, fleet: SmallFleet, rng: random.Random):
        self._fleet = fleet
        self._rng = rng
        self._pool = httpcore.AsyncConnectionPool(max_connections=64)

    async def run(self) -> FleetFigures:
        """Measure all figures; the step that kills a host comes last."""
        calls, cpu_share = await self._measure_quiet()
        resident = max(map(resident_bytes, self._fleet.entry_process_ids))
        spread_s = await self._measure_spread()
        drain_s = await self._measure_drain()
        detection_s = await self._measure_detection()
        await self._pool.aclose()
        return FleetFigures(calls, cpu_share, resident, spread_s, drain_s, detection_s)

    async def _measure_quiet(self) -> tuple[float, float]:
        """Return platform calls per second and zone, and the CPU share of a host."""
        pids = self._fleet.entry_process_ids
        calls, cpu_s = await self._platform_calls(), sum(map(cpu_seconds, pids))
        started = time.monotonic()
        await trio.sleep(QUIET_S)
        elapsed_s = time.monotonic() - started
        calls = await self._platform_calls() - calls
        cpu_s = sum(map(cpu_seconds, pids)) - cpu_s
        return calls / elapsed_s / len(ZONES), cpu_s / elapsed_s / len(pids)

    async def _measure_spread(self) -> Sequence[float]:
        """Change a profile at a random host; measure when each host has the change."""
        delays: list[float] = []
        for turn in range(CHANGES):
            entry = self._rng.choice(list(self._fleet.entries_by_id.values()))
            body = ProfileBody(name="review", model=MODEL, deadline_s=61.0 + turn)
            sent = time.monotonic()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    self._request, entry, "PUT", "/v1/profiles/review", body
                )
                for other in self._fleet.entries_by_id.values():
                    nursery.start_soon(
                        self._wait_until_met, other, has_deadline(turn), sent, delays
                    )
            await trio.sleep(1)
        return delays

    async def _measure_drain(self) -> Sequence[float]:
        """Drain a target at a random host; measure when each host excludes it."""
        delays: list[float] = []
        for target_id in list(self._fleet.targets_by_id)[:DRAINS]:
            entry = self._rng.choice(list(self._fleet.entries_by_id.values()))
            sent = time.monotonic()
            async with trio.open_nursery() as nursery:
                path = f"/v1/drains/target/{target_id}"
                nursery.start_soon(self._request, entry, "PUT", path, None)
                for other in self._fleet.entries_by_id.values():
                    nursery.start_soon(
                        self._wait_until_met, other, is_leaving(target_id), sent, delays
                    )
            await trio.sleep(1)
        return delays

    async def _measure_detection(self) -> Sequence[float]:
        """Kill a random host; measure when each other host marks it dead."""
        delays: list[float] = []
        victim = self._rng.choice(list(self._fleet.entries_by_id))
        self._fleet.end(victim, signal.SIGKILL)
        killed = time.monotonic()
        async with trio.open_nursery() as nursery:
            for other in self._fleet.entries_by_id.values():
                nursery.start_soon(
                    self._wait_until_met, other, is_dead(victim), killed, delays
                )
        return delays

    async def _wait_until_met(
        self,
        entry: EntryProcess,
        expected: "Seen",
        since: float,
        delays: list[float],
    ) -> None:
        """Poll a host until it shows the expected state, and record the delay."""
        with trio.fail_after(TIMEOUT_S):
            while True:
                body = await self._request(entry, "GET", expected.path)
                if expected.is_met(body):
                    delays.append(time.monotonic() - since)
                    return
                await trio.sleep(POLL_S)

    async def _request(
        self, entry: EntryProcess, method: str, path: str, body: object = None
    ) -> bytes:
        response = await self._pool.request(
            method,
            f"http://127.0.0.1:{entry.operator_port}{path}",
            headers=AUTHORIZED,
            content=None if body is None else msgspec.json.encode(body),
        )
        if response.status != 200:
            raise SystemExit(
                f"{method} {path}: status {response.status}, body {response.content!r}"
            )
        return response.content

    async def _platform_calls(self) -> int:
        url = f"http://127.0.0.1:{self._fleet.platform_port}/control/calls"
        response = await self._pool.request("GET", url)
        counts = msgspec.json.decode(response.content, type=list[CallCount])
        return sum(count.calls for count in counts)


@dataclass(slots=True, frozen=True)
class Seen:
    """A path to poll at a host, and the check that its response has to pass."""

    path: str
    is_met: Callable[[bytes], bool]


def has_deadline(turn: int) -> Seen:
    """Expect the profile change of one turn."""

    def is_met(body: bytes) -> bool:
        profiles = msgspec.json.decode(body, type=ProfileListFields).profiles
        return any(p.name == "review" and p.deadline_s == 61 + turn for p in profiles)

    return Seen("/v1/profiles", is_met)


def is_leaving(target_id: str) -> Seen:
    """Expect that a target receives no new work."""

    def is_met(body: bytes) -> bool:
        targets = msgspec.json.decode(body, type=StatusFields).targets
        return any(
            target.id == target_id and target.state is not TargetState.LIVE
            for target in targets
        )

    return Seen("/v1/status", is_met)


def is_dead(host_id: str) -> Seen:
    """Expect that an entry host is marked dead."""

    def is_met(body: bytes) -> bool:
        members = msgspec.json.decode(body, type=StatusFields).members
        return any(
            member.id == host_id and member.state is MemberState.DEAD
            for member in members
        )

    return Seen("/v1/status", is_met)


def cpu_seconds(pid: int) -> float:
    """Return the CPU seconds that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")
