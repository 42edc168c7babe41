"""Tests of a zone in which a few hosts follow the store and update the others."""

import uuid

import trio

from radishfield.forwarding._peer_messages import TargetUpdate
from radishfield.forwarding.conftest import open_testbed
from radishfield.routing import WATCHERS_PER_ZONE, Position
from standins.routed_config import KEY, config, target_entry

HOSTS = 9
BOUND_S = 2.0
"""Each change has to be active at every host within this time."""


def play(tmp_path, scenario):
    async def main():
        with trio.fail_after(30):
            async with open_testbed(tmp_path) as testbed:
                testbed.store.put("config", "main", config())
                await testbed.add_plain("p1")
                routers = await testbed.start_zone(HOSTS)
                await testbed.until(lambda: len(on_duty(routers)) == WATCHERS_PER_ZONE)
                await scenario(testbed, routers)

    trio.run(main)


def on_duty(routers):
    return [router for router in routers if router.view.watch_duty.on_duty]


def listed(router):
    return {record.id: record.address for record in router.view.directory.all_records()}


async def heartbeats(testbed):
    """Rewrite the target's entry periodically, as the target itself does."""
    beat = 1
    while True:
        await trio.sleep(0.1)
        beat += 1
        entry = target_entry("portal", testbed.plain[0].address, seq=beat)
        testbed.store.put("servers", "p1", entry)


def test_heartbeats_cost_calls_at_the_watchers_only(tmp_path):
    async def scenario(testbed, routers):
        testbed.nursery.start_soon(heartbeats, testbed)
        await trio.sleep(1.0)
        before, began = testbed.store.calls, trio.current_time()
        await trio.sleep(3.0)
        rate = (testbed.store.calls - before) / (trio.current_time() - began)
        # Two watchers of two kinds; nine watchers would make some 20 calls a second.
        assert rate < 8.0
        for router in routers:
            assert router.view.freshness.age_s(router.view.clock.now()) < 4.0

    play(tmp_path, scenario)


def test_changes_become_active_at_hosts_that_do_not_watch_the_store(tmp_path):
    """Target changes and a revoked key have to reach every host in time."""

    async def scenario(testbed, routers):
        entry = target_entry("portal", "10.9.9.9:80")
        testbed.store.put("servers", "p2", entry)
        await testbed.until(lambda: all("p2" in listed(r) for r in routers), BOUND_S)
        testbed.store.put("servers", "p2", entry | {"addr": "10.9.9.8:80"})
        moved = "10.9.9.8:80"
        await testbed.until(
            lambda: all(listed(r)["p2"] == moved for r in routers), BOUND_S
        )
        testbed.store.remove("servers", "p2")
        await testbed.until(
            lambda: all("p2" not in listed(r) for r in routers), BOUND_S
        )
        testbed.store.put("config", "main", config(2, tenants=[]))
        versions = [lambda r=r: r.view.table.config.version for r in routers]
        await testbed.until(lambda: {each() for each in versions} == {2}, BOUND_S)
        assert all(KEY not in r.view.table.config.workspace_by_key for r in routers)

    play(tmp_path, scenario)


def test_change_of_the_configuration_costs_no_call_at_hosts_that_are_told(tmp_path):
    """Keys are revoked three times; two hundred hosts would each read every version.

    Instead two watchers read it and forward it within their zone.
    """

    async def scenario(testbed, routers):
        # All hosts watch until they have received each other's statuses.
        await trio.sleep(2.5)
        updated = [r for r in routers if not r.view.watch_duty.on_duty]
        before = [reads_of_config(r) for r in updated]
        for version in (2, 3, 4):
            testbed.store.put("config", "main", config(version, tenants=[]))
            await testbed.until(
                lambda v=version: {r.view.table.config.version for r in routers} == {v},
                BOUND_S,
            )
        assert [reads_of_config(r) for r in updated] == before

    play(tmp_path, scenario)


def test_configuration_too_long_for_a_datagram_is_read_from_the_store(tmp_path):
    async def scenario(testbed, routers):
        tenants = [{"name": "w", "apiKeys": [uuid.uuid4().hex for _ in range(900)]}]
        testbed.store.put("config", "main", config(2, tenants=tenants))
        await testbed.until(
            lambda: {r.view.table.config.version for r in routers} == {2}, BOUND_S
        )

    play(tmp_path, scenario)


def reads_of_config(router):
    """Return how often a router's follower has read the configuration."""
    return router.view.config_reads


def test_others_take_over_when_every_watcher_dies(tmp_path):
    """All hosts that follow the store are killed at the same time.

    The others no longer receive confirmations and read the store themselves.  Two of
    them take over the duty; a target added meanwhile is known within seconds.
    """

    async def scenario(testbed, routers):
        for router, scope in zip(routers, testbed.scopes, strict=True):
            if router.view.watch_duty.on_duty:
                scope.cancel()
        left = [router for router in routers if not router.view.watch_duty.on_duty]
        testbed.store.put("servers", "p2", target_entry("portal", "10.9.9.9:80"))
        await testbed.until(lambda: all("p2" in listed(r) for r in left), BOUND_S)
        await testbed.until(lambda: len(on_duty(left)) == WATCHERS_PER_ZONE)

    play(tmp_path, scenario)


def test_late_update_does_not_restore_a_removed_target(tmp_path):
    """Datagrams arrive out of order: first the entry's removal, then its last write."""

    async def scenario(testbed, routers):
        updated = next(r for r in routers if not r.view.watch_duty.on_duty)
        testbed.store.put("servers", "p2", target_entry("portal", "10.9.9.9:80"))
        await testbed.until(lambda: "p2" in listed(updated), BOUND_S)
        revision = testbed.store.revision_of("servers", "p2")
        # Other objects may be written between an entry and its removal.
        testbed.store.put("other", "unrelated", {})
        testbed.store.remove("servers", "p2")
        await testbed.until(lambda: "p2" not in listed(updated), BOUND_S)
        entry = target_entry("portal", "10.9.9.9:80")
        late = TargetUpdate.at("p2", Position(testbed.store.era, revision), entry)
        updated.view.on_target_updates([late])
        assert "p2" not in listed(updated)

    play(tmp_path, scenario)


def test_entries_that_no_datagram_takes_are_read_from_the_store(tmp_path):
    """Entries of another writer exceed a datagram and the integers of MessagePack."""

    async def scenario(testbed, routers):
        entry = target_entry("portal", "10.9.9.9:80", more="x" * 10_000)
        testbed.store.put("servers", "p2", entry)
        entry = target_entry("portal", "10.9.9.8:80", more=2**80)
        testbed.store.put("servers", "p3", entry)
        await testbed.until(
            lambda: all({"p2", "p3"} <= listed(r).keys() for r in routers), 4.0
        )

    play(tmp_path, scenario)


def test_hosts_without_watches_keep_targets_whose_entries_lapsed_in_an_outage(tmp_path):
    """Callers have to find targets at every host right after the store has recovered.

    The outage is longer than entries live without heartbeats, so the store recovers
    without them; the target rewrites its entry a second later.  Hosts that received
    the list from others have seen no failed call of their own.
    """

    async def scenario(testbed, routers):
        missing = set()

        async def record_missing():
            while True:
                missing.update(
                    n for n, r in enumerate(routers) if "p1" not in listed(r)
                )
                await trio.sleep(0.02)

        testbed.nursery.start_soon(record_missing)
        testbed.store.switches.status = 503
        await trio.sleep(3.1)
        testbed.store.remove("servers", "p1")
        testbed.store.switches.status = 0
        await trio.sleep(1.0)
        testbed.store.put(
            "servers", "p1", target_entry("portal", testbed.plain[0].address)
        )
        await trio.sleep(2.5)
        assert missing == set()

    play(tmp_path, scenario)
