"""Requests at hosts whose own links to targets are cut while others reach them."""

from collections import Counter
from dataclasses import dataclass, field
from itertools import count

import httpcore
import pytest
import trio

from radishfield.core import SystemClock
from radishfield.forwarding._placer import Placer
from radishfield.forwarding._view import RouterView
from radishfield.forwarding.conftest import open_testbed
from radishfield.limits import RetryAllowance
from radishfield.routing import Freshness
from standins.link_cuts import LinkCuts, NewConnections, OpenConnections
from standins.routed_config import config

HANG = (NewConnections.HANG, OpenConnections.HANG)
RESET = (NewConnections.REFUSED, OpenConnections.RESET)
REFUSED = (NewConnections.REFUSED, OpenConnections.WORK)
HUNG_OPEN = (NewConnections.REFUSED, OpenConnections.HANG)
WAYS = {"hang": HANG, "reset": RESET, "refused": REFUSED, "hung-open": HUNG_OPEN}

NOTICE_S = 1.0
"""A third of the time after which a cut counts (``contactMs``)."""
MEASURED_S = 3.0
KINDS = ("read", "post", "stream")
REQUEST_INTERVAL_S = 0.4
EVENTS = 10
GAP_S = 0.04
EVENT_IDS = [b"id: %d" % number for number in range(1, EVENTS + 1)]


@dataclass
class Scene:
    """Hosts in two zones, with plain targets and two copies of a layered model.

    Attributes
    ----------
    tries, served : Counter
        First tries in the measured time, and those that were served whole, by host
        and kind of request.
    """

    testbed: object
    cuts: LinkCuts
    hosts: int
    tries: Counter = field(default_factory=Counter)
    served: Counter = field(default_factory=Counter)
    numbers: count = field(default_factory=count)
    replies: dict = field(default_factory=dict)

    @property
    def ports(self):
        targets = [*self.testbed.plain, *self.testbed.layered]
        return [int(target.address.rpartition(":")[2]) for target in targets]

    async def call(self, host, kind):
        """Send one request and record whether its answer was whole."""
        number = next(self.numbers)
        request_id = f"{kind}-{number}"
        method = "GET" if kind == "read" else "POST"
        body = b"" if kind == "read" else b"body %d" % number
        try:
            reply = await self.testbed.request(
                f"/{kind}/x",
                method,
                request_id=request_id,
                address=self.testbed.fronts[host],
                body=body,
            )
        except (httpcore.ReadError, httpcore.ConnectError):
            return False
        self.replies[request_id] = reply
        whole = reply.status == 200 and reply.whole
        if kind == "stream":
            lines = reply.body.split(b"\n")
            whole = whole and EVENT_IDS == [x for x in lines if x.startswith(b"id")]
        return whole

    async def call_and_count(self, host, kind):
        self.tries[host, kind] += 1
        whole = await self.call(host, kind)
        self.served[host, kind] += whole

    async def measure(self, seconds=MEASURED_S):
        """Send requests of all kinds to all hosts, and wait for their ends."""
        async with trio.open_nursery() as nursery:
            with trio.move_on_after(seconds):
                await self._send_all(nursery, self.call_and_count)

    async def load(self, seconds):
        """Send requests that are not counted, and do not wait for their ends."""
        with trio.move_on_after(seconds):
            await self._send_all(self.testbed.nursery, self.call)

    async def _send_all(self, nursery, call):
        while True:
            for host in range(self.hosts):
                for kind in KINDS:
                    nursery.start_soon(call, host, kind)
            await trio.sleep(REQUEST_INTERVAL_S)

    def share(self, host, kind):
        return self.served[host, kind] / self.tries[host, kind]

    def check_shares(self, cut_hosts, kinds=KINDS):
        """Compare the cut hosts with the others, which have to be served themselves."""
        others = [host for host in range(self.hosts) if host not in cut_hosts]
        for kind in kinds:
            tries = sum(self.tries[host, kind] for host in others)
            served = sum(self.served[host, kind] for host in others)
            assert served >= 0.95 * tries, (kind, self.served, self.tries)
            for host in cut_hosts:
                assert self.share(host, kind) >= served / tries, (
                    host,
                    kind,
                    self.served,
                    self.tries,
                )


def play(tmp_path, scenario, near=2, far=1, limit_s=30.0):
    """Run a scenario with hosts in zone a and in zone b."""

    async def main():
        cuts = LinkCuts()
        with trio.fail_after(limit_s), cuts.installed():
            async with open_testbed(tmp_path) as testbed:
                testbed.store.put("config", "main", config())
                for number in range(3):
                    await testbed.add_plain(f"p{number}")
                for number in range(2):
                    await testbed.add_layered(
                        f"f{number}", 0, 40, events=EVENTS, gap_s=GAP_S
                    )
                    await testbed.add_layered(
                        f"l{number}", 40, 80, events=EVENTS, gap_s=GAP_S
                    )
                await testbed.start_zone(near)
                if far:
                    await testbed.start_zone(far, zone="b")
                scene = Scene(testbed, cuts, near + far)
                # Statuses of all hosts have been received.
                await trio.sleep(1.5)
                await scenario(scene)

    trio.run(main)


async def cut_and_measure(scene, way, cut_hosts, ports=None):
    """Cut hosts under load, and measure once they had time to notice."""
    await scene.load(0.5)
    names = [f"host-{number}" for number in cut_hosts]
    scene.cuts.cut(names, ports or scene.ports, *WAYS[way])
    await scene.load(NOTICE_S)
    await scene.measure()


@pytest.mark.parametrize("way", WAYS)
def test_host_without_links_to_targets_serves_like_the_others(tmp_path, way):
    """Guards against callers that only the links of their host keep from targets."""

    async def scenario(scene):
        await cut_and_measure(scene, way, [0])
        scene.check_shares([0])

    play(tmp_path, scenario)


@pytest.mark.parametrize("way", ["hang", "reset"])
def test_zone_without_links_to_targets_is_served_through_another_zone(tmp_path, way):
    """Guards against a host that only asks neighbours which are cut off as well."""

    async def scenario(scene):
        await cut_and_measure(scene, way, [0, 1])
        scene.check_shares([0, 1])

    play(tmp_path, scenario)


def test_most_hosts_without_links_are_served_through_the_one_that_is_left(tmp_path):
    async def scenario(scene):
        await cut_and_measure(scene, "hang", [0, 1, 2])
        scene.check_shares([0, 1, 2])

    play(tmp_path, scenario, near=2, far=2)


@pytest.mark.parametrize("way", ["hang", "reset"])
def test_host_that_reaches_only_some_targets_serves_like_the_others(tmp_path, way):
    """Guards against requests that fail at the targets which one host can't reach."""

    async def scenario(scene):
        some = scene.ports[:2] + scene.ports[3:5]
        await cut_and_measure(scene, way, [0], some)
        scene.check_shares([0])

    play(tmp_path, scenario)


@pytest.mark.parametrize("way", ["hang", "reset", "hung-open"])
def test_begun_streams_go_on_when_their_host_loses_its_links(tmp_path, way):
    """Guards against streams cut off by the loss of connections to live targets."""

    async def scenario(scene):
        for target in scene.testbed.layered:
            target.gap_s = 0.1
        whole = []

        async def stream():
            whole.append(await scene.call(0, "stream"))

        async with trio.open_nursery() as nursery:
            for _ in range(6):
                nursery.start_soon(stream)
            await trio.sleep(0.4)
            scene.cuts.cut(["host-0"], scene.ports, *WAYS[way])
        assert whole == [True] * 6
        assert scene.testbed.routers[0].view.streams_cut == 0

    play(tmp_path, scenario)


@pytest.mark.parametrize("way", WAYS)
def test_lost_links_cost_no_second_run_and_no_belief_about_targets(tmp_path, way):
    """Guards against what a host without links tells others of healthy targets."""

    async def scenario(scene):
        testbed = scene.testbed
        await cut_and_measure(scene, way, [0])
        runs = [name for target in testbed.plain for name in target.ran.elements()]
        assert max(Counter(n for n in runs if n.startswith("post")).values()) == 1
        for router in testbed.routers:
            view = router.view
            assert view.crashes.counted == 0 and len(view.crashes.book) == 0
        for router in testbed.routers[1:]:
            view, now = router.view, router.view.clock.now()
            records = list(view.directory.all_records())
            assert not any(view.directory.suspected(r.id, now) for r in records)
        assert not testbed.store.names("radishfield-crashes")

    play(tmp_path, scenario)


def test_host_uses_its_own_links_again_after_a_cut(tmp_path):
    async def scenario(scene):
        await cut_and_measure(scene, "hang", [0])
        scene.cuts.restore()
        others = [router.view for router in scene.testbed.routers[1:]]
        with trio.fail_after(8):
            while any(view.relayed_connections() for view in others):
                await scene.load(0.5)
        scene.tries.clear()
        scene.served.clear()
        await scene.measure(1.0)
        scene.check_shares([0])

    play(tmp_path, scenario)


def test_leaving_caller_ends_the_work_that_another_host_relays(tmp_path):
    """Guards against targets that work on for callers of a host without links."""

    async def scenario(scene):
        for target in scene.testbed.layered:
            target.gap_s = 0.2
        scene.cuts.cut(["host-0"], scene.ports, *HANG)
        with trio.move_on_after(1.2):
            await scene.call(0, "stream")
        await trio.sleep(0.5)
        started = sum(sum(target.runs.values()) for target in scene.testbed.layered)
        ended = sum(target.ended_runs for target in scene.testbed.layered)
        assert started == ended > 0

    play(tmp_path, scenario)


def test_layers_are_placed_by_a_holder_of_the_lease_without_links(tmp_path):
    """Guards against empty targets while the host that places layers is cut off."""

    async def scenario(scene):
        testbed = scene.testbed
        await testbed.add_layered("n0", 0, 0, events=EVENTS)
        await testbed.until(lambda: testbed.layered[-1].orders > 0, 8.0)
        holder = testbed.store.spec("radishfield-leases", "pool")["holder"]
        scene.cuts.cut([holder], scene.ports, *HANG)
        added = await testbed.add_layered("n1", 0, 0, events=EVENTS)
        port = int(added.address.rpartition(":")[2])
        scene.cuts.cut([holder], [*scene.ports, port], *HANG)
        await testbed.until(lambda: added.orders > 0, 8.0)

    play(tmp_path, scenario)


def test_tokens_of_limited_targets_are_issued_and_used_without_links(tmp_path):
    """Guards against an issuer without links that keeps tokens from its zone."""

    async def scenario(scene):
        testbed = scene.testbed
        for target in testbed.plain:
            target.limit = "20"
        await scene.load(1.0)
        issuers = {
            router.view.limits.own_issuer_id(target.id)
            for router in testbed.routers[:2]
            for target in testbed.plain
        }
        cut_hosts = [n for n in range(2) if f"host-{n}" in issuers][:1] or [0]
        names = [f"host-{number}" for number in cut_hosts]
        scene.cuts.cut(names, scene.ports, *HANG)
        await scene.load(NOTICE_S)
        await scene.measure()
        for host in range(scene.hosts):
            for kind in ("read", "post"):
                assert scene.share(host, kind) >= 0.8, (scene.served, scene.tries)

    play(tmp_path, scenario)


def test_host_that_reaches_no_target_leaves_the_lease_to_others():
    """Guards against empty targets that wait for a host which can order nothing."""
    view = RouterView("a", SystemClock(), RetryAllowance(), Freshness(5.0))
    view.watch_duty.on_duty = True
    placer = Placer("host-0", None, None, view)
    assert placer._may_place()
    for number in range(3):
        view.target_links.note_failed(f"10.0.0.{number}:1", view.clock.now())
    assert not placer._may_place()
