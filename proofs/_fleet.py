"""Runs entry hosts with active profiles, and operators who change the profiles.

The real peer network, fact spreader, platform watcher and profile store run in
virtual time on an in-memory network and a fake platform.  The oracle records
every value that the platform stored, which profile versions each host activated
and in which order, and the answer to each operator.
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
# The requirement is that a change is active "within seconds", at most 8 s.
ACTIVATION_BOUND_S = 8.0
# After a partition or an outage: the longest pause between attempts to reach the
# platform (16 s), a list call (4 s), and the time in which the peers rejoin.
RECONNECTION_BOUND_S = 40.0
# Half the production probe rate: probes are most of the run's cost.
PROBE_INTERVAL_S = 1.0
# Settling a change takes a bounded number of steps; each may wait for a slow call.
OPERATOR_BOUND_S = 45.0
# Result codes which state that the change was not made.
NOT_CHANGED_CODES = frozenset(
    {
        ResultCode.CHANGE_CONFLICT,
        ResultCode.CHANGE_INVALID,
        ResultCode.PROFILE_RETIRED,
        ResultCode.UNKNOWN_PROFILE,
        ResultCode.PLATFORM_UNAVAILABLE,
        ResultCode.PLATFORM_RATE_LIMITED,
    }
)


class ObjectHistory(dict[tuple[str, str], StoredObject]):
    """The platform's objects by key, with all values ever stored under each key."""

    def __init__(self):
        super().__init__()
        self.values_by_key = defaultdict(list)

    def __setitem__(self, key, stored):
        """Store an object and append it to the values of its key."""
        super().__setitem__(key, stored)
        self.values_by_key[key].append(stored)


@dataclass(slots=True)
class OperatorChange:
    """A change requested by an operator, and the answer to it."""

    name: str
    marker: str
    requested_at: float
    answer: Result[Profile, Fault] | None = None
    answered_at: float | None = None


@dataclass(slots=True)
class ActivationLog:
    """The profile versions that one incarnation of a host activated, in order."""

    host: str
    incarnation: int
    versions: list[tuple[str, int, bool]] = field(default_factory=list)


class FleetHost:
    """One entry host and its current incarnation."""

    __slots__ = (
        "id",
        "zone",
        "address",
        "incarnation",
        "store",
        "scope",
        "activations",
    )

    def __init__(self, number: int):
        self.id = f"h{number}"
        self.zone = f"z{number % ZONES}"
        self.address = f"{self.id}:1"
        self.incarnation = 0
        self.store: ProfileStore | None = None
        self.scope: trio.CancelScope | None = None
        self.activations: ActivationLog | None = None


class FleetWorld:
    """Hosts in three zones, the platform, and the faults between them."""

    def __init__(self, seed: int, host_count: int):
        self.loop = Loop(seed)
        self.network = MemoryNetwork(seed)
        self.platform = FakePlatform(TrioClock())
        self.history = ObjectHistory()
        self.platform.state.objects_by_key = self.history
        self.seats = [FleetHost(number) for number in range(host_count)]
        self.operator_changes: list[OperatorChange] = []
        self.activation_logs: list[ActivationLog] = []
        self.partitioned_pairs: set[frozenset[str]] = set()
        self.zones_without_platform: set[str] = set()
        self.disturbed_at = 0.0
        self.network.faults.is_partitioned = self._is_partitioned
        for host in self.seats:
            self.start(host)
        self.loop.pass_time(10.0)

    # Actions and faults.

    def operate(
        self,
        host: FleetHost,
        name: str,
        action: Callable[[ProfileStore, Profile], Awaitable[Result]],
    ) -> OperatorChange:
        """Start an operator's change of a profile through a host."""
        marker = f"change-{len(self.operator_changes)}"
        change = OperatorChange(name, marker, self.loop.now)
        self.operator_changes.append(change)
        store = host.store

        async def apply_change() -> None:
            change.answer = await action(store, Profile(name, marker))
            change.answered_at = trio.current_time()

        self.loop.start(apply_change)
        self.loop.settle()
        return change

    def start(self, host: FleetHost) -> None:
        """Start a host, or replace it by a new incarnation without any state."""
        self.disturbed()
        if host.scope is not None:
            host.scope.cancel()
            self.loop.settle()
        host.incarnation += 1
        host.scope = trio.CancelScope()
        self.loop.run(lambda: self._run(host))

    def cut(self, one: str, other: str) -> None:
        """Partition two zones from each other."""
        self.disturbed()
        self.partitioned_pairs.add(frozenset((one, other)))

    def cut_platform(self, zone: str) -> None:
        """Disconnect a zone from the platform."""
        self.disturbed()
        self.zones_without_platform.add(zone)
        self._apply_platform_partitions()

    def heal(self) -> None:
        """End all partitions and all faults of the platform."""
        self.disturbed()
        self.partitioned_pairs.clear()
        self.zones_without_platform.clear()
        faults = self.platform.faults
        faults.delay_s = 0.0
        faults.lost_answers = faults.lost_writes = 0
        faults.skipped_events = faults.stale_reads = 0
        self.network.faults.lost_share = 0.0
        self._apply_platform_partitions()
        self.set_down(False)

    def set_down(self, down: bool) -> None:
        """Take the platform down or up."""
        self.disturbed()

        async def switch() -> None:
            self.platform.set_down(down)

        self.loop.run(switch)

    def disturbed(self) -> None:
        """Record that the reachability of hosts or platform has changed."""
        self.disturbed_at = self.loop.now

    # Invariants.

    def check(self) -> None:
        """Check the invariants that hold at any moment."""
        for activation_log in self.activation_logs:
            _check_versions_rise(activation_log)
        self._check_stored()
        self._check_operators()
        if self.loop.now - self.disturbed_at >= RECONNECTION_BOUND_S:
            self._check_active_profiles()

    def check_end(self) -> None:
        """Check that all hosts agree with the platform once all faults are over."""
        self.heal()
        self.loop.pass_time(RECONNECTION_BOUND_S + ACTIVATION_BOUND_S)
        assert all(change.answer is not None for change in self.operator_changes)
        self.check()

    def _check_stored(self) -> None:
        """Check that stored versions have no gaps, and that a tombstone is the last."""
        for kind, name in self.history:
            if kind != PROFILE_KIND:
                continue
            profiles = self._stored(name)
            versions = [profile.version for profile in profiles]
            assert versions == list(range(1, len(versions) + 1)), f"{name}: {versions}"
            retired = [profile.retired for profile in profiles]
            assert True not in retired[:-1], f"{name} was written after it was retired"

    def _check_operators(self) -> None:
        winner_by_version: dict[tuple[str, int], str] = {}
        for change in self.operator_changes:
            if change.answer is None:
                waited_s = self.loop.now - change.requested_at
                assert waited_s <= OPERATOR_BOUND_S, "an operator got no answer in time"
                continue
            stored = {
                profile.model if not profile.retired else None
                for profile in self._stored(change.name)
            }
            match change.answer:
                case Result(tag="ok", ok=profile):
                    version = change.name, profile.version
                    assert (
                        version not in winner_by_version
                    ), f"two operators both wrote {version}"
                    winner_by_version[version] = change.marker
                    if not profile.retired:
                        assert (
                            change.marker in stored
                        ), "reported as done, but never stored"
                case Result(tag="error", error=problem):
                    if problem.code in NOT_CHANGED_CODES:
                        assert (
                            change.marker not in stored
                        ), f"reported as {problem}, but stored"

    def _check_active_profiles(self) -> None:
        """Check that connected hosts agree, and match the platform if they reach it."""
        answered = [
            change.answered_at for change in self.operator_changes if change.answered_at
        ]
        unsettled = any(change.answer is None for change in self.operator_changes)
        if unsettled or self.loop.now - max(answered, default=0.0) < ACTIVATION_BOUND_S:
            return
        in_platform = {
            name: self._stored(name)[-1].version
            for kind, name in self.history
            if kind == PROFILE_KIND
        }
        for zones in self._components():
            versions = [
                host.store.version_by_name()
                for host in self.seats
                if host.zone in zones
            ]
            reaches_platform = (
                zones - self.zones_without_platform and not self.platform.faults.down
            )
            expected = in_platform if reaches_platform else versions[0]
            for each in versions:
                assert each == expected, f"{zones}: {each} active, not {expected}"

    def _components(self) -> list[set[str]]:
        """Return the sets of zones that can reach each other."""
        remaining = {host.zone for host in self.seats}
        components = []
        while remaining:
            component = {remaining.pop()}
            grown = True
            while grown:
                reachable = {
                    zone
                    for zone in remaining
                    if any(
                        frozenset((zone, c)) not in self.partitioned_pairs
                        for c in component
                    )
                }
                grown = bool(reachable)
                component |= reachable
                remaining -= reachable
            components.append(component)
        return components

    def _is_reachable(self, zone: str, component: set[str]) -> bool:
        pairs = {frozenset((zone, other)) for other in component}
        return bool(pairs - self.partitioned_pairs)

    def _stored(self, name: str) -> list[Profile]:
        return [
            msgspec.json.decode(stored.value, type=Profile)
            for stored in self.history.values_by_key[PROFILE_KIND, name]
        ]

    def _is_partitioned(self, one: str, other: str) -> bool:
        zone_by_address = {host.address: host.zone for host in self.seats}
        pair = frozenset((zone_by_address[one], zone_by_address[other]))
        return pair in self.partitioned_pairs

    def _apply_platform_partitions(self) -> None:
        async def apply() -> None:
            cut_off = self.platform.faults.cut_off
            cut_off.clear()
            cut_off.update(
                host.id
                for host in self.seats
                if host.zone in self.zones_without_platform
            )
            self.platform.state.wake()

        self.loop.run(apply)

    async def _run(self, host: FleetHost) -> None:
        clock = TrioClock()
        rng = random.Random(f"{host.id}.{host.incarnation}")
        seeds = tuple(other.address for other in self.seats[:ZONES])
        settings = PeerSettings(
            host.id,
            host.zone,
            host.address,
            KEYS,
            seeds,
            PROBE_INTERVAL_S,
            host.incarnation,
        )
        transport = self.network.transport(host.address)
        peers = PeerNetwork(settings, clock, transport, rng)
        facts = FactTable()
        port = self.platform.as_caller(host.id)
        host.store = ProfileStore(port, facts)
        host.activations = ActivationLog(host.id, host.incarnation)
        self.activation_logs.append(host.activations)
        store, activations = host.store, host.activations

        def record_activation(fact: StoredObject) -> None:
            profile = store.show(fact.name)
            if profile.is_ok():
                activations.versions.append(
                    (fact.name, profile.ok.version, profile.ok.retired)
                )

        facts.listen(PROFILE_KIND, record_activation)
        spread_settings = SpreadSettings(host.id, host.zone)
        watcher_settings = WatcherSettings(host.id, host.zone)
        spreader = FactSpreader(spread_settings, peers, facts, clock, rng)
        watcher = PlatformWatcher(watcher_settings, port, peers, facts, clock, rng=rng)
        scope = host.scope

        async def serve() -> None:
            with scope:
                async with trio.open_nursery() as nursery:
                    for service in (peers, spreader, watcher):
                        await nursery.start(service.run)

        self.loop.start(serve)


def _check_versions_rise(activation_log: ActivationLog) -> None:
    last: dict[str, tuple[int, bool]] = {}
    for name, version, retired in activation_log.versions:
        known_version, was_retired = last.get(name, (0, False))
        host_label = f"{activation_log.host}.{activation_log.incarnation}: {name}"
        assert version >= known_version, f"{host_label} went back to version {version}"
        assert (
            retired or not was_retired
        ), f"{host_label} is active again after its tombstone"
        last[name] = (version, retired)
