"""Tests of how changes reach every host: watchers, peers, digests, partitions."""

import random

import trio
import trio.testing

from radishfield.core import Host, Profile, ResultCode, StoredObject
from radishfield.fleet import FactTable, ProfileStore, SpreadSettings
from radishfield.fleet._spread import choose_fan_out
from standins.entry_host import MemoryFleet, MemoryHost


async def wait_active(hosts, version, within_s):
    with trio.fail_after(within_s):
        for a_host in hosts:
            await a_host.store.wait_version("review", version)


def run(main):
    async def with_fleet():
        async with trio.open_nursery() as nursery:
            await main(MemoryFleet(nursery))
            nursery.cancel_scope.cancel()

    trio.run(with_fleet, clock=trio.testing.MockClock(autojump_threshold=0))


def review(**fields):
    return Profile("review", model="m", **fields)


def test_change_is_active_everywhere_and_calls_do_not_grow_with_hosts():
    """Hosts in three zones: a change at one is active at every host in seconds.

    Only two hosts of each zone may call the platform, however many there are.
    """

    async def main(fleet):
        await fleet.add(6)
        await trio.sleep(20)
        await fleet.hosts[0].store.publish(review())
        await wait_active(fleet.hosts, 1, 5)
        before = fleet.platform.calls()
        await trio.sleep(30)
        with_six = fleet.platform.calls() - before
        await fleet.add(9)
        await trio.sleep(20)
        before = fleet.platform.calls()
        await trio.sleep(30)
        with_fifteen = fleet.platform.calls() - before
        assert with_fifteen < 1.1 * with_six

    run(main)


def test_watch_gap_is_covered_by_the_list():
    """The platform skips the watch event of a change that another system wrote."""

    async def main(fleet):
        await fleet.add(3)
        await trio.sleep(10)
        fleet.platform.faults.skipped_events = 1
        writer = ProfileStore(fleet.platform.as_caller("other"), FactTable())
        await writer.publish(review())
        await wait_active(fleet.hosts, 1, 8)

    run(main)


def test_partitioned_zone_serves_its_version_and_catches_up():
    """A zone is disconnected from everything while a profile is retired.

    Its hosts continue with the version that they have.  After the partition they
    must get the tombstone, and no other host may get the old version from them.
    """

    async def main(fleet):
        await fleet.add(9)
        await trio.sleep(10)
        await fleet.hosts[0].store.publish(review())
        await wait_active(fleet.hosts, 1, 5)
        fleet.partition_zone("z2")
        await trio.sleep(20)
        await fleet.hosts[0].store.retire("review")
        await trio.sleep(20)
        partitioned = [a_host for a_host in fleet.hosts if a_host.zone == "z2"]
        assert {a_host.store.find("review").ok.version for a_host in partitioned} == {1}
        fleet.heal()
        await wait_active(fleet.hosts, 2, 30)
        await trio.sleep(20)
        for a_host in fleet.hosts:
            problem = a_host.store.find("review").error
            assert problem.code is ResultCode.PROFILE_RETIRED

    run(main)


def test_host_that_starts_in_a_partitioned_zone_learns_from_zone_peers():
    """A host starts while its zone reaches neither the platform nor other zones.

    With a reachable peer in its zone it serves the profiles.  Without one it must
    refuse with a separate code, not report that the profile does not exist.
    """

    async def main(fleet):
        await fleet.add(5)
        await trio.sleep(10)
        await fleet.hosts[0].store.publish(review())
        await wait_active(fleet.hosts, 1, 5)
        newcomer = MemoryHost(fleet, 5)
        fleet.hosts.append(newcomer)
        fleet.partition_zone("z2")
        fleet.nursery.start_soon(newcomer.run)
        # Shorter than the time until the first answer of a peer.
        await trio.sleep(0.001)
        not_received = newcomer.store.find("review").error
        assert not_received.code is ResultCode.PROFILES_UNKNOWN
        await wait_active([newcomer], 1, 10)
        with trio.fail_after(5):
            while not newcomer.facts.is_filled:
                await trio.sleep(0.1)
        unknown = newcomer.store.find("none").error
        assert unknown.code is ResultCode.UNKNOWN_PROFILE
        isolated = MemoryHost(fleet, 6)
        fleet.platform.faults.cut_off.add("h6")
        fleet.network.faults.silent.add("h6:1")
        fleet.nursery.start_soon(isolated.run)
        await trio.sleep(0.1)
        await trio.sleep(30)
        assert isolated.store.find("review").error.code is ResultCode.PROFILES_UNKNOWN

    run(main)


def test_watcher_that_loses_the_platform_is_replaced():
    """Both watchers of a zone lose the platform; the third host still reaches it.

    The zone must still receive changes, from the third host.
    """

    async def main(fleet):
        await fleet.add(9)
        fleet.platform.set_hosts([Host("h0", "z0", address="h0:1")])
        await trio.sleep(10)
        chosen = fleet.hosts[0].watcher.watchers()
        assert len(chosen) == 2
        fleet.platform.faults.cut_off.update(chosen)
        await trio.sleep(30)
        rest = {"h0", "h3", "h6"} - set(chosen)
        assert rest <= set(fleet.hosts[0].watcher.watchers())
        (third,) = (a_host for a_host in fleet.hosts if a_host.id in rest)
        assert third.directory.seed_addresses() == ["h0:1"]
        fleet.heal()
        await trio.sleep(40)
        assert fleet.hosts[0].watcher.watchers() == chosen

    run(main)


def test_digests_repair_lost_datagrams_and_carry_large_values():
    async def main(fleet):
        await fleet.add(6)
        await trio.sleep(10)
        fleet.network.faults.lost_share = 0.3
        fleet.platform.set_down(True)
        large = StoredObject("target", "large", 1, bytes(300_000))
        facts = [StoredObject("target", f"t{n}", 1, b"v" * 50) for n in range(200)]
        for fact in (large, *facts):
            fleet.hosts[0].facts.learn(fact)
        with trio.fail_after(60):
            while len({a_host.facts.digest() for a_host in fleet.hosts}) > 1:
                await trio.sleep(0.5)
        assert len(fleet.hosts[5].facts.all_of("target")) == 201

    run(main)


def test_fan_out_prefers_the_zone_and_fills_up_from_others():
    async def main(fleet):
        await fleet.add(9)
        await trio.sleep(10)
        members = fleet.hosts[0].peers.members()
        chosen = choose_fan_out(members, SpreadSettings("h0", "z0"), random.Random(1))
        assert set(chosen[:2]) == {"h3", "h6"} and len(set(chosen)) == 4
        chosen_without_zone_peers = choose_fan_out(
            members, SpreadSettings("x", "zx"), random.Random(1)
        )
        assert len(set(chosen_without_zone_peers)) == 4

    run(main)
