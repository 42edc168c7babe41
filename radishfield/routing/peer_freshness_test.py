"""Tests of configuration confirmed by peers and of directing callers to peers."""

from hypothesis import given
from hypothesis import strategies as st

from radishfield.routing import (
    PeerConfirmation,
    confirmed_by_peer_at,
    sends_callers_away,
)

times = st.floats(0.0, 10.0, allow_nan=False)


@given(times, times, times, times, times)
def test_a_confirmation_never_makes_a_view_newer_than_it_is(
    sent_at, transit, held, age, back
):
    """A request and its answer may take any time, and the peer may be frozen.

    Whatever happens in transit, the computed time is no later than the time at which
    the peer's view was confirmed.
    """
    made_at = sent_at + transit + held
    confirmed_at = made_at - age
    confirmation = PeerConfirmation(version=3, age_s=age, asked_at=sent_at)
    assert confirmed_by_peer_at(confirmation, 3) <= confirmed_at + 1e-9
    assert back >= 0


def test_a_confirmation_of_another_version_proves_nothing():
    assert confirmed_by_peer_at(PeerConfirmation(4, 0.1, 10.0), 3) is None
    assert confirmed_by_peer_at(PeerConfirmation(2, 0.1, 10.0), 3) is None


def test_callers_are_sent_away_only_if_a_peer_reaches_the_store():
    """A host cannot reach the store, and its peers may not reach it either.

    If callers were sent away while no host reaches the store, they would only
    overload other hosts that must refuse them as well.
    """
    assert not sends_callers_away(0.0, 2.1, 8, 0.5, True)
    assert sends_callers_away(1.2, 1.5, 8, 0.5, True)
    assert sends_callers_away(0.0, 3.2, 8, 0.5, True)
    assert not sends_callers_away(3.0, 3.0, 8, 3.5, True)


def test_a_host_that_stops_receiving_from_peers_counts_as_disconnected():
    assert sends_callers_away(3.0, 3.0, 0, float("inf"), True)
    assert not sends_callers_away(3.0, 3.0, 0, float("inf"), False)
