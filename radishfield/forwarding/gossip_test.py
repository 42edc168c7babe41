"""Tests of how a host applies the datagrams of its peers."""

import math
import zlib
from types import SimpleNamespace

import msgspec
import pytest

from radishfield.capacity import ServiceAdmission
from radishfield.forwarding._gossip import Gossip
from radishfield.forwarding._peer_messages import (
    DATAGRAM_BYTES,
    Echo,
    PeerListConfirmation,
    PeerStatus,
    PeerZoneTotal,
    Use,
    Work,
    config_spec,
    decoder,
    encoder,
)
from radishfield.forwarding._view import RouterView
from radishfield.limits import RetryAllowance
from radishfield.routing import (
    Freshness,
    RoutingConfig,
    RoutingTable,
    TargetPhase,
    TargetRecord,
)


class StepClock:
    def __init__(self, reading=100.0):
        self.reading = reading

    def now(self):
        return self.reading


@pytest.fixture
def gossip():
    clock = StepClock()
    view = RouterView("a", clock, RetryAllowance(), Freshness(5.0))
    view.table = RoutingTable(RoutingConfig(7, (), {}, {}))
    for number in range(20):
        view.directory.update(
            TargetRecord(
                f"t{number}", f"10.0.0.{number}:80", "s", "a", TargetPhase.READY, 8
            )
        )
    made = Gossip("me", "127.0.0.1:1", None, view, lambda: [])
    clock.reading = 110.0
    return made


def status(**changes):
    values = {
        "host_id": "other",
        "zone": "a",
        "address": "127.0.0.1:2",
        "work": [],
        "leaving": [],
        "lost": [],
        "duties": [],
        "sent_at": 5.0,
        "config_version": 7,
        "config_age_s": 0.5,
        "store_silent_s": 0.2,
        "echoes": [],
        "uses": [],
        "links": [],
    }
    return PeerStatus(**(values | changes))


def apply_status(gossip, message):
    gossip._apply_status(message, ("127.0.0.1", 2))


def test_confirmation_is_dated_by_the_echoed_send_time(gossip):
    apply_status(gossip, status(echoes=[Echo("me", 108.0)]))
    assert gossip._view.freshness.confirmed_at == 107.5


@pytest.mark.parametrize(
    "changes",
    [
        {"echoes": [Echo("somebody", 108.0)]},
        {"echoes": [Echo("me", 108.0)], "config_version": 8},
        {"echoes": [Echo("me", 108.0)], "config_age_s": -1.0},
        {"echoes": [Echo("me", 90.0)]},
        {"echoes": [Echo("me", 1e6)]},
    ],
)
def test_other_statuses_confirm_nothing(gossip, changes):
    """Guards against echoes from before a power loss that restarted the clock.

    A peer still echoes a time of the earlier process, which lies ahead.  If that were
    accepted, keys would be admitted until the clock reaches that time.
    """
    apply_status(gossip, status(**changes))
    assert gossip._view.freshness.confirmed_at is None


def test_work_uses_and_unreachable_targets_of_a_peer_are_applied(gossip):
    message = status(
        work=[Work("t1", 3, 300, 1)],
        uses=[Use("s", 40, 2)],
        lost=[("t2", 0)],
        leaving=[("t3", 0)],
    )
    apply_status(gossip, message)
    view = gossip._view
    assert view.load.held("t1").requests == 3
    assert view.directory.suspected("t2", 110.0)
    assert "t3" not in {record.id for record in view.directory.usable("s", 110.0)}
    assert view.hosts == 2


def test_unreachable_targets_of_a_partitioned_peer_stay_usable(gossip):
    lost = [(f"t{number}", 0) for number in range(10)]
    apply_status(gossip, status(lost=lost))
    assert len(gossip._view.directory.usable("s", 110.0)) == 20


def test_a_peer_that_stops_sending_is_forgotten_but_still_counted(gossip):
    apply_status(gossip, status(uses=[Use("s", 40, 2)]))
    gossip._update_peer_summary()
    assert gossip._view.peers.heard == 1
    gossip._view.clock.reading = 120.0
    gossip._update_peer_summary()
    assert (gossip._view.peers.heard, gossip._view.hosts) == (0, 2)
    assert gossip._view.peers.use_by_service_by_host == {}
    gossip._view.clock.reading = 150.0
    gossip._update_peer_summary()
    assert gossip._view.hosts == 1


def test_zone_total_is_dated_by_its_creation(gossip):
    gossip._apply_zone_total(PeerZoneTotal("a", 0.4, [Work("t1", 30, 9000, 4)]))
    gossip._view.load.add_up("a", 110.0)
    assert gossip._view.load.held("t1").requests == 30
    gossip._apply_zone_total(PeerZoneTotal("a", 0.5, [Work("t1", 1, 1, 0)]))
    gossip._view.load.add_up("a", 110.0)
    assert gossip._view.load.held("t1").requests == 30


def test_only_duties_reported_by_their_holder_are_forwarded(gossip):
    """Hosts that forwarded each other's reports would keep a duty alive forever."""
    apply_status(gossip, status(duties=["s"], forwarded_duties=["t"]))
    assert set(gossip._view.duty_reported_at) == {"s", "t"}
    sent = decoder.decode(gossip._status())
    assert sent.forwarded_duties == ["s"]
    gossip._view.clock.reading = 112.0
    assert decoder.decode(gossip._status()).forwarded_duties == []


def test_statuses_queued_while_this_host_was_suspended_confirm_nothing(gossip):
    """The host resumes and finds old datagrams; targets have left in the meantime.

    The datagrams echo statuses from before the suspension.  Treated as fresh, they
    would keep it from reading the list, and work would go to targets that are gone.
    """
    duty, view = gossip._view.watch_duty, gossip._view
    digest = view.directory.digest()
    confirmation = {"watches": True, "targets_digest": digest, "targets_age_s": 0.5}
    duty.on_duty = False
    apply_status(gossip, status(**confirmation))
    assert duty.list_confirmed_at == -math.inf
    apply_status(gossip, status(**confirmation, echoes=[Echo("me", 104.0)]))
    assert duty.targets_due_in_s(110.0, 2.0) <= 0
    apply_status(gossip, status(**confirmation, echoes=[Echo("me", 109.5)]))
    assert duty.list_confirmed_at == 109.0
    assert duty.targets_due_in_s(110.0, 2.0) > 0


def test_a_confirmation_of_a_list_counts_from_the_call_of_the_watcher(gossip):
    """Guards against trust in a watcher whose own view of the store is old."""
    duty, view = gossip._view.watch_duty, gossip._view
    duty.on_duty = False
    digest, echoes = view.directory.digest(), [Echo("me", 109.8)]
    gossip._apply_list_confirmation(PeerListConfirmation("w", digest, 4.0, echoes))
    assert duty.list_confirmed_at == pytest.approx(105.8)
    assert duty.targets_due_in_s(110.0, 2.0) <= 0
    gossip._apply_list_confirmation(PeerListConfirmation("w", digest, 0.1, echoes))
    assert duty.list_confirmed_at == pytest.approx(109.7)
    gossip._apply_list_confirmation(PeerListConfirmation("w", digest + 1, 0.0, echoes))
    assert duty.list_confirmed_at == pytest.approx(109.7)


def test_a_status_fits_its_datagram_with_hundreds_of_hosts(gossip):
    """A longer status is truncated, and no host receives anything from this one."""
    for number in range(340):
        gossip._view.clock.reading = 110.0 + number * 0.001
        message = status(host_id=f"edge-duluth-hall-{number}")
        gossip._apply_status(message, ("127.0.0.1", number))
    data = gossip._status()
    assert len(data) < DATAGRAM_BYTES / 1.5
    echoes = {echo.host_id for echo in decoder.decode(data).echoes}
    assert "edge-duluth-hall-339" in echoes and "edge-duluth-hall-1" not in echoes


def test_a_newly_found_host_gets_statuses_before_it_sends_any(gossip):
    """Hosts start together and find each other in the store's list.

    If they sent only to hosts that had already sent a status, updates of targets
    would reach no host for two seconds, and each would find a change 1.2 s late.
    """
    gossip._finder.add_listed("other", {"address": "127.0.0.1:2", "zone": "a"})
    gossip._round = 1
    assert [peer.address for peer in gossip._recipients()] == [("127.0.0.1", 2)]
    gossip._view.clock.reading = 113.0
    assert gossip._recipients() == []


def test_closing_and_opening_of_a_link_are_each_logged_once(gossip, caplog):
    """The log has to show which link is full when targets have free capacity."""
    links, now = gossip._view.links, 110.0
    with caplog.at_level("INFO"):
        gossip._log_links(now)
        links.crossed(("a", "b"), 1500.0, now)
        gossip._log_links(now)
        gossip._log_links(now + 0.1)
        gossip._log_links(now + 3.0)
    events = [record.getMessage() for record in caplog.records]
    assert [name for name in events if name.startswith("link")] == [
        "link.closed",
        "link.open",
    ]


def test_messages_fit_their_datagrams_with_the_demand_of_many_services(gossip):
    """A longer message is truncated, and the host seems to be gone."""
    view = gossip._view
    for service in range(5):
        admission = ServiceAdmission(f"service-{service}" + "s" * 100)
        view.admission_by_service[admission.service] = admission
        for number in range(16):
            admission.meter.arrived(number, f"{number}-" + "w" * 120, 110.0)
            admission.meter.runs(number, f"{number}-" + "w" * 120, 1.37)
    for number in range(340):
        message = status(host_id=f"edge-duluth-hall-{number}")
        gossip._apply_status(message, ("127.0.0.1", number))
    data = gossip._status()
    assert len(data) < DATAGRAM_BYTES
    assert decoder.decode(data).demand


def test_sum_too_long_with_demand_is_sent_without_it(gossip):
    """Guards against the work of a zone that nobody learns for want of space."""
    view, sent = gossip._view, []
    gossip._socket = SimpleNamespace(send=lambda data, addresses: sent.append(data))
    admission = view.admission_by_service["s"] = ServiceAdmission("s")
    for number in range(16):
        admission.meter.arrived(0, f"workspace-{number}", 110.0)
    names = [f"target-{number:04}-{'x' * 20}" for number in range(400)]
    for name in names:
        view.load.started(name, 9.0, True)
    while len(view.load.own_by_id) > 1:
        sent.clear()
        gossip._send_zone_totals([])
        if sent:
            break
        view.load.ended(names.pop(), 9.0, True)
        view.clock.reading += 0.001
    message = decoder.decode(sent[0])
    assert len(message.work) == len(names) and message.demand == []


def test_older_hosts_and_this_one_read_each_other(gossip):
    """Guards against a host that is not heard, or refuses, beside another build."""
    admission = gossip._view.admission_by_service["s"] = ServiceAdmission("s")
    admission.meter.runs(0, "w", 1.0)
    own = gossip._view.own_demands()[0]
    fields = msgspec.msgpack.decode(encoder.encode(status(host_id="older")))
    gossip._handle_datagram(encoder.encode(fields[:-2]))
    gossip._handle_datagram(encoder.encode(["sum", "a", 0.0, [], [], []]))
    gossip._handle_datagram(encoder.encode([*fields, ["a", "later", "field"]]))
    assert gossip.malformed == 0
    assert gossip._view.demands.fleet(own, "a", 110.1) == own


@pytest.mark.parametrize(
    "datagram",
    [
        b"\x91" * 8000,
        msgspec.msgpack.encode(["config", 1, 1, zlib.compress(b"\x91" * 100_000)]),
        encoder.encode(status(address="a..b:7340")),
        encoder.encode(status(address="10.0.0.1:99999")),
    ],
    ids=["nested", "nested configuration", "no address", "no port"],
)
def test_datagram_that_can_not_be_read_is_counted_and_dropped(gossip, datagram):
    """Guards against an end of the process by what another host sends."""
    gossip._view.on_config = config_spec
    gossip._handle_datagram(datagram)
    assert gossip.malformed == 1
    assert gossip._book.peer_by_id == {}
