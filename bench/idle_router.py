"""Measures the processor time of an idle router: ``python -m bench.idle_router``.

A real router process follows a stand-in of the store, and receives from simulated hosts
the datagrams that this many hosts send to one of them.  No caller sends anything, so
all processor time is what a host costs by being a member of the fleet.
"""

import itertools
import os
import random
import tempfile
from dataclasses import dataclass
from pathlib import Path

import click
import trio

from radishfield.forwarding._datagrams import DatagramSocket
from radishfield.forwarding._gossip import GOSSIP_PERIOD_S
from radishfield.forwarding._peer_messages import (
    DATAGRAM_BYTES,
    Echo,
    LinkShare,
    PeerStatus,
    PeerZoneTotal,
    RelayOffer,
    Use,
    Work,
    decoder,
    encoder,
)
from radishfield.forwarding._peers import (
    REMOTE_ZONE_EVERY,
    REMOTE_ZONE_FANOUT,
    ZONE_FANOUT,
)
from radishfield.routing import WATCHERS_PER_ZONE
from radishfield.web import ListenerConfig, serve_app
from standins.object_store import ObjectStoreApp
from standins.ports import free_ports
from standins.routed_config import config, layered_entry
from standins.routed_targets import LayeredTarget
from standins.router_process import RouterProcess

ZONES = ("a", "b", "c")
SETTLE_S = 4.0
"""Time for the start of the router, which is not measured."""
WORK_ENTRIES = 8
"""Targets in a status: the paths of one or two streams."""
LAST_NUMBER = 999
"""Number of the measured host.  The first hosts of a zone follow the store for all."""
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@dataclass(slots=True)
class SimulatedHost:
    """Another host, of which only its datagrams to the router exist."""

    host_id: str
    zone: str
    watches: bool
    socket: DatagramSocket
    known: PeerStatus | None = None
    """The router's last status that it received."""

    def receive(self) -> None:
        """Read the router's statuses."""
        for data in self.socket.read_waiting():
            message = decoder.decode(data)
            if isinstance(message, PeerStatus):
                self.known = message

    def status(self, echoes: list[Echo], target_ids: list[str], now: float) -> bytes:
        """Return the status that it sends."""
        host, port = self.socket.address
        return encoder.encode(
            PeerStatus(
                self.host_id,
                self.zone,
                f"{host}:{port}",
                work_of(target_ids[:WORK_ENTRIES]),
                [],
                [],
                [],
                now,
                1,
                0.5,
                0.5,
                echoes,
                [Use("pool", 12, 0), Use("portal", 3, 0)],
                [LinkShare(*pair, 0.01) for pair in itertools.pairwise(ZONES)],
                self.watches,
                self.known.targets_digest if self.known else 0,
                0.3,
                relay=RelayOffer.SOUND,
            )
        )

    def zone_total(self, zone: str, target_ids: list[str]) -> bytes:
        """Return the total of a zone that a watcher sends."""
        return encoder.encode(PeerZoneTotal(zone, 0.2, work_of(target_ids)))


def work_of(target_ids: list[str]) -> list[Work]:
    """Return an entry of work for each target."""
    return [Work(target_id, 1, 9000, 0) for target_id in target_ids]


class IdleRun:
    """One router among simulated hosts."""

    __slots__ = ("_hosts", "_others", "_rng", "_seconds", "_target_ids")

    def __init__(self, hosts: int, targets: int, seconds: float, seed: int = 1):
        self._hosts = hosts
        self._rng = random.Random(seed)
        self._seconds = seconds
        self._target_ids = [f"i-{number:010x}" for number in range(targets)]
        self._others: list[SimulatedHost] = []

    async def run(self, folder: Path) -> float:
        """Return the share of a processor that the router takes."""
        async with trio.open_nursery() as nursery:
            store = await self._serve_store(nursery)
            ports = free_ports(3)
            router = RouterProcess(LAST_NUMBER, folder, ports, store)
            router.start()
            try:
                self._join()
                for other in self._others:
                    nursery.start_soon(self._send_statuses, other, ports[2])
                await trio.sleep(SETTLE_S)
                before_s = processor_s(router.pid)
                await trio.sleep(self._seconds)
                used_s = processor_s(router.pid) - before_s
            finally:
                router.end()
                for other in self._others:
                    other.socket.__exit__(None, None, None)
            nursery.cancel_scope.cancel()
        return used_s / self._seconds

    async def _serve_store(self, nursery) -> str:
        store = ObjectStoreApp()
        store.put("config", "main", config())
        for number, target_id in enumerate(self._target_ids):
            first = number % 8 * 10
            entry = layered_entry(f"127.0.0.1:{number + 1}", first, first + 10)
            zone = ZONES[number % len(ZONES)]
            store.put("servers", target_id, entry | {"zone": zone})
        for zone in ZONES:
            # The router asks one target of each zone for its usual time to answer.
            target = LayeredTarget(f"z-{zone}", first=0, end=10)
            target.address = await self._serve(nursery, target)
            entry = layered_entry(target.address, 0, 10)
            store.put("servers", target.id, entry | {"zone": zone})
        return await self._serve(nursery, store)

    async def _serve(self, nursery, app) -> str:
        listener = ListenerConfig.from_settings("127.0.0.1:0", drain_s=0.0)
        (url,) = await nursery.start(serve_app, app, listener, None)
        return url.removeprefix("http://")

    def _join(self) -> None:
        """Create the other hosts, the first of each zone as its watchers."""
        for number in range(1, self._hosts):
            watches = number <= WATCHERS_PER_ZONE * len(ZONES)
            self._others.append(
                SimulatedHost(
                    f"host-{number + 1}",
                    ZONES[number % len(ZONES)],
                    watches,
                    DatagramSocket("127.0.0.1:0", DATAGRAM_BYTES),
                )
            )

    async def _send_statuses(self, other: SimulatedHost, port: int) -> None:
        address, number = ("127.0.0.1", port), 0
        await trio.sleep(self._rng.uniform(0.0, GOSSIP_PERIOD_S))
        while True:
            number += 1
            now = trio.current_time()
            if self._reaches_router(other, number):
                other.receive()
                echoes = [Echo(item.host_id, now) for item in self._others]
                if other.known is not None:
                    echoes.append(Echo(other.known.host_id, other.known.sent_at))
                data = other.status(echoes, self._target_ids, now)
                other.socket.send(data, [address])
                if other.watches and other.zone == ZONES[0]:
                    for zone in ZONES:
                        data = other.zone_total(zone, self._target_ids)
                        other.socket.send(data, [address])
            await trio.sleep(GOSSIP_PERIOD_S)

    def _reaches_router(self, other: SimulatedHost, number: int) -> bool:
        """Return whether a status of this number has the router as a recipient."""
        same_zone = [item for item in self._others if item.zone == other.zone]
        if other.zone == ZONES[0]:
            return self._rng.random() < ZONE_FANOUT / max(1, len(same_zone))
        elsewhere = self._hosts - len(same_zone)
        share = REMOTE_ZONE_FANOUT / max(1, elsewhere)
        return number % REMOTE_ZONE_EVERY == 0 and self._rng.random() < share


def processor_s(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


@click.command()
@click.option("--hosts", type=click.IntRange(2, 300), multiple=True, default=[6, 30])
@click.option("--targets", type=click.IntRange(1, 300), default=99)
@click.option("--seconds", type=click.FloatRange(1.0, 600.0), default=10.0)
def main(hosts: tuple[int, ...], targets: int, seconds: float):
    """Print the processor time of an idle router among so many hosts."""
    for count in hosts:
        with tempfile.TemporaryDirectory() as folder:
            idle_run = IdleRun(count, targets, seconds)
            share = trio.run(idle_run.run, Path(folder))
        click.echo(f"{count:4} hosts, {targets} targets: {share:.4f} of a processor")


if __name__ == "__main__":
    main()
