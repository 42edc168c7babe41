"""Tests of which targets get new work, and of which hosts poll their load."""

import random
from collections import Counter

import msgspec
import trio
import trio.testing
from expression import Error, Ok

from radishfield.core import (
    Fault,
    Host,
    HostListing,
    HostState,
    LayerRange,
    LoadReport,
    Member,
    ResultCode,
    StoredObject,
    Target,
    TargetState,
)
from radishfield.fleet import (
    Drain,
    DrainKind,
    FactTable,
    LoadPoller,
    PollerSettings,
    TargetDirectory,
    _wire,
    drain_name,
)


class ManualClock:
    """A clock that advances only when a test sets its time."""

    def __init__(self):
        self.time = 0.0

    def now(self):
        return self.time


class FakePeers:
    """Members without a network; datagrams go straight to the other pollers."""

    def __init__(self, members):
        self._members = members
        self.handler_by_topic = {}
        self.peers_by_id = {}
        self.sent = []

    def members(self):
        return self._members

    def add_seeds(self, addresses):
        self.seeds = list(addresses)

    def hear(self, topic, handler):
        self.handler_by_topic[topic] = handler

    async def tell(self, member_ids, topic, payload):
        self.sent.append((tuple(member_ids), topic, payload))
        for member_id in member_ids:
            self.peers_by_id[member_id].handler_by_topic[topic]("", payload)


def target(number=0, zone="z0", **fields):
    return Target(f"t{number}", f"host{number}", zone, "127.0.0.1:1", **fields)


def report(target_id="t0", incarnation=1, **fields):
    return LoadReport(
        target_id, incarnation, LayerRange(0, 4), "m", "1", 1, 2, 8, 0.02, **fields
    )


def stored(kind, name, value, version=1):
    return StoredObject(kind, name, version, msgspec.json.encode(value))


class Setup:
    def __init__(self, targets=1):
        self.clock = ManualClock()
        self.facts = FactTable()
        self.peers = FakePeers([Member("h0", "z0", "", 1), Member("h1", "z0", "", 1)])
        self.directory = TargetDirectory("z0", self.facts, self.peers, self.clock)
        for number in range(targets):
            self.facts.learn(stored("target", f"t{number}", target(number)))

    def list_host(self, state):
        self.directory.observe_hosts(HostListing((Host("host0", "z0", state),)))

    def state(self, target_id="t0"):
        return self.directory.find(target_id).state


def test_lagging_list_does_not_bring_a_leaving_target_back():
    """The platform lists a host as leaving, then serves an older copy as live.

    The target is about to stop, so callers' work must not go to it again.  Only
    a new incarnation, reported by the target itself, ends its leaving state.
    """
    setup = Setup()
    setup.list_host(HostState.LEAVING)
    assert setup.state() is TargetState.LEAVING
    setup.list_host(HostState.LIVE)
    assert setup.state() is TargetState.LEAVING
    setup.clock.time = 5.0
    setup.directory.observe_report(report(incarnation=2))
    assert setup.state() is TargetState.LIVE
    setup.list_host(HostState.LEAVING)
    assert setup.state() is TargetState.LIVE
    setup.clock.time = 60.0
    setup.list_host(HostState.LEAVING)
    assert setup.state() is TargetState.LEAVING


def test_leaving_mark_from_a_peer_holds_without_the_platform():
    """A target reports to one host that it is leaving; the platform is down.

    Another host receives this as a fact.  A stale fact of an earlier incarnation
    must not exclude the target's later incarnation.
    """
    one, other = Setup(), Setup()
    one.directory.observe_report(report(leaving=True))
    assert one.state() is TargetState.LEAVING
    for fact in one.facts.take_unsent():
        other.facts.learn(fact)
    assert other.state() is TargetState.LEAVING
    other.directory.observe_report(report(incarnation=2))
    assert other.state() is TargetState.LIVE
    other.directory.mark_leaving("t0", 1)
    other.directory.observe_report(report(incarnation=1, leaving=True))
    assert other.state() is TargetState.LIVE


def test_operator_drains_target_host_or_zone_and_takes_it_back():
    for kind, name in (
        (DrainKind.TARGET, "t0"),
        (DrainKind.HOST, "host0"),
        (DrainKind.ZONE, "z0"),
    ):
        setup = Setup()
        version = setup.directory.version
        drain = Drain(kind, name)
        setup.facts.learn(stored("drain", drain_name(kind, name), drain))
        assert setup.state() is TargetState.LEAVING
        assert setup.directory.drains() == [drain]
        assert setup.directory.version > version
        undrain = stored("drain", drain_name(kind, name), Drain(kind, name, False), 2)
        setup.facts.learn(undrain)
        assert setup.state() is TargetState.LIVE


def test_host_missing_from_an_old_copy_stays_and_a_vanished_one_leaves():
    """A host is added; an older copy of the list lacks it, a newer one has it.

    Its targets must still get work: if they were marked as leaving at once, they
    would stay excluded until they restart.  A host that stays missing is gone.
    """
    setup = Setup(targets=2)
    both = (Host("host0", "z0", address="10.0.0.1:7"), Host("host1", "z0"))
    setup.directory.observe_hosts(HostListing(both))
    assert setup.peers.seeds == ["10.0.0.1:7"]
    for seconds, copy in ((2, both[:1]), (4, ()), (6, both), (30, both[:1])):
        setup.clock.time = seconds
        setup.directory.observe_hosts(HostListing(copy))
        assert setup.state("t1") is TargetState.LIVE
    setup.clock.time = 37
    setup.directory.observe_hosts(HostListing(both[:1]))
    assert setup.state("t1") is TargetState.LEAVING
    assert setup.state("t0") is TargetState.LIVE


def test_report_sets_layers_and_an_unchanged_one_keeps_the_version():
    setup = Setup()
    setup.directory.observe_report(report())
    assert setup.directory.find("t0").layers == LayerRange(0, 4)
    version = setup.directory.version
    setup.directory.observe_report(report(measured_s_ago=3.0))
    assert setup.directory.version == version
    setup.facts.learn(StoredObject("target", "bad", 1, b"{"))
    assert setup.directory.malformed == 1


def test_each_target_is_polled_by_one_host_and_reports_are_shared():
    """Five hosts of a zone share ten targets; one target does not answer.

    Each is polled by one host, and by a second one when no report arrives: the
    first host may have died, or have no network path to the target.
    """

    class Targets:
        async def load(self, a_target):
            if a_target.id == "t3":
                return Error(Fault(ResultCode.CONNECT_FAILED))
            return Ok(report(a_target.id))

    async def main():
        setup = Setup(targets=10)
        members = [Member(f"h{n}", "z0", "", 1) for n in range(5)]
        peers_by_id = {member.id: FakePeers(members) for member in members}
        for peers in peers_by_id.values():
            peers.peers_by_id = peers_by_id
        all_peers = list(peers_by_id.values())
        reports = []
        pollers = [
            LoadPoller(
                PollerSettings(f"h{n}", "z0"),
                Targets(),
                setup.directory,
                peers_by_id[f"h{n}"],
                setup.facts,
                setup.clock,
                reports.append,
                random.Random(n),
            )
            for n in range(5)
        ]

        def poll_count_by_id():
            return Counter(
                t.id for poller in pollers for t in poller.assigned_targets()
            )

        async with trio.open_nursery() as nursery:
            for poller in pollers:
                await nursery.start(poller.run)
            await trio.sleep(0.5)
            sent = [item for poller in pollers for item in poller._peers.sent]
            assert all(len(receivers) == 4 for receivers, _, _ in sent)
            assert poll_count_by_id() == {
                f"t{n}": 2 if n == 3 else 1 for n in range(10)
            }
            setup.clock.time += 10
            assert set(poll_count_by_id().values()) == {2}
            await trio.sleep(15)
            last = [_wire.decode_loads(peers.sent[-1][2]).ok for peers in all_peers]
            assert any(batch.briefs for batch in last)
            assert {a_report.in_flight for a_report in reports} == {1}
            (load,) = pollers[0].zone_loads()
            assert load.targets == 9 and load.slots == 72
            nursery.cancel_scope.cancel()
        assert sum(poller.failures for poller in pollers) > 0

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
