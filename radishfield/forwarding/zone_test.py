"""Tests of a zone in which a few hosts follow the store and update the others."""

import uuid

import trio

from radishfield.forwarding._peer_messages import TargetUpdate
from radishfield.forwarding.conftest import world
from radishfield.routing import WATCHERS_PER_ZONE
from standins.routed_config import KEY, config, target_entry

HOSTS = 9
BOUND_S = 2.0
"""Each change has to be active at every host within this time."""


def play(tmp_path, scenario):
    async def main():
        with trio.fail_after(30):
            async with world(tmp_path) as played:
                played.store.put("config", "main", config())
                await played.add_plain("p1")
                routers = await played.start_zone(HOSTS)
                await played.until(lambda: len(on_duty(routers)) == WATCHERS_PER_ZONE)
                await scenario(played, routers)

    trio.run(main)


def on_duty(routers):
    return [router for router in routers if router.view.watch_duty.on_duty]


def listed(router):
    return {record.id: record.address for record in router.view.directory.all_records()}


async def heartbeats(played):
    """Rewrite the target's entry periodically, as the target itself does."""
    beat = 1
    while True:
        await trio.sleep(0.1)
        beat += 1
        entry = target_entry("portal", played.plain[0].address, seq=beat)
        played.store.put("servers", "p1", entry)


def test_heartbeats_cost_calls_at_the_watchers_only(tmp_path):
    async def scenario(played, routers):
        played.nursery.start_soon(heartbeats, played)
        await trio.sleep(1.0)
        before, began = played.store.calls, trio.current_time()
        await trio.sleep(3.0)
        rate = (played.store.calls - before) / (trio.current_time() - began)
        # Two watchers of two kinds; nine watchers would make some 20 calls a second.
        assert rate < 8.0
        for router in routers:
            assert router.view.freshness.age_s(router.view.clock.now()) < 4.0

    play(tmp_path, scenario)


def test_changes_become_active_at_hosts_that_do_not_watch_the_store(tmp_path):
    """Target changes and a revoked key have to reach every host in time."""

    async def scenario(played, routers):
        entry = target_entry("portal", "10.9.9.9:80")
        played.store.put("servers", "p2", entry)
        await played.until(lambda: all("p2" in listed(r) for r in routers), BOUND_S)
        played.store.put("servers", "p2", entry | {"addr": "10.9.9.8:80"})
        moved = "10.9.9.8:80"
        await played.until(
            lambda: all(listed(r)["p2"] == moved for r in routers), BOUND_S
        )
        played.store.remove("servers", "p2")
        await played.until(lambda: all("p2" not in listed(r) for r in routers), BOUND_S)
        played.store.put("config", "main", config(2, tenants=[]))
        versions = [lambda r=r: r.view.table.config.version for r in routers]
        await played.until(lambda: {each() for each in versions} == {2}, BOUND_S)
        assert all(KEY not in r.view.table.config.workspace_by_key for r in routers)

    play(tmp_path, scenario)


def test_change_of_the_configuration_costs_no_call_at_hosts_that_are_told(tmp_path):
    """Keys are revoked three times; two hundred hosts would each read every version.

    Instead two watchers read it and forward it within their zone.
    """

    async def scenario(played, routers):
        # All hosts watch until they have received each other's statuses.
        await trio.sleep(2.5)
        updated = [r for r in routers if not r.view.watch_duty.on_duty]
        before = [reads_of_config(r) for r in updated]
        for version in (2, 3, 4):
            played.store.put("config", "main", config(version, tenants=[]))
            await played.until(
                lambda v=version: {r.view.table.config.version for r in routers} == {v},
                BOUND_S,
            )
        assert [reads_of_config(r) for r in updated] == before

    play(tmp_path, scenario)


def test_configuration_too_long_for_a_datagram_is_read_from_the_store(tmp_path):
    async def scenario(played, routers):
        tenants = [{"name": "w", "apiKeys": [uuid.uuid4().hex for _ in range(900)]}]
        played.store.put("config", "main", config(2, tenants=tenants))
        await played.until(
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

    async def scenario(played, routers):
        for router, scope in zip(routers, played.scopes, strict=True):
            if router.view.watch_duty.on_duty:
                scope.cancel()
        left = [router for router in routers if not router.view.watch_duty.on_duty]
        played.store.put("servers", "p2", target_entry("portal", "10.9.9.9:80"))
        await played.until(lambda: all("p2" in listed(r) for r in left), BOUND_S)
        await played.until(lambda: len(on_duty(left)) == WATCHERS_PER_ZONE)

    play(tmp_path, scenario)


def test_late_update_does_not_restore_a_removed_target(tmp_path):
    """Datagrams arrive out of order: first the entry's removal, then its last write."""

    async def scenario(played, routers):
        updated = next(r for r in routers if not r.view.watch_duty.on_duty)
        played.store.put("servers", "p2", target_entry("portal", "10.9.9.9:80"))
        await played.until(lambda: "p2" in listed(updated), BOUND_S)
        revision = played.store.revision
        played.store.remove("servers", "p2")
        await played.until(lambda: "p2" not in listed(updated), BOUND_S)
        late = TargetUpdate("p2", revision, target_entry("portal", "10.9.9.9:80"))
        updated.view.on_target_updates([late])
        assert "p2" not in listed(updated)

    play(tmp_path, scenario)


def test_entries_that_no_datagram_takes_are_read_from_the_store(tmp_path):
    """Entries of another writer exceed a datagram and the integers of MessagePack."""

    async def scenario(played, routers):
        entry = target_entry("portal", "10.9.9.9:80", more="x" * 10_000)
        played.store.put("servers", "p2", entry)
        entry = target_entry("portal", "10.9.9.8:80", more=2**80)
        played.store.put("servers", "p3", entry)
        await played.until(
            lambda: all({"p2", "p3"} <= listed(r).keys() for r in routers), 4.0
        )

    play(tmp_path, scenario)


def test_hosts_without_watches_keep_targets_whose_entries_lapsed_in_an_outage(tmp_path):
    """Callers have to find targets at every host right after the store has recovered.

    The outage is longer than entries live without heartbeats, so the store recovers
    without them; the target rewrites its entry a second later.  Hosts that received
    the list from others have seen no failed call of their own.
    """

    async def scenario(played, routers):
        missing = set()

        async def record_missing():
            while True:
                missing.update(
                    n for n, r in enumerate(routers) if "p1" not in listed(r)
                )
                await trio.sleep(0.02)

        played.nursery.start_soon(record_missing)
        played.store.switches.status = 503
        await trio.sleep(3.1)
        played.store.remove("servers", "p1")
        played.store.switches.status = 0
        await trio.sleep(1.0)
        played.store.put(
            "servers", "p1", target_entry("portal", played.plain[0].address)
        )
        await trio.sleep(2.5)
        assert missing == set()

    play(tmp_path, scenario)
