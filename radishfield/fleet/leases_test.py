"""Tests of leases and of the orders sent under them."""

import random

import msgspec
import trio
import trio.testing
from expression import Error, Ok

from radishfield.core import (
    Fault,
    LayerRange,
    Member,
    ResultCode,
    StoredObject,
    Target,
)
from radishfield.fleet import (
    FactTable,
    LeaseKeeper,
    LeaseSettings,
    OrderSender,
    OrderSettings,
    ProposedOrder,
    TargetDirectory,
)
from standins.fakes import FakePlatform


class PausableClock:
    """Trio's time plus the time for which the host was suspended."""

    def __init__(self):
        self.suspended_s = 0.0

    def now(self):
        return trio.current_time() + self.suspended_s


class TwoPeers:
    def members(self):
        return [Member("h1", "z", "", 1), Member("h2", "z", "", 1)]


class FencedTargets:
    """Targets that accept orders; some refuse an older fencing number."""

    def __init__(self):
        self.orders = []
        self.highest = 0

    async def order(self, target, order):
        if target.checks_fencing and order.fencing < self.highest:
            return Error(Fault(ResultCode.ORDER_FENCED))
        self.highest = max(self.highest, order.fencing)
        self.orders.append((trio.current_time(), target.id, order))
        return Ok(None)


class Setup:
    def __init__(self):
        self.clock = PausableClock()
        self.platform = FakePlatform(self.clock)
        self.first, self.second = self.keeper("h1"), self.keeper("h2")
        self.facts = FactTable()
        self.directory = TargetDirectory("z", self.facts, TwoPeers(), self.clock)
        self.port = FencedTargets()

    def keeper(self, host, clock=None):
        return LeaseKeeper(
            LeaseSettings("placement", "z", host),
            self.platform.as_caller(host),
            TwoPeers(),
            clock or self.clock,
            rng=random.Random(1),
        )

    def sender(self, keeper, **options):
        settings = OrderSettings(**options)
        return OrderSender(settings, keeper, self.port, self.directory, self.clock)

    def add_target(self, target_id, first, end, **fields):
        target = Target(
            target_id,
            "host",
            "z",
            "127.0.0.1:1",
            model="m",
            layers=LayerRange(first, end),
            model_layers=8,
            **fields,
        )
        value = msgspec.json.encode(target)
        self.facts.learn(StoredObject("target", target_id, 1, value))

    async def run_keepers(self, nursery):
        await nursery.start(self.first.run)
        await trio.sleep(0.1)
        await nursery.start(self.second.run)


def run(main):
    async def with_setup():
        await main(Setup())

    trio.run(with_setup, clock=trio.testing.MockClock(autojump_threshold=0))


def test_next_holder_takes_over_only_after_the_lease_has_ended():
    """The holder is disconnected from the platform; the other contender takes over.

    At no moment may both hold the lease by their own count.
    """

    async def main(setup):
        async with trio.open_nursery() as nursery:
            await setup.run_keepers(nursery)
            assert setup.first.check().ok.fencing == 1
            await trio.sleep(60)
            assert setup.first.check().is_ok() and setup.second.check().is_error()
            setup.platform.faults.cut_off.add("h1")
            both = 0
            for _ in range(300):
                await trio.sleep(0.1)
                held = (setup.first.check().is_ok(), setup.second.check().is_ok())
                both += all(held)
            assert both == 0 and held == (False, True)
            assert setup.second.check().ok.fencing == 2
            setup.platform.faults.cut_off.clear()
            await trio.sleep(30)
            assert setup.first.check().is_error() and setup.first.lost == 1
            nursery.cancel_scope.cancel()

    run(main)


def test_resumed_holder_with_an_expired_lease_sends_no_order():
    """A holder is suspended past the end of its lease and resumes with a pending order.

    Its own clock must show the lease as expired before anything is sent; the
    renewal that would detect it has not run yet.
    """

    async def main(setup):
        setup.add_target("t1", 0, 8)
        setup.add_target("t2", 0, 8)
        await setup.first.step()
        sender = setup.sender(setup.first)
        order = ProposedOrder("t1", "load-layers", "m", LayerRange(0, 4))
        assert (await sender.send(order)).is_ok()
        setup.clock.suspended_s = 20.0
        late = (await sender.send(order)).error
        assert late.code is ResultCode.LEASE_NOT_HELD
        assert len(setup.port.orders) == 1
        await setup.first.step()
        assert setup.first.lost == 1

    run(main)


def test_renewal_whose_answer_is_lost_counts_from_before_it_was_sent():
    """Renewals take effect while their answers are lost.

    The holder reads its change back and keeps the lease, counted from before
    the write; with the platform down it holds it only until the old end.
    """

    async def main(setup):
        await setup.first.step()
        await trio.sleep(3)
        setup.platform.faults.lost_answers = 1
        setup.platform.faults.delay_s = 0.5
        sent_at = setup.clock.now()
        await setup.first.step()
        assert setup.first.check().ok.valid_until == sent_at + 12.0
        setup.platform.faults.lost_answers = 2
        setup.platform.faults.stale_reads = 2
        await trio.sleep(3)
        await setup.first.step()
        assert setup.first.check().ok.valid_until == sent_at + 12.0
        await trio.sleep(1)
        await setup.first.step()
        assert setup.first.check().ok.valid_until > sent_at + 15.0
        assert setup.first.check().ok.fencing == 1
        setup.platform.faults.down = True
        await trio.sleep(13)
        await setup.first.step()
        assert setup.first.check().is_error()

    run(main)


def test_drained_holder_releases_the_lease_at_once():
    async def main(setup):
        await setup.first.step()
        await setup.first.drain()
        assert setup.first.check().is_error()
        await setup.second.step()
        assert setup.second.check().ok.fencing == 2
        assert setup.second.status().is_held_here
        await setup.first.step()
        assert setup.first.status().holder == "h2"

    run(main)


def test_target_that_ignores_fencing_gets_no_order_while_an_old_one_is_valid():
    """A new holder has orders for a target that checks fencing and one that does not.

    The old holder's last order may still be in flight, valid for 5 s.  The
    checking target would refuse it; the other one would execute both.
    """

    async def main(setup):
        for target_id, checks in (("checks", True), ("ignores", False)):
            setup.add_target(target_id, 0, 8, checks_fencing=checks)
        setup.add_target("spare", 0, 8)
        await setup.first.step()
        await setup.first.drain()
        await setup.second.step()
        taken_at = trio.current_time()
        sender = setup.sender(setup.second)
        for target_id in ("checks", "ignores"):
            assert (
                await sender.send(ProposedOrder(target_id, "set-role", "x"))
            ).is_ok()
        times = {target_id: at - taken_at for at, target_id, _ in setup.port.orders}
        assert times["checks"] == 0 and times["ignores"] >= 5
        assert {order.timeout_s for _, _, order in setup.port.orders} == {5.0}

    run(main)


def test_last_replica_is_kept_and_loads_are_spread_over_time():
    """A plan lets all three targets that hold the same layers load others.

    Two may load, one after the other at the weight store's rate; the third would
    leave the layers without any target, and callers without answers.
    """

    async def main(setup):
        for target_id in ("t1", "t2", "t3"):
            setup.add_target(target_id, 0, 4, checks_fencing=True)
        await setup.first.step()
        sender = setup.sender(setup.first, load_interval_s=2.0)
        sender.propose(
            [
                ProposedOrder(target_id, "load-layers", "m", LayerRange(4, 8))
                for target_id in ("t1", "t2", "t3")
            ]
        )
        with trio.move_on_after(8):
            await sender.run()
        times = [at for at, _, _ in setup.port.orders]
        assert len(times) == 2 and times[1] - times[0] == 2.0
        assert sender.refused_by_code == {ResultCode.LAST_REPLICA: 1}
        (refused,) = (o for o in sender.outcomes if o.result.is_error())
        assert refused.order.target_id == "t3"
        await setup.first.step()
        keeps = ProposedOrder("t3", "load-layers", "m", LayerRange(0, 8))
        assert (await sender.send(keeps)).is_ok()

    run(main)
