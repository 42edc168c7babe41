"""What a host makes of its neighbours' datagrams."""

import pytest

from radishfield.forwarding._gossip import Gossip
from radishfield.forwarding._peer_messages import (
    DATAGRAM_BYTES,
    Echo,
    PeerStatus,
    PeerZoneTotal,
    Use,
    Work,
    decoder,
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


def take(gossip, message):
    gossip._apply_status(message, ("127.0.0.1", 2))


def test_a_neighbours_word_counts_from_this_hosts_own_question(gossip):
    take(gossip, status(echoes=[Echo("me", 108.0)]))
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
def test_other_words_prove_nothing(gossip, changes):
    """A host lost power and its clock began anew.

    A neighbour still echoes a time of the life before, which lies ahead; taken at
    its word, keys would be admitted for as long as the clock needs to get there.
    """
    take(gossip, status(**changes))
    assert gossip._view.freshness.confirmed_at is None


def test_work_uses_and_losses_of_a_neighbour_are_taken(gossip):
    message = status(
        work=[Work("t1", 3, 300, 1)],
        uses=[Use("s", 40, 2)],
        lost=[("t2", 0)],
        leaving=[("t3", 0)],
    )
    take(gossip, message)
    view = gossip._view
    assert view.load.held("t1").requests == 3
    assert view.directory.suspected("t2", 110.0)
    assert "t3" not in {record.id for record in view.directory.usable("s", 110.0)}
    assert view.hosts == 2


def test_a_neighbour_that_lost_nearly_everything_is_the_one_that_is_cut_off(gossip):
    lost = [(f"t{number}", 0) for number in range(10)]
    take(gossip, status(lost=lost))
    assert len(gossip._view.directory.usable("s", 110.0)) == 20


def test_a_neighbour_that_falls_silent_is_forgotten_but_still_counted(gossip):
    take(gossip, status(uses=[Use("s", 40, 2)]))
    gossip._update_peer_summary()
    assert gossip._view.peers.heard == 1
    gossip._view.clock.reading = 120.0
    gossip._update_peer_summary()
    assert (gossip._view.peers.heard, gossip._view.hosts) == (0, 2)
    assert gossip._view.peers.use_by_service_by_host == {}
    gossip._view.clock.reading = 150.0
    gossip._update_peer_summary()
    assert gossip._view.hosts == 1


def test_a_zones_sum_counts_from_when_it_was_made(gossip):
    gossip._apply_zone_total(PeerZoneTotal("a", 0.4, [Work("t1", 30, 9000, 4)]))
    gossip._view.load.add_up("a", 110.0)
    assert gossip._view.load.held("t1").requests == 30
    gossip._apply_zone_total(PeerZoneTotal("a", 0.5, [Work("t1", 1, 1, 0)]))
    gossip._view.load.add_up("a", 110.0)
    assert gossip._view.load.held("t1").requests == 30


def test_a_duty_is_passed_on_from_its_holder_only(gossip):
    """Passed on by those who heard it from each other it would never end."""
    take(gossip, status(duties=["s"], forwarded_duties=["t"]))
    assert set(gossip._view.duty_reported_at) == {"s", "t"}
    told = decoder.decode(gossip._status())
    assert told.forwarded_duties == ["s"]
    gossip._view.clock.reading = 112.0
    assert decoder.decode(gossip._status()).forwarded_duties == []


def test_a_word_that_waited_while_this_host_slept_proves_nothing(gossip):
    """The host wakes and finds old datagrams; targets have left meanwhile.

    They echo what it sent before it slept.  Taken for fresh they would keep it from
    reading the list, and callers' work would go to targets that are gone.
    """
    duty, view = gossip._view.watch_duty, gossip._view
    digest = view.directory.digest()
    word = {"watches": True, "targets_digest": digest, "targets_age_s": 0.5}
    take(gossip, status(**word))
    assert duty.agreed_at is None
    take(gossip, status(**word, echoes=[Echo("me", 104.0)]))
    assert duty.agreed_at is None
    take(gossip, status(**word, echoes=[Echo("me", 109.5)]))
    assert duty.agreed_at == 110.0


def test_a_status_fits_its_datagram_with_hundreds_of_hosts(gossip):
    """Longer than that it is cut off, and nobody hears anything of this host."""
    for number in range(340):
        gossip._view.clock.reading = 110.0 + number * 0.001
        message = status(host_id=f"edge-duluth-hall-{number}")
        gossip._apply_status(message, ("127.0.0.1", number))
    data = gossip._status()
    assert len(data) < DATAGRAM_BYTES / 1.5
    echoes = {echo.host_id for echo in decoder.decode(data).echoes}
    assert "edge-duluth-hall-339" in echoes and "edge-duluth-hall-1" not in echoes


def test_a_host_that_was_just_found_is_told_before_it_is_heard(gossip):
    """Hosts start together, and the store lists them for each other.

    Told only once heard they are strangers for two seconds: news of targets goes to
    nobody, and each host finds the change by itself, 1.2 s later.
    """
    gossip._finder.add_listed("other", {"address": "127.0.0.1:2", "zone": "a"})
    gossip._round = 1
    assert [peer.address for peer in gossip._recipients()] == [("127.0.0.1", 2)]
    gossip._view.clock.reading = 113.0
    assert gossip._recipients() == []


def test_closing_and_opening_of_a_link_are_each_logged_once(gossip, caplog):
    """A stream waits although targets have room; the log says which link is full."""
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
