"""Tests of a store that comes back from an older copy, in virtual time.

The operator and the targets write again what they wrote after the copy.  What hosts
know of versions, of targets that left and of those that live outlasts the return.
"""

import random

import pytest
import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st

from radishfield.forwarding import _gossip
from radishfield.forwarding._peer_finder import HOSTS_KIND
from radishfield.forwarding._view import PEERS_HEARD_S
from radishfield.routing._directory import RETURN_REGISTRATION_S, STORE_CALM_S
from radishfield.web import ERA_SPREAD_S
from standins.follower_zone import FollowerHost, FollowerZone
from standins.routed_config import KEY, config, target_entry

SERVICE = "portal"
BEAT_S = 1.2
CONFIG_PROMISE_S = 2.0
REVOKE_S = 5.0
TAKEN = "key-that-is-taken-away"
WITH_KEY = [{"name": "w1", "apiKeys": [KEY, TAKEN]}]
WITHOUT_KEY = [{"name": "w1", "apiKeys": [KEY]}]


class Target:
    """A target that writes its entry again and again until it ends."""

    def __init__(self, zone, name, number):
        self.zone, self.name = zone, name
        self.address = f"10.9.9.{number}:80"
        self.beats = 0
        self.changes = {}
        self.scope = trio.CancelScope()

    def write(self):
        self.beats += 1
        values = {"seq": self.beats, "born": 7} | self.changes
        entry = target_entry(SERVICE, self.address, **values)
        self.zone.store.put("servers", self.name, entry)

    async def live(self):
        with self.scope:
            while True:
                self.write()
                await trio.sleep(BEAT_S)

    def end(self):
        """End without a notice; the entry stays until it is removed."""
        self.scope.cancel()


class Scene:
    """A zone whose operator and targets write, with a key that is taken away."""

    def __init__(self, zone, nursery):
        self.zone, self.nursery = zone, nursery
        self.targets = {}
        self.started = len(zone.hosts)
        self.version = 0
        self.admitted_late = []
        self.taken_at = None

    def write_config(self, version, tenants):
        self.version = version
        self.written = config(version=version, tenants=tenants)
        self.zone.store.put("config", "main", self.written)

    def add_target(self, name):
        target = Target(self.zone, name, len(self.targets) + 1)
        self.targets[name] = target
        self.nursery.start_soon(target.live)
        return target

    def start_host(self, zone_name="a"):
        """Start another host of the zone."""
        self.started += 1
        host = FollowerHost(self.started, self.zone, zone_name)
        ip, _, port = host.address.rpartition(":")
        self.zone.network.host_by_address[(ip, int(port))] = host.id
        self.zone.hosts.append(host)
        host.view.started_at = host.view.clock.now()
        self.nursery.start_soon(host.run)
        return host

    async def watch_key(self):
        """Note each host that admits the key too long after it was taken away."""
        while True:
            await trio.sleep(0.05)
            now = trio.current_time()
            if self.taken_at is None or now - self.taken_at <= REVOKE_S:
                continue
            self.admitted_late += [
                (host.id, round(now - self.taken_at, 2))
                for host in self.zone.hosts
                if admits(host, TAKEN)
            ]

    def usable(self, host):
        """Return the names of the targets that a host sends work to."""
        return {name for name in self.targets if host.uses(name, SERVICE)}


def admits(host, key):
    """Return whether a host would forward a request with a key now."""
    table, now = host.view.table, host.view.clock.now()
    if table is None or key not in table.config.workspace_by_key:
        return False
    return host.view.freshness.admits_keys(now)


def versions(scene, hosts=None):
    hosts = scene.zone.hosts if hosts is None else hosts
    return [host.view.table.config.version for host in hosts]


def play(scenario, hosts=3, targets=3, seed=1, zone_names=""):
    """Run a scenario in a calm zone."""

    async def main():
        zone = FollowerZone(hosts, seed, zone_names)
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(_gossip, "DatagramSocket", zone.open_socket)
            async with trio.open_nursery() as nursery:
                scene = Scene(zone, nursery)
                scene.write_config(1, WITH_KEY)
                for number in range(targets):
                    scene.add_target(f"t{number}")
                await zone.start(nursery)
                nursery.start_soon(scene.watch_key)
                await trio.sleep(8.0)
                await scenario(scene)
                nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


HOSTS = pytest.mark.parametrize("hosts", [1, 3, 9])
RETURN_PHASES_S = (0.0, 0.4, 0.8, 1.2, 1.6)


@HOSTS
def test_version_written_right_after_the_return_is_in_force_at_all_hosts(hosts):
    """Guards against a watch that goes on from a revision that was given out again.

    The entries of targets take the store past the old revision, so that nothing else
    shows that the version of before it was missed.
    """

    async def scenario(scene):
        for phase_s in RETURN_PHASES_S:
            copy = scene.zone.store.copy()
            await trio.sleep(2.0 + phase_s)
            scene.zone.store.restore(copy)
            scene.write_config(scene.version + 1, WITHOUT_KEY)
            scene.taken_at = trio.current_time()
            for target in scene.targets.values():
                for _ in range(4):
                    target.write()
            await trio.sleep(CONFIG_PROMISE_S)
            assert set(versions(scene)) == {scene.version}
            await trio.sleep(REVOKE_S)
            assert scene.admitted_late == []
            assert all(admits(host, KEY) for host in scene.zone.hosts)

    play(scenario, hosts)


@HOSTS
def test_version_that_the_copy_lacks_stays_in_force_and_is_confirmed_when_back(hosts):
    """Guards against a key that is admitted again since the store forgot its end."""

    async def scenario(scene):
        copy = scene.zone.store.copy()
        scene.write_config(2, WITHOUT_KEY)
        scene.taken_at = trio.current_time()
        await trio.sleep(2.0)
        scene.zone.store.restore(copy)
        returned_at = trio.current_time()
        for _ in range(60):
            await trio.sleep(0.05)
            assert set(versions(scene)) == {2}
            for host in scene.zone.hosts:
                assert host.view.freshness.confirmed_at <= returned_at
        scene.zone.store.put("config", "main", scene.written)
        await trio.sleep(1.0)
        assert all(admits(host, KEY) for host in scene.zone.hosts)
        await trio.sleep(REVOKE_S)
        assert scene.admitted_late == []

    play(scenario, hosts)


@HOSTS
def test_missing_configuration_confirms_nothing(hosts):
    """Guards against trust in a store that lost the configuration altogether."""

    async def scenario(scene):
        copy = scene.zone.store.copy()
        copy.items["config"].clear()
        scene.zone.store.restore(copy)
        await trio.sleep(REVOKE_S)
        assert set(versions(scene)) == {1}
        assert not any(admits(host, KEY) for host in scene.zone.hosts)
        scene.zone.store.put("config", "main", scene.written)
        await trio.sleep(1.5)
        assert all(admits(host, KEY) for host in scene.zone.hosts)

    play(scenario, hosts)


def test_host_that_starts_during_the_return_takes_the_version_from_the_others():
    """Guards against a key that a starting host admits by the older copy."""

    async def scenario(scene):
        copy = scene.zone.store.copy()
        scene.write_config(2, WITHOUT_KEY)
        scene.taken_at = trio.current_time() - REVOKE_S
        await trio.sleep(2.0)
        scene.zone.store.restore(copy)
        host = scene.start_host()
        for _ in range(80):
            await trio.sleep(0.05)
            assert not admits(host, TAKEN)
        assert versions(scene, [host]) == [2]
        scene.zone.store.put("config", "main", scene.written)
        await trio.sleep(1.5)
        assert admits(host, KEY) and scene.admitted_late == []

    play(scenario)


ZONE_NAMES = "aaaabbbcc"


@pytest.mark.parametrize("killed", ["aaaa", "bbbcc", "all but one"])
@pytest.mark.parametrize("killed_after_s", [-0.5, 0.2])
def test_hosts_that_start_beside_a_return_do_not_vouch_for_each_other(
    killed, killed_after_s
):
    """Guards against a key that is admitted by the word of hosts that read the copy."""

    async def scenario(scene):
        store = scene.zone.store
        copy = store.copy()
        await trio.sleep(0.5)
        scene.write_config(2, WITHOUT_KEY)
        scene.taken_at = trio.current_time()
        await trio.sleep(5.5 + min(0.0, killed_after_s))
        lost = [
            host
            for host, name in zip(scene.zone.hosts, ZONE_NAMES, strict=True)
            if name in killed
        ]
        if killed == "all but one":
            lost = scene.zone.hosts[:-1]

        async def restart():
            await trio.sleep(max(0.0, killed_after_s))
            for host in lost:
                host.scope.cancel()
                scene.zone.hosts.remove(host)
            await trio.sleep(0.6)
            for host in lost:
                scene.start_host(host.view.zone)

        scene.nursery.start_soon(restart)
        await trio.sleep(-min(0.0, killed_after_s))
        store.switches.status = 503
        await trio.sleep(1.0)
        store.switches.status = 0
        store.restore(copy)
        await trio.sleep(2.5)
        store.put("config", "main", scene.written)
        await trio.sleep(2.0)
        assert scene.admitted_late == []
        assert set(versions(scene)) == {2}
        assert all(admits(host, KEY) for host in scene.zone.hosts)

    for seed in range(4):
        play(scenario, hosts=9, seed=seed, zone_names=ZONE_NAMES)


def test_long_absence_before_a_return_costs_no_wait_for_others():
    """Guards against keys that running hosts refuse though they hear each other."""

    async def scenario(scene):
        store = scene.zone.store
        for host in scene.zone.hosts:
            host.view.started_at = 0.0
        copy = store.copy()
        store.switches.status = 503
        await trio.sleep(REVOKE_S + 2.0)
        store.switches.status = 0
        store.restore(copy)
        await trio.sleep(1.2)
        assert all(admits(host, KEY) for host in scene.zone.hosts)

    play(scenario, hosts=9, zone_names=ZONE_NAMES)


def test_outage_after_a_return_costs_no_more_statuses():
    """Guards against hosts that answer each other on and on while none is confirmed."""

    async def scenario(scene):
        network, store = scene.zone.network, scene.zone.store
        store.restore(store.copy())
        await trio.sleep(6.0)
        before = network.sent
        await trio.sleep(8.0)
        calm = network.sent - before
        store.switches.status = 503
        await trio.sleep(REVOKE_S + 1.0)
        before = network.sent
        await trio.sleep(8.0)
        assert not any(admits(host, KEY) for host in scene.zone.hosts)
        assert network.sent - before <= calm

    play(scenario, hosts=9, zone_names=ZONE_NAMES)


def test_host_that_starts_long_after_a_return_does_not_wait():
    """Guards against a start that takes longer for as long as the store is not new."""

    async def scenario(scene):
        scene.zone.store.restore(scene.zone.store.copy())
        await trio.sleep(10.0)
        for host in list(scene.zone.hosts):
            host.scope.cancel()
            scene.zone.hosts.remove(host)
            started = scene.start_host()
            await trio.sleep(1.0)
            assert admits(started, KEY)
            await trio.sleep(4.0)

    play(scenario)


def test_host_that_starts_alone_after_a_return_serves_soon():
    async def scenario(scene):
        scene.zone.store.restore(scene.zone.store.copy())
        for host in scene.zone.hosts:
            host.scope.cancel()
        host = scene.start_host()
        await trio.sleep(PEERS_HEARD_S + 0.5)
        assert admits(host, KEY)

    play(scenario, hosts=1)


@HOSTS
def test_targets_that_the_copy_lacks_are_used_until_they_register(hosts):
    """Guards against refusals while living targets write their entries again."""

    async def scenario(scene):
        copy = scene.zone.store.copy()
        copy.items["servers"].clear()
        scene.zone.store.restore(copy)
        scene.targets["t0"].end()
        started_at = trio.current_time()
        while trio.current_time() < started_at + RETURN_REGISTRATION_S - 0.1:
            for host in scene.zone.hosts:
                assert scene.usable(host) >= {"t1", "t2"}
            await trio.sleep(0.05)
        await trio.sleep(2.0)
        for host in scene.zone.hosts:
            assert scene.usable(host) == {"t1", "t2"}

    play(scenario, hosts)


@HOSTS
def test_removed_target_that_stands_again_gets_no_work_until_it_writes(hosts):
    """Guards against requests to a target that left without a notice."""

    async def scenario(scene):
        copy = scene.zone.store.copy()
        scene.targets["t0"].end()
        scene.targets["t1"].end()
        scene.zone.store.remove("servers", "t0")
        scene.zone.store.remove("servers", "t1")
        await trio.sleep(2.0)
        for host in scene.zone.hosts:
            assert scene.usable(host) == {"t2"}
        scene.zone.store.restore(copy)
        for _ in range(40):
            await trio.sleep(0.05)
            for host in scene.zone.hosts:
                assert scene.usable(host) == {"t2"}
        scene.targets["t1"].write()
        await trio.sleep(1.5)
        for host in scene.zone.hosts:
            assert scene.usable(host) == {"t1", "t2"}

    play(scenario, hosts)


@HOSTS
def test_leaving_target_that_is_ready_in_the_copy_gets_no_work(hosts):
    async def scenario(scene):
        copy = scene.zone.store.copy()
        scene.targets["t0"].changes = {"state": "draining"}
        scene.targets["t0"].write()
        await trio.sleep(2.0)
        scene.targets["t0"].end()
        scene.zone.store.restore(copy)
        for _ in range(60):
            await trio.sleep(0.05)
            for host in scene.zone.hosts:
                assert scene.usable(host) == {"t1", "t2"}

    play(scenario, hosts)


@HOSTS
def test_layers_that_the_copy_lacks_are_kept(hosts):
    """Guards against paths over layers that a target no longer or not yet has."""

    async def scenario(scene):
        copy = scene.zone.store.copy()
        target = scene.targets["t0"]
        target.changes = {"layers": {"from": 0, "target": 40, "version": 1}}
        target.write()
        await trio.sleep(2.0)
        target.end()
        scene.zone.store.restore(copy)
        await trio.sleep(1.0)
        for host in scene.zone.hosts:
            span = host.view.directory.find("t0").span
            assert span is not None and (span.first, span.end) == (0, 40)
        target.changes = {}
        target.write()
        await trio.sleep(1.5)
        for host in scene.zone.hosts:
            assert host.view.directory.find("t0").span is None

    play(scenario, hosts)


def test_host_that_is_cut_off_while_the_era_changes_twice_follows_again():
    """Guards against an answer or a position of before, at a host that missed both."""

    async def scenario(scene):
        away = scene.zone.hosts[0]
        away.link.cut = True
        others = {host.id for host in scene.zone.hosts[1:]}
        scene.zone.network.lost |= {(away.id, each) for each in others}
        scene.zone.network.lost |= {(each, away.id) for each in others}
        for _ in range(2):
            copy = scene.zone.store.copy()
            await trio.sleep(2.0)
            scene.zone.store.restore(copy)
            scene.write_config(scene.version + 1, WITHOUT_KEY)
            scene.taken_at = scene.taken_at or trio.current_time()
            await trio.sleep(3.0)
        scene.targets["t0"].end()
        scene.zone.store.remove("servers", "t0")
        away.link.cut = False
        scene.zone.network.lost.clear()
        await trio.sleep(CONFIG_PROMISE_S)
        assert set(versions(scene)) == {scene.version}
        assert all(admits(host, KEY) for host in scene.zone.hosts)
        # A host that was cut off is bound by promises again after some seconds.
        await trio.sleep(STORE_CALM_S)
        for host in scene.zone.hosts:
            assert scene.usable(host) == {"t1", "t2"} and admits(host, KEY)
        assert scene.admitted_late == []

    play(scenario)


@HOSTS
def test_hosts_write_their_addresses_again(hosts):
    """Guards against a host that those which start later can't find."""

    async def scenario(scene):
        copy = scene.zone.store.copy()
        copy.items[HOSTS_KIND].clear()
        scene.zone.store.restore(copy)
        await trio.sleep(ERA_SPREAD_S + 1.0)
        names = scene.zone.store.names(HOSTS_KIND)
        assert set(names) == {host.id for host in scene.zone.hosts}

    play(scenario, hosts)


def test_store_that_names_no_era_is_followed_as_before():
    async def scenario(scene):
        scene.zone.store.switches.names_era = False
        scene.write_config(2, WITHOUT_KEY)
        scene.targets["t0"].end()
        scene.zone.store.remove("servers", "t0")
        await trio.sleep(CONFIG_PROMISE_S)
        assert set(versions(scene)) == {2}
        for host in scene.zone.hosts:
            assert scene.usable(host) == {"t1", "t2"} and admits(host, KEY)

    play(scenario)


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(
            ["copy", "return", "config", "silence", "cut", "join", "restart", "leave"]
        ),
        st.integers(0, 3),
        st.floats(0.0, 1.5),
    ),
    max_size=24,
)


@given(EVENTS, st.integers(0, 999))
@settings(max_examples=25, deadline=None)
def test_no_configuration_goes_back_and_no_key_returns(events, seed):
    """Guards against any mix of copies, returns, storms, cuts and rolling restarts."""

    async def scenario(scene):
        rng, copy = random.Random(seed), scene.zone.store.copy()
        seen = {}

        async def watch_versions():
            while True:
                for host in scene.zone.hosts:
                    table = host.view.table
                    if table is not None:
                        assert table.config.version >= seen.get(host, 0)
                        seen[host] = table.config.version
                await trio.sleep(0.02)

        async def restore():
            scene.zone.store.restore(copy)
            await trio.sleep(rng.uniform(0.0, 1.0))
            scene.zone.store.put("config", "main", scene.written)

        scene.nursery.start_soon(watch_versions)
        for event, number, pause_s in events:
            host = scene.zone.hosts[number % len(scene.zone.hosts)]
            match event:
                case "copy":
                    copy = scene.zone.store.copy()
                case "return":
                    scene.nursery.start_soon(restore)
                case "config":
                    scene.write_config(scene.version + 1, WITHOUT_KEY)
                    scene.taken_at = scene.taken_at or trio.current_time()
                case "silence":
                    host.link.silence()
                case "cut":
                    host.link.cut = True
                case "join":
                    host.link.cut = False
                case "restart" if len(scene.zone.hosts) < 9:
                    host.scope.cancel()
                    scene.zone.hosts.remove(host)
                    scene.start_host()
                case "leave":
                    name = rng.choice(sorted(scene.targets))
                    scene.targets[name].changes = {"state": "draining"}
                    scene.targets[name].write()
            await trio.sleep(pause_s)
        for host in scene.zone.hosts:
            host.link.cut = False
        scene.zone.store.put("config", "main", scene.written)
        await trio.sleep(4.0)
        assert set(versions(scene)) == {scene.version}
        assert all(admits(host, KEY) for host in scene.zone.hosts)
        leaving = {name for name, target in scene.targets.items() if target.changes}
        for host in scene.zone.hosts:
            assert scene.usable(host) == set(scene.targets) - leaving
        assert scene.admitted_late == []

    play(scenario, hosts=4, seed=seed)
