"""Tests of operator actions and status, on several hosts in memory."""

import trio
import trio.testing

from radishfield.core import (
    Host,
    LayerRange,
    Member,
    MemberState,
    Profile,
    ResultCode,
    Target,
    TargetState,
)
from radishfield.fleet import DrainKind, ZoneReach
from radishfield.fleet._operations import zone_statuses
from standins.entry_host import MemoryFleet


def run(main):
    async def with_fleet():
        async with trio.open_nursery() as nursery:
            await main(MemoryFleet(nursery))
            nursery.cancel_scope.cancel()

    trio.run(with_fleet, clock=trio.testing.MockClock(autojump_threshold=0))


def engine(target_id="t1", zone="z1"):
    return Target(
        target_id,
        "host1",
        zone,
        "127.0.0.1:1",
        model="m",
        layers=LayerRange(0, 4),
        model_layers=4,
    )


def test_status_shows_active_versions_and_cut_off_zones():
    """A profile is changed while a zone is disconnected.

    The operator must see the new version in the reachable zones, and the
    disconnected zone as cut off, not as up to date.
    """

    async def main(fleet):
        await fleet.add(9)
        await trio.sleep(10)
        operations = fleet.hosts[0].operations
        profile = Profile("review", model="m")
        assert (await operations.publish_profile(profile)).is_ok()
        await trio.sleep(5)
        status = (await operations.status()).ok
        assert len(status.members) == 9 and status.profiles_known
        assert [
            (item.zone, item.lowest_version, item.hosts_answered)
            for item in status.profiles_in_zones
        ] == [("z0", 1, 3), ("z1", 1, 3), ("z2", 1, 3)]
        fleet.partition_zone("z2")
        await trio.sleep(30)
        assert (await operations.change_profile(profile, 1)).ok.version == 2
        await trio.sleep(5)
        status = (await operations.status()).ok
        reach = {zone.zone: zone.reach for zone in status.zones}
        assert reach == {
            "z0": ZoneReach.REACHABLE,
            "z1": ZoneReach.REACHABLE,
            "z2": ZoneReach.CUT_OFF,
        }
        by_zone = {item.zone: item for item in status.profiles_in_zones}
        assert by_zone["z1"].lowest_version == 2
        assert by_zone["z2"].hosts_answered == 0
        assert operations.show_profile("review").ok.version == 2
        assert len(operations.list_profiles()) == 1

    run(main)


def test_drain_reaches_all_hosts_and_reports_that_the_platform_is_down():
    """A target is drained, undrained, and drained again in a platform outage.

    During the outage all hosts must still stop giving it work within seconds,
    and the operator must be informed that the drain is not stored.
    """

    async def main(fleet):
        await fleet.add(6)
        await trio.sleep(10)
        operations = fleet.hosts[0].operations

        async def expect(state):
            with trio.fail_after(3):
                for a_host in fleet.hosts:
                    directory = a_host.directory
                    while not (
                        directory.find("t1") and directory.find("t1").state is state
                    ):
                        await directory.wait_changed(directory.version)

        assert (await operations.add_target(engine())).is_ok()
        await expect(TargetState.LIVE)
        assert (await operations.drain(DrainKind.ZONE, "z1")).is_ok()
        await expect(TargetState.LEAVING)
        assert (await operations.undrain(DrainKind.ZONE, "z1")).is_ok()
        await expect(TargetState.LIVE)
        fleet.platform.set_down(True)
        problem = (await operations.drain(DrainKind.HOST, "host1")).error
        assert problem.code is ResultCode.PLATFORM_UNAVAILABLE
        assert "1 targets" in problem.detail
        await expect(TargetState.LEAVING)

    run(main)


def test_bad_input_is_refused_and_hosts_become_seeds():
    async def main(fleet):
        await fleet.add(1)
        operations = fleet.hosts[0].operations
        bad = engine()
        bad = Target("t", "h", "z", "a:1", layers=LayerRange(0, 9), model_layers=4)
        assert (await operations.add_target(bad)).error.code is (
            ResultCode.CHANGE_INVALID
        )
        assert (await operations.drain(DrainKind.HOST, "")).error.code is (
            ResultCode.CHANGE_INVALID
        )
        host = Host("h9", "z0", address="h9:1")
        assert (await operations.add_host(host)).ok == host
        assert fleet.hosts[0].directory.seed_addresses() == ["h9:1"]

    run(main)


def test_zone_without_any_known_host_is_silent():
    members = [Member("h", "z0", "", 1), Member("d", "z1", "", 1, MemberState.DEAD)]
    reach = [
        status.reach for status in zone_statuses("z0", members, [engine("t", "z9")])
    ]
    assert reach == [ZoneReach.REACHABLE, ZoneReach.CUT_OFF, ZoneReach.SILENT]
