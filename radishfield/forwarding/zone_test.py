"""A zone of several hosts: a few follow the store and tell the others."""

import uuid

import trio

from radishfield.forwarding._peer_messages import TargetUpdate
from radishfield.forwarding.conftest import world
from radishfield.routing import WATCHERS_PER_ZONE
from standins.routed_config import KEY, config, target_entry

HOSTS = 9
BOUND_S = 2.0
"""Each change has to be in force at every host within this time."""


def play(tmp_path, scene):
    async def main():
        with trio.fail_after(30):
            async with world(tmp_path) as played:
                played.store.put("config", "main", config())
                await played.add_plain("p1")
                routers = await played.start_zone(HOSTS)
                await played.until(lambda: len(on_duty(routers)) == WATCHERS_PER_ZONE)
                await scene(played, routers)

    trio.run(main)


def on_duty(routers):
    return [router for router in routers if router.view.watch_duty.on_duty]


def listed(router):
    return {record.id: record.address for record in router.view.directory.all_records()}


async def heartbeats(played):
    """Write the target's entry again and again, as it does itself."""
    beat = 1
    while True:
        await trio.sleep(0.1)
        beat += 1
        entry = target_entry("portal", played.plain[0].address, seq=beat)
        played.store.put("servers", "p1", entry)


def test_heartbeats_cost_calls_at_the_watchers_only(tmp_path):
    async def scene(played, routers):
        played.nursery.start_soon(heartbeats, played)
        await trio.sleep(1.0)
        before, began = played.store.calls, trio.current_time()
        await trio.sleep(3.0)
        rate = (played.store.calls - before) / (trio.current_time() - began)
        # Two watchers of two kinds; nine would make some 20 calls a second.
        assert rate < 8.0
        for router in routers:
            assert router.view.freshness.age_s(router.view.clock.now()) < 4.0

    play(tmp_path, scene)


def test_changes_are_in_force_at_hosts_that_are_told(tmp_path):
    """Targets come and go and a key is taken away; every host knows in time."""

    async def scene(played, routers):
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

    play(tmp_path, scene)


def test_change_of_the_configuration_costs_no_call_at_hosts_that_are_told(tmp_path):
    """Keys are taken away three times; two hundred hosts would read each version.

    Two watchers read it, and pass on what they read within their zone.
    """

    async def scene(played, routers):
        # All hosts watch until they hear of each other.
        await trio.sleep(2.5)
        told = [r for r in routers if not r.view.watch_duty.on_duty]
        before = [reads_of_config(r) for r in told]
        for version in (2, 3, 4):
            played.store.put("config", "main", config(version, tenants=[]))
            await played.until(
                lambda v=version: {r.view.table.config.version for r in routers} == {v},
                BOUND_S,
            )
        assert [reads_of_config(r) for r in told] == before

    play(tmp_path, scene)


def test_configuration_that_no_datagram_takes_is_read_from_the_store(tmp_path):
    async def scene(played, routers):
        tenants = [{"name": "w", "apiKeys": [uuid.uuid4().hex for _ in range(900)]}]
        played.store.put("config", "main", config(2, tenants=tenants))
        await played.until(
            lambda: {r.view.table.config.version for r in routers} == {2}, BOUND_S
        )

    play(tmp_path, scene)


def reads_of_config(router):
    """Return how often a router's follower has asked for the configuration."""
    return router.view.config_reads


def test_others_take_over_when_every_watcher_dies(tmp_path):
    """The hosts that followed the store are killed at once.

    The others miss their word, read the store themselves, and two of them take
    the duty; a target that comes meanwhile is known within seconds.
    """

    async def scene(played, routers):
        for router, scope in zip(routers, played.scopes, strict=True):
            if router.view.watch_duty.on_duty:
                scope.cancel()
        left = [router for router in routers if not router.view.watch_duty.on_duty]
        played.store.put("servers", "p2", target_entry("portal", "10.9.9.9:80"))
        await played.until(lambda: all("p2" in listed(r) for r in left), BOUND_S)
        await played.until(lambda: len(on_duty(left)) == WATCHERS_PER_ZONE)

    play(tmp_path, scene)


def test_news_that_is_late_does_not_bring_a_target_back(tmp_path):
    """A datagram overtakes another: the entry's removal, then its last writing."""

    async def scene(played, routers):
        told = next(r for r in routers if not r.view.watch_duty.on_duty)
        played.store.put("servers", "p2", target_entry("portal", "10.9.9.9:80"))
        await played.until(lambda: "p2" in listed(told), BOUND_S)
        revision = played.store.revision
        played.store.remove("servers", "p2")
        await played.until(lambda: "p2" not in listed(told), BOUND_S)
        late = TargetUpdate("p2", revision, target_entry("portal", "10.9.9.9:80"))
        told.view.on_target_updates([late])
        assert "p2" not in listed(told)

    play(tmp_path, scene)


def test_entries_that_no_datagram_takes_are_read_from_the_store(tmp_path):
    """Another writer's entry holds more than a datagram, and longer numbers."""

    async def scene(played, routers):
        entry = target_entry("portal", "10.9.9.9:80", more="x" * 10_000)
        played.store.put("servers", "p2", entry)
        entry = target_entry("portal", "10.9.9.8:80", more=2**80)
        played.store.put("servers", "p3", entry)
        await played.until(
            lambda: all({"p2", "p3"} <= listed(r).keys() for r in routers), 4.0
        )

    play(tmp_path, scene)


def test_hosts_that_are_told_hold_targets_that_the_outage_has_lapsed(tmp_path):
    """Callers find targets at every host right after the store's return.

    The store is away for longer than entries live without heartbeats, and returns
    without them; the target writes its entry anew a second later.  Hosts that were
    told of the list by others have seen no failed call of their own.
    """

    async def scene(played, routers):
        missing = set()

        async def look():
            while True:
                missing.update(
                    n for n, r in enumerate(routers) if "p1" not in listed(r)
                )
                await trio.sleep(0.02)

        played.nursery.start_soon(look)
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

    play(tmp_path, scene)
