"""Entry hosts that hold profiles in force, and operators who change them.

The real peers' network, fact spreading, platform watcher and profile store run
in virtual time on an in-memory network and a fake platform.  The oracle knows
what the platform ever stored, what each host had in force and when, and what
each operator was told.
"""

import random
from collections import defaultdict
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import msgspec
import trio
from expression import Result

from proofs._loop import Loop
from radishfield.core import Fault, Profile, ResultCode, StoredObject, TrioClock
from radishfield.edges import PeerKey, PeerNetwork, PeerSettings
from radishfield.fleet import (
    FactSpreader,
    FactTable,
    PlatformWatcher,
    ProfileStore,
    SpreadSettings,
    WatcherSettings,
)
from standins.fakes import FakePlatform
from standins.peer_network import MemoryNetwork

ZONES = 3
KEYS = (PeerKey(1, b"a secret of 16 bytes"),)
PROFILE_KIND = "profile"
# The users ask for "within seconds"; their target page says 8 s.
IN_FORCE_S = 8.0
# After a cut or an outage: the longest pause between tries to reach the
# platform (16 s), a list (4 s), and the peers' own rejoining.
RECONNECTED_S = 40.0
# Half as many probes as in the field: they are most of the run's cost.
PROBE_S = 1.0
# The settling of a change is bounded in steps; each may wait out a slow call.
OPERATOR_BOUND_S = 45.0
# Codes that say that the change did not happen.
NOT_CHANGED = frozenset(
    {
        ResultCode.CHANGE_CONFLICT,
        ResultCode.CHANGE_INVALID,
        ResultCode.PROFILE_RETIRED,
        ResultCode.UNKNOWN_PROFILE,
        ResultCode.PLATFORM_UNAVAILABLE,
        ResultCode.PLATFORM_RATE_LIMITED,
    }
)


class History(dict[tuple[str, str], StoredObject]):
    """The platform's objects, with every value that was ever stored."""

    def __init__(self):
        super().__init__()
        self.values_by_key = defaultdict(list)

    def __setitem__(self, key, stored):
        """Store, and remember."""
        super().__setitem__(key, stored)
        self.values_by_key[key].append(stored)


@dataclass(slots=True)
class Operator:
    """An operator's change: what was asked and what was told."""

    name: str
    mark: str
    asked_at: float
    answer: Result[Profile, Fault] | None = None
    told_at: float | None = None


@dataclass(slots=True)
class Sighting:
    """What a host had in force, each time that it changed."""

    host: str
    incarnation: int
    versions: list[tuple[str, int, bool]] = field(default_factory=list)


class FleetSeat:
    """One entry host in its present incarnation."""

    __slots__ = ("id", "zone", "address", "incarnation", "store", "scope", "seen")

    def __init__(self, number: int):
        self.id = f"h{number}"
        self.zone = f"z{number % ZONES}"
        self.address = f"{self.id}:1"
        self.incarnation = 0
        self.store: ProfileStore | None = None
        self.scope: trio.CancelScope | None = None
        self.seen: Sighting | None = None


class FleetWorld:
    """Hosts in three zones, the platform, and all that may come between."""

    def __init__(self, seed: int, hosts: int):
        self.loop = Loop(seed)
        self.network = MemoryNetwork(seed)
        self.platform = FakePlatform(TrioClock())
        self.history = History()
        self.platform.state.objects_by_key = self.history
        self.seats = [FleetSeat(number) for number in range(hosts)]
        self.operators: list[Operator] = []
        self.sightings: list[Sighting] = []
        self.cut_pairs: set[frozenset[str]] = set()
        self.cut_from_platform: set[str] = set()
        self.disturbed_at = 0.0
        self.network.faults.is_cut = self._is_cut
        for seat in self.seats:
            self.start(seat)
        self.loop.pass_time(10.0)

    # What may happen.

    def operate(
        self,
        seat: FleetSeat,
        name: str,
        action: Callable[[ProfileStore, Profile], Awaitable[Result]],
    ) -> Operator:
        """Let an operator change a profile through a host."""
        mark = f"change-{len(self.operators)}"
        operator = Operator(name, mark, self.loop.now)
        self.operators.append(operator)
        store = seat.store

        async def change() -> None:
            operator.answer = await action(store, Profile(name, mark))
            operator.told_at = trio.current_time()

        self.loop.start(change)
        self.loop.settle()
        return operator

    def start(self, seat: FleetSeat) -> None:
        """Start a host, or replace it by one that knows nothing."""
        self.disturbed()
        if seat.scope is not None:
            seat.scope.cancel()
            self.loop.settle()
        seat.incarnation += 1
        seat.scope = trio.CancelScope()
        self.loop.run(lambda: self._run(seat))

    def cut(self, one: str, other: str) -> None:
        """Cut two zones from each other."""
        self.disturbed()
        self.cut_pairs.add(frozenset((one, other)))

    def cut_platform(self, zone: str) -> None:
        """Cut a zone from the platform."""
        self.disturbed()
        self.cut_from_platform.add(zone)
        self._apply_platform_cuts()

    def heal(self) -> None:
        """End every cut and every fault of the platform."""
        self.disturbed()
        self.cut_pairs.clear()
        self.cut_from_platform.clear()
        faults = self.platform.faults
        faults.delay_s = 0.0
        faults.lost_answers = faults.lost_writes = 0
        faults.skipped_events = faults.stale_reads = 0
        self.network.faults.lost_share = 0.0
        self._apply_platform_cuts()
        self.set_down(False)

    def set_down(self, down: bool) -> None:
        """Take the platform down or up."""
        self.disturbed()

        async def switch() -> None:
            self.platform.set_down(down)

        self.loop.run(switch)

    def disturbed(self) -> None:
        """Note that what reaches what has changed."""
        self.disturbed_at = self.loop.now

    # What must hold.

    def check(self) -> None:
        """Check every invariant that must hold at any moment."""
        for sighting in self.sightings:
            _check_only_rises(sighting)
        self._check_stored()
        self._check_operators()
        if self.loop.now - self.disturbed_at >= RECONNECTED_S:
            self._check_in_force()

    def check_end(self) -> None:
        """Check that all hosts agree with the platform once all faults are over."""
        self.heal()
        self.loop.pass_time(RECONNECTED_S + IN_FORCE_S)
        assert all(operator.answer is not None for operator in self.operators)
        self.check()

    def _check_stored(self) -> None:
        """Each stored version is the next one, and a tombstone is the last."""
        for kind, name in self.history:
            if kind != PROFILE_KIND:
                continue
            profiles = self._stored(name)
            versions = [profile.version for profile in profiles]
            assert versions == list(range(1, len(versions) + 1)), f"{name}: {versions}"
            retired = [profile.retired for profile in profiles]
            assert True not in retired[:-1], f"{name} was written after it was retired"

    def _check_operators(self) -> None:
        winners: dict[tuple[str, int], str] = {}
        for operator in self.operators:
            if operator.answer is None:
                waited_s = self.loop.now - operator.asked_at
                assert waited_s <= OPERATOR_BOUND_S, "an operator was told nothing"
                continue
            stored = {
                profile.model if not profile.retired else None
                for profile in self._stored(operator.name)
            }
            match operator.answer:
                case Result(tag="ok", ok=profile):
                    place = operator.name, profile.version
                    assert place not in winners, f"two operators won {place}"
                    winners[place] = operator.mark
                    if not profile.retired:
                        assert operator.mark in stored, "told done, but never stored"
                case Result(tag="error", error=problem):
                    if problem.code in NOT_CHANGED:
                        assert operator.mark not in stored, f"told {problem}, but done"

    def _check_in_force(self) -> None:
        """Check that connected hosts agree, and with the platform if reached."""
        told = [operator.told_at for operator in self.operators if operator.told_at]
        unsettled = any(operator.answer is None for operator in self.operators)
        if unsettled or self.loop.now - max(told, default=0.0) < IN_FORCE_S:
            return
        in_platform = {
            name: self._stored(name)[-1].version
            for kind, name in self.history
            if kind == PROFILE_KIND
        }
        for zones in self._components():
            versions = [
                seat.store.version_by_name()
                for seat in self.seats
                if seat.zone in zones
            ]
            reached = zones - self.cut_from_platform and not self.platform.faults.down
            expected = in_platform if reached else versions[0]
            for each in versions:
                assert each == expected, f"{zones}: {each} in force, not {expected}"

    def _components(self) -> list[set[str]]:
        """Return the sets of zones that can reach each other."""
        left = {seat.zone for seat in self.seats}
        components = []
        while left:
            component = {left.pop()}
            grown = True
            while grown:
                near = {
                    zone
                    for zone in left
                    if any(
                        frozenset((zone, c)) not in self.cut_pairs for c in component
                    )
                }
                grown = bool(near)
                component |= near
                left -= near
            components.append(component)
        return components

    def _is_near(self, zone: str, component: set[str]) -> bool:
        pairs = {frozenset((zone, other)) for other in component}
        return bool(pairs - self.cut_pairs)

    def _stored(self, name: str) -> list[Profile]:
        return [
            msgspec.json.decode(stored.value, type=Profile)
            for stored in self.history.values_by_key[PROFILE_KIND, name]
        ]

    def _is_cut(self, one: str, other: str) -> bool:
        zone_by_address = {seat.address: seat.zone for seat in self.seats}
        pair = frozenset((zone_by_address[one], zone_by_address[other]))
        return pair in self.cut_pairs

    def _apply_platform_cuts(self) -> None:
        async def apply() -> None:
            cut_off = self.platform.faults.cut_off
            cut_off.clear()
            cut_off.update(
                seat.id for seat in self.seats if seat.zone in self.cut_from_platform
            )
            self.platform.state.wake()

        self.loop.run(apply)

    async def _run(self, seat: FleetSeat) -> None:
        clock = TrioClock()
        chance = random.Random(f"{seat.id}.{seat.incarnation}")
        seeds = tuple(each.address for each in self.seats[:ZONES])
        settings = PeerSettings(
            seat.id, seat.zone, seat.address, KEYS, seeds, PROBE_S, seat.incarnation
        )
        transport = self.network.transport(seat.address)
        peers = PeerNetwork(settings, clock, transport, chance)
        facts = FactTable()
        port = self.platform.as_caller(seat.id)
        seat.store = ProfileStore(port, facts)
        seat.seen = Sighting(seat.id, seat.incarnation)
        self.sightings.append(seat.seen)
        store, seen = seat.store, seat.seen

        def look(fact: StoredObject) -> None:
            profile = store.show(fact.name)
            if profile.is_ok():
                seen.versions.append(
                    (fact.name, profile.ok.version, profile.ok.retired)
                )

        facts.listen(PROFILE_KIND, look)
        who = SpreadSettings(seat.id, seat.zone)
        watch = WatcherSettings(seat.id, seat.zone)
        spreader = FactSpreader(who, peers, facts, clock, chance)
        watcher = PlatformWatcher(watch, port, peers, facts, clock, chance=chance)
        scope = seat.scope

        async def serve() -> None:
            with scope:
                async with trio.open_nursery() as nursery:
                    for service in (peers, spreader, watcher):
                        await nursery.start(service.run)

        self.loop.start(serve)


def _check_only_rises(sighting: Sighting) -> None:
    last: dict[str, tuple[int, bool]] = {}
    for name, version, retired in sighting.versions:
        known_version, was_retired = last.get(name, (0, False))
        who = f"{sighting.host}.{sighting.incarnation}: {name}"
        assert version >= known_version, f"{who} fell to version {version}"
        assert retired or not was_retired, f"{who} came back from its tombstone"
        last[name] = (version, retired)
