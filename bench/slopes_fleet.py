"""Measures how control plane costs grow with the fleet, one line per figure.

``python -m bench.slopes_fleet NAME`` prints a figure with the command that produced
it.  ``virtual`` figures run the real services of all hosts in one process over
an in-memory network in trio's virtual time (half a millisecond one way).  Their CPU
time is that of the process divided by the hosts, including the in-memory network.
``real`` figures use UDP and TCP sockets on loopback and the wall clock.
"""

import gc
import random
import statistics
import time
import tracemalloc
from collections.abc import Awaitable, Callable, Sequence

import click
import msgspec
import trio
import trio.testing

from bench._fleet_processes import measure_processes
from radishfield.core import (
    LayerRange,
    MemberState,
    Profile,
    StoredObject,
    Target,
    TargetState,
    TrioClock,
)
from radishfield.edges import PeerKey, PeerNetwork, PeerSettings, SocketTransport
from radishfield.fleet import DrainKind, FactTable, Membership, TargetDirectory, Update
from standins.entry_host import MemoryFleet, MemoryHost

UDP_IP_BYTES = 28
TARGETS_PER_HOST = 6.5
HOSTS_PER_ZONE = 20
"""At the target fleet size: 340 hosts and 2,200 targets in 17 zones."""


def print_figure(name: str, figure: str, mode: str, command: str) -> None:
    """Print one figure with the command that produced it."""
    click.echo(f"{name} | {figure} | {mode} | python -m bench.slopes_fleet {command}")


def in_virtual_time(main: Callable[[trio.Nursery], Awaitable[None]]) -> None:
    """Run ``main`` with a nursery in trio's virtual time."""

    async def run():
        async with trio.open_nursery() as nursery:
            await main(nursery)
            nursery.cancel_scope.cancel()

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


def zone_count(hosts: int) -> int:
    """Return at least three zones, and one per 20 hosts as at the target fleet size."""
    return max(3, hosts // HOSTS_PER_ZONE)


def engine_target(number: int, zone: str) -> Target:
    """Return a target as operators declare it."""
    return Target(
        f"{zone}-engine-{number:04}",
        f"{zone}-host-{number:04}",
        zone,
        "10.0.0.1:8000",
        model="model-of-9",
        layers=LayerRange(0, 20),
        model_layers=80,
        speed_tps=400.0,
        checks_fencing=True,
    )


async def settled_fleet(
    nursery: trio.Nursery, hosts: int, targets: int = 0, zones: int = 0
) -> MemoryFleet:
    """Return a fleet in which all hosts have discovered each other and all targets."""
    fleet = MemoryFleet(nursery, zones or zone_count(hosts))
    for number in range(targets):
        target = engine_target(number, f"z{number % fleet.zones}")
        value = msgspec.json.encode(target)
        await fleet.platform.as_caller("operator").write("target", target.id, value, 0)
        if number % 200 == 199:
            await trio.sleep(1)
    await fleet.add(hosts)
    with trio.fail_after(600):
        while not all(
            len(live_members(host)) == hosts
            and len(host.directory.targets()) == targets
            for host in fleet.hosts
        ):
            await trio.sleep(1)
    await trio.sleep(40)
    return fleet


def live_members(host: MemoryHost) -> Sequence[str]:
    """Return the ids of the members that a host does not mark as dead."""
    return [
        member.id
        for member in host.peers.members()
        if member.state is not MemberState.DEAD
    ]


def wire_bytes(fleet: MemoryFleet) -> tuple[int, int]:
    """Return bytes sent by all hosts including UDP and IP headers, and datagrams."""
    datagrams = sum(sum(h.peers.frames_sent.values()) for h in fleet.hosts)
    payload = sum(h.peers.bytes_sent + h.peers.streams.bytes_sent for h in fleet.hosts)
    return payload + datagrams * UDP_IP_BYTES, datagrams


@click.group()
def main() -> None:
    """Measure the fleet's slopes."""


@main.command()
@click.argument("sizes", nargs=-1, type=int)
@click.option("--seconds", default=60)
@click.option("--with-targets", is_flag=True)
@click.option("--zones", default=0, help="0: three, or 20 hosts a zone.")
def peers(sizes: Sequence[int], seconds: int, with_targets: bool, zones: int) -> None:
    """Print bytes, datagrams and CPU a host in a quiet fleet."""
    for hosts in sizes or (5, 20, 80, 340):
        targets = int(hosts * TARGETS_PER_HOST) if with_targets else 0

        async def measure(nursery: trio.Nursery, hosts=hosts, targets=targets) -> None:
            fleet = await settled_fleet(nursery, hosts, targets, zones)
            bytes_before, datagrams_before = wire_bytes(fleet)
            exchanges_before = sum(h.spreader.exchanges for h in fleet.hosts)
            polls_before = fleet.targets.polls
            cpu_before = time.process_time()
            await trio.sleep(seconds)
            cpu_s = time.process_time() - cpu_before
            sent, datagrams = wire_bytes(fleet)
            per_host = hosts * seconds
            exchanges = sum(h.spreader.exchanges for h in fleet.hosts)
            print_figure(
                f"peers: {hosts} hosts, {targets} targets",
                f"{(sent - bytes_before) / per_host:.0f} B/s sent a host, "
                f"{(datagrams - datagrams_before) / per_host:.2f} datagrams/s, "
                f"{100 * cpu_s / per_host:.2f} % of a core, "
                f"{(fleet.targets.polls - polls_before) / per_host:.1f} polls/s, "
                f"{(exchanges - exchanges_before) / per_host:.3f} exchanges/s",
                "virtual",
                f"peers {hosts} --seconds {seconds}"
                + (" --with-targets" if with_targets else "")
                + (f" --zones {zones}" if zones else ""),
            )

        in_virtual_time(measure)


@main.command()
@click.argument("sizes", nargs=-1, type=int)
@click.option("--seconds", default=120)
def platform(sizes: Sequence[int], seconds: int) -> None:
    """Print platform calls a second and zone as hosts are added."""
    for hosts_a_zone in sizes or (2, 4, 9):

        async def measure(nursery: trio.Nursery, hosts_a_zone=hosts_a_zone) -> None:
            fleet = await settled_fleet(nursery, 3 * hosts_a_zone)
            before = fleet.platform.calls()
            await trio.sleep(seconds)
            rate = (fleet.platform.calls() - before) / seconds / 3
            print_figure(
                f"platform: {hosts_a_zone} hosts a zone",
                f"{rate:.2f} calls/s a zone",
                "virtual",
                f"platform {hosts_a_zone} --seconds {seconds}",
            )

        in_virtual_time(measure)


@main.command()
@click.argument("sizes", nargs=-1, type=int)
@click.option("--changes", default=20)
@click.option("--lost", default=0.0)
def spread(sizes: Sequence[int], changes: int, lost: float) -> None:
    """Print how long a profile change takes to be in force at all hosts."""
    for hosts in sizes or (9, 80, 340):

        async def measure(nursery: trio.Nursery, hosts=hosts) -> None:
            fleet = await settled_fleet(nursery, hosts)
            fleet.network.faults.lost_share = lost
            rng = random.Random(1)
            delays: list[float] = []
            profile = Profile("review", model="m")
            await fleet.hosts[0].store.publish(profile)
            await trio.sleep(20)

            async def wait(host: MemoryHost, version: int, accepted: float) -> None:
                await host.store.wait_version("review", version)
                delays.append(trio.current_time() - accepted)

            for _ in range(changes):
                changed = await rng.choice(fleet.hosts).store.change(profile)
                accepted = trio.current_time()
                async with trio.open_nursery() as waits:
                    for host in fleet.hosts:
                        waits.start_soon(wait, host, changed.ok.version, accepted)
                await trio.sleep(rng.uniform(5, 10))
            print_quantiles(
                f"spread: {hosts} hosts, {changes} changes, {lost:.0%} lost",
                delays,
                f"spread {hosts} --changes {changes} --lost {lost}",
            )

        in_virtual_time(measure)


@main.command()
@click.argument("sizes", nargs=-1, type=int)
@click.option("--deaths", default=10)
def detection(sizes: Sequence[int], deaths: int) -> None:
    """Print how long the others take to hold a killed host for dead.

    Each is replaced by a new host before the next one dies.
    """
    for hosts in sizes or (9, 80, 340):

        async def measure(nursery: trio.Nursery, hosts=hosts) -> None:
            fleet = await settled_fleet(nursery, hosts)
            delays: list[float] = []
            for _ in range(deaths):
                victim = fleet.hosts.pop()
                victim.stop()
                killed = trio.current_time()
                waiting = list(fleet.hosts)
                while waiting:
                    await trio.sleep(0.1)
                    remaining = [h for h in waiting if victim.id in live_members(h)]
                    seen = len(waiting) - len(remaining)
                    delays += [trio.current_time() - killed] * seen
                    waiting = remaining
                await fleet.add(1)
                await trio.sleep(20)
            print_quantiles(
                f"detection: {hosts} hosts, {deaths} deaths",
                delays,
                f"detection {hosts} --deaths {deaths}",
            )

        in_virtual_time(measure)


@main.command()
@click.argument("sizes", nargs=-1, type=int)
@click.option("--without-platform", is_flag=True)
def drain(sizes: Sequence[int], without_platform: bool) -> None:
    """Print how long a drained target is still live at any host."""
    for hosts in sizes or (9, 80):

        async def measure(nursery: trio.Nursery, hosts=hosts) -> None:
            targets = int(hosts * TARGETS_PER_HOST)
            fleet = await settled_fleet(nursery, hosts, targets)
            fleet.platform.set_down(without_platform)
            delays: list[float] = []

            async def wait(host: MemoryHost, target_id: str, since: float) -> None:
                directory = host.directory
                while directory.find(target_id).state is TargetState.LIVE:
                    await directory.wait_changed(directory.version)
                delays.append(trio.current_time() - since)

            for target in fleet.hosts[0].directory.targets()[:20]:
                requested_at = trio.current_time()
                async with trio.open_nursery() as waits:
                    for host in fleet.hosts:
                        waits.start_soon(wait, host, target.id, requested_at)
                    operations = random.Random(target.id).choice(fleet.hosts).operations
                    await operations.drain(DrainKind.TARGET, target.id)
                await trio.sleep(3)
            print_quantiles(
                f"drain: {hosts} hosts, 20 drains"
                + (", platform down" if without_platform else ""),
                delays,
                f"drain {hosts}" + (" --without-platform" if without_platform else ""),
            )

        in_virtual_time(measure)


@main.command()
def memory() -> None:
    """Print the memory of the state that each host holds at the target size."""
    gc.collect()
    tracemalloc.start()
    kept = []
    before = tracemalloc.get_traced_memory()[0]

    def print_growth(name: str, state: object) -> None:
        nonlocal before
        kept.append(state)
        now = tracemalloc.get_traced_memory()[0]
        print_figure(
            f"memory: {name}", f"{(now - before) / 1e6:.2f} MB", "real", "memory"
        )
        before = now

    own = Update("h0", "z0", "10.0.0.1:7000", 1)
    membership = Membership(own, 0.5, random.Random(1))
    for number in range(1, 340):
        zone = f"region-{number % 7}-zone-{number % 17}"
        address = f"10.0.{number % 256}.1:7000"
        membership.observe(Update(f"entry-{number:04}", zone, address, number), 0.0)
    print_growth("membership of 340 hosts", membership)
    facts = FactTable()
    for number in range(500):
        value = msgspec.json.encode(Profile(f"profile-{number}", model="model-of-9"))
        facts.learn(StoredObject("profile", f"profile-{number}", 1, value), False)
    print_growth("500 profiles as facts", facts)
    directory = TargetDirectory("z0", facts, membership, TrioClock())
    for number in range(2_200):
        target = engine_target(number, f"region-zone-{number % 17}")
        value = msgspec.json.encode(target)
        facts.learn(StoredObject("target", target.id, 1, value), False)
    print_growth("2,200 targets as facts and in the directory", directory)
    tracemalloc.stop()


@main.command()
@click.argument("sizes", nargs=-1, type=int)
@click.option("--seconds", default=20)
def sockets(sizes: Sequence[int], seconds: int) -> None:
    """Print bytes and CPU a host over real sockets, all in one process."""
    for hosts in sizes or (5, 20):
        trio.run(measure_sockets, hosts, seconds)


async def measure_sockets(hosts: int, seconds: int) -> None:
    """Run `hosts` peer networks on loopback and print their cost."""
    transports = [SocketTransport("127.0.0.1:0") for _ in range(hosts)]
    for transport in transports:
        await transport.open()
    addresses = [transport.address for transport in transports]
    for transport in transports:
        transport.close()
    keys = (PeerKey(1, b"a secret of 16 bytes"),)
    networks = [
        PeerNetwork(
            PeerSettings(f"h{n}", f"z{n % 3}", address, keys, (addresses[0],)),
            TrioClock(),
        )
        for n, address in enumerate(addresses)
    ]
    async with trio.open_nursery() as nursery:
        for network in networks:
            await nursery.start(network.run)
        started = time.monotonic()
        with trio.fail_after(60):
            while any(len(network.members()) < hosts for network in networks):
                await trio.sleep(0.1)
        joined_s = time.monotonic() - started
        await trio.sleep(5)
        sent = sum(network.bytes_sent for network in networks)
        cpu_before = time.process_time()
        await trio.sleep(seconds)
        cpu_s = time.process_time() - cpu_before
        sent = sum(network.bytes_sent for network in networks) - sent
        nursery.cancel_scope.cancel()
    per_host = hosts * seconds
    print_figure(
        f"sockets: {hosts} hosts",
        f"{sent / per_host:.0f} B/s of payload sent a host, "
        f"{100 * cpu_s / per_host:.2f} % of a core; "
        f"all knew all {joined_s:.1f} s after they started together",
        "real",
        f"sockets {hosts} --seconds {seconds}",
    )


@main.command()
@click.argument("hosts_a_zone", default=3)
def processes(hosts_a_zone: int) -> None:
    """Print the same of a fleet of real processes, at the operators' endpoint."""
    figures = trio.run(measure_processes, hosts_a_zone)
    hosts, command = 3 * hosts_a_zone, f"processes {hosts_a_zone}"
    print_figure(
        f"processes: {hosts} quiet hosts, 12 engines",
        f"{figures.platform_calls_per_s:.2f} platform calls/s a zone, "
        f"{100 * figures.cpu_share:.1f} % of a core a host, "
        f"{figures.resident_bytes / 1e6:.0f} MB resident at the most",
        "real",
        command,
    )
    for name, delays in (
        ("spread of a profile change", figures.spread_s),
        ("drained target left out", figures.drain_s),
        ("killed host held for dead", figures.detection_s),
    ):
        print_quantiles(f"processes: {hosts} hosts, {name}", delays, command, "real")


def print_quantiles(
    name: str, delays: Sequence[float], command: str, mode: str = "virtual"
) -> None:
    """Print the median, the 99th percentile and the longest of some delays."""
    ordered = sorted(delays)
    p99 = ordered[min(len(ordered) - 1, int(len(ordered) * 0.99))]
    print_figure(
        name,
        f"p50 {statistics.median(ordered):.3f} s, p99 {p99:.3f} s, "
        f"longest {ordered[-1]:.3f} s of {len(ordered)}",
        mode,
        command,
    )


if __name__ == "__main__":
    main()
