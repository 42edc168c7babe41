"""Tests of the placing lease while the store comes back from older copies."""

import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st

from radishfield.core import TrioClock
from radishfield.forwarding._lease import LEASE_S, LEASES_KIND, PlacementLease
from radishfield.forwarding._view import RouterView
from radishfield.limits import RetryAllowance
from radishfield.platform import ObjectStore
from radishfield.routing import Freshness
from standins.follower_zone import StoreLink
from standins.object_store import ObjectStoreApp

SERVICE = "pool"
STEP_S = 0.25


class Host:
    """A host that asks for the lease, and may be cut off or restarted."""

    def __init__(self, number, app):
        self.id = f"h{number}"
        self.app = app
        self.link = StoreLink(app)
        self.start()

    def start(self):
        """Start with nothing known."""
        self.view = RouterView(
            "a", TrioClock(), RetryAllowance(), Freshness(5.0), host_id=self.id
        )
        store = ObjectStore(self.link, self.view.eras)
        self.lease = PlacementLease(SERVICE, self.id, store, self.view)

    def acts(self):
        """Return whether this host would send an order now."""
        return self.lease.is_held(self.view.clock.now())

    async def ask(self):
        """Hold the lease, as before an order."""
        await self.lease.hold()


def play(scenario, hosts=2):
    async def main():
        app = ObjectStoreApp()
        results.append(await scenario(app, [Host(n, app) for n in range(hosts)]))

    results = []
    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    return results[0]


async def ask_for(hosts, seconds):
    """Have hosts ask by turns for some time; return the most that acted at once."""
    most = 0
    until = trio.current_time() + seconds
    while trio.current_time() < until:
        for host in hosts:
            await host.ask()
            most = max(most, sum(each.acts() for each in hosts))
        await trio.sleep(STEP_S)
        most = max(most, sum(each.acts() for each in hosts))
    return most


def test_holder_keeps_the_lease_that_the_copy_lacks():
    async def scenario(app, hosts):
        empty = app.copy()
        await ask_for(hosts, 4.0)
        holder = next(host for host in hosts if host.acts())
        fence = holder.lease.fence
        app.restore(empty)
        assert await ask_for(hosts, 1.0) == 1 and holder.acts()
        assert holder.lease.fence > fence

    play(scenario)


def test_earlier_holder_whose_lease_stands_again_waits_for_the_last_term():
    """Guards against orders of two hosts, each of which holds the lease by its view."""

    async def scenario(app, hosts):
        first, second = hosts
        await ask_for([first], 1.0)
        copy = app.copy()
        assert await ask_for([second], 3 * LEASE_S) == 1 and second.acts()
        # The second holder is cut off as the store comes back with the first one's.
        second.link.cut = True
        app.restore(copy)
        first.start()
        waited = 0.0
        while not first.acts():
            assert waited < 3 * LEASE_S
            await first.ask()
            assert not (first.acts() and second.acts())
            await trio.sleep(STEP_S)
            waited += STEP_S
        assert waited >= LEASE_S and not second.acts()

    play(scenario)


def test_revision_handed_out_again_renews_no_lease():
    """Guards against a renewal that meets another lease under the same revision."""

    async def scenario(app, hosts):
        first, second = hosts
        copy = app.copy()
        await ask_for([second], 1.0)
        assert second.acts()
        revision = second.lease._position.revision
        app.restore(copy)
        while app.revision < revision - 1:
            app.put("other", "x", app.revision)
        spec = {"holder": first.id, "at_s": 0.0}
        app.put(LEASES_KIND, SERVICE, spec)
        assert app.revision_of(LEASES_KIND, SERVICE) == revision
        # It can't know of the new era before the answer.
        await trio.sleep(LEASE_S / 4)
        await second.ask()
        assert not second.acts()

    play(scenario)


def test_fences_of_a_later_era_are_greater():
    async def scenario(app, hosts):
        fences = []
        copy = app.copy()
        for _ in range(3):
            for number in range(50):
                app.put("other", "x", number)
            await ask_for(hosts, 3.0)
            fences.append(max(host.lease.fence for host in hosts))
            app.restore(copy)
        assert fences == sorted(set(fences)) and fences[-1] < 1 << 53

    play(scenario)


ACTIONS = st.lists(
    st.tuples(
        st.sampled_from(
            ["copy", "restore", "cut", "join", "start", "freeze", "write", "wait"]
        ),
        st.integers(0, 2),
        st.floats(0.05, 1.5),
    ),
    max_size=40,
)


@given(ACTIONS)
@settings(max_examples=150, deadline=None)
def test_never_two_hosts_act_on_the_lease(actions):
    """Guards against any order of copies, returns, cuts, restarts and pauses."""

    async def scenario(app, hosts):
        copy, frozen = app.copy(), set()
        for action, number, pause_s in actions:
            host = hosts[number]
            match action:
                case "copy":
                    copy = app.copy()
                case "restore":
                    app.restore(copy)
                case "cut":
                    host.link.cut = True
                case "join":
                    host.link.cut = False
                    frozen.discard(host)
                case "start":
                    host.start()
                case "freeze":
                    frozen.add(host)
                case "write":
                    app.put("other", "x", pause_s)
            until = trio.current_time() + pause_s
            while trio.current_time() < until:
                for each in hosts:
                    if each not in frozen and not each.link.cut:
                        await each.ask()
                    assert sum(other.acts() for other in hosts) <= 1
                await trio.sleep(STEP_S)
                assert sum(other.acts() for other in hosts) <= 1

    play(scenario, hosts=3)
