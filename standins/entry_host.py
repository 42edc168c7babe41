"""Entry hosts' fleet services on in-memory edges, for tests and benches.

The services are the real ones; only the network, the platform and the targets
are stand-ins.  In trio's virtual time dozens of hosts run in seconds.
"""

import random
from collections.abc import Sequence

import trio
from expression import Ok, Result

from radishfield.core import (
    Fault,
    LayerRange,
    LoadReport,
    Target,
    TrioClock,
)
from radishfield.edges import PeerKey, PeerNetwork, PeerSettings
from radishfield.fleet import (
    FactSpreader,
    FactTable,
    FleetOperations,
    FleetParts,
    LoadPoller,
    PlatformWatcher,
    PollerSettings,
    ProfileStore,
    SpreadSettings,
    TargetDirectory,
    WatcherSettings,
)
from standins.fakes import FakePlatform
from standins.peer_network import MemoryNetwork

KEYS = (PeerKey(1, b"a secret of 16 bytes"),)
SEEDS = ("h0:1", "h1:1", "h2:1")


class IdleTargets:
    """The methods of `TargetPort` that a fleet without traffic calls."""

    __slots__ = ("polls",)

    def __init__(self):
        self.polls = 0

    async def load(self, target: Target) -> Result[LoadReport, Fault]:
        """Return an idle target's report."""
        await trio.lowlevel.checkpoint()
        self.polls += 1
        return Ok(
            LoadReport(
                target.id,
                target.incarnation,
                target.layers or LayerRange(0, 0),
                target.model,
                target.model_version,
                in_flight=0,
                queued=0,
                slots=target.slots,
                step_s=0.02,
            )
        )


class MemoryHost:
    """One entry host's fleet services."""

    def __init__(self, fleet: "MemoryFleet", number: int):
        self.id, self.zone = f"h{number}", f"z{number % fleet.zones}"
        self.address = f"{self.id}:1"
        clock, rng = TrioClock(), random.Random(number)
        settings = PeerSettings(
            self.id, self.zone, self.address, KEYS, SEEDS, fleet.period_s, 1
        )
        self.peers = PeerNetwork(
            settings, clock, fleet.network.transport(self.address), rng
        )
        self.facts = FactTable()
        port = fleet.platform.as_caller(self.id)
        self.store = ProfileStore(port, self.facts)
        self.directory = TargetDirectory(self.zone, self.facts, self.peers, clock)
        self.spreader = FactSpreader(
            SpreadSettings(self.id, self.zone), self.peers, self.facts, clock, rng
        )
        self.watcher = PlatformWatcher(
            WatcherSettings(self.id, self.zone),
            port,
            self.peers,
            self.facts,
            clock,
            self.directory.observe_hosts,
            rng,
        )
        self.poller = LoadPoller(
            PollerSettings(self.id, self.zone),
            fleet.targets,
            self.directory,
            self.peers,
            self.facts,
            clock,
            rng=rng,
        )
        self.operations = FleetOperations(
            FleetParts(
                self.id,
                self.zone,
                port,
                self.facts,
                self.store,
                self.directory,
                self.peers,
                self.watcher,
                clock,
            )
        )
        self._scope = trio.CancelScope()

    async def run(self, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED):
        """Run all services until `stop`."""
        with self._scope:
            async with trio.open_nursery() as nursery:
                services = (self.peers, self.spreader, self.watcher, self.poller)
                for service in services:
                    await nursery.start(service.run)
                task_status.started()

    def stop(self) -> None:
        """Stop at once, without notifying the other hosts."""
        self._scope.cancel()


class MemoryFleet:
    """Entry hosts in several zones that share one network and one platform."""

    def __init__(
        self,
        nursery: trio.Nursery,
        zones: int = 3,
        period_s: float = 0.5,
        seed: int = 1,
    ):
        self.nursery = nursery
        self.zones = zones
        self.period_s = period_s
        self.network = MemoryNetwork(seed)
        self.platform = FakePlatform(TrioClock())
        self.targets = IdleTargets()
        self.hosts: list[MemoryHost] = []
        self._next_number = 0

    async def add(self, count: int) -> Sequence[MemoryHost]:
        """Start ``count`` more hosts, assigned to the zones in turn."""
        added = []
        for _ in range(count):
            host = MemoryHost(self, self._next_number)
            self._next_number += 1
            added.append(host)
            self.hosts.append(host)
            await self.nursery.start(host.run)
        return added

    def partition_zone(self, zone: str) -> None:
        """Disconnect a zone from the other zones and from the platform."""
        zone_hosts = [host for host in self.hosts if host.zone == zone]
        partitioned = {host.address for host in zone_hosts}
        self.network.faults.is_partitioned = lambda one, other: (
            one in partitioned
        ) != (other in partitioned)
        self.platform.faults.cut_off.update(host.id for host in zone_hosts)

    def heal(self) -> None:
        """Remove all partitions."""
        self.network.faults.is_partitioned = lambda one, other: False
        self.platform.faults.cut_off.clear()
