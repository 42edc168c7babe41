"""A neighbour's word on the configuration, and when callers go to a neighbour."""

from hypothesis import given
from hypothesis import strategies as st

from radishfield.routing import (
    PeerConfirmation,
    confirmed_by_peer_at,
    sends_callers_away,
)

times = st.floats(0.0, 10.0, allow_nan=False)


@given(times, times, times, times, times)
def test_a_word_never_makes_a_view_newer_than_it_is(asked, way, held, age, back):
    """A question and its answer may take any time, and the neighbour may stop.

    Whatever happens on the way, the moment that is concluded lies no later than
    the moment at which the neighbour's view was confirmed.
    """
    made_at = asked + way + held
    confirmed_at = made_at - age
    word = PeerConfirmation(version=3, age_s=age, asked_at=asked)
    assert confirmed_by_peer_at(word, 3) <= confirmed_at + 1e-9
    assert back >= 0


def test_a_word_on_another_version_proves_nothing():
    assert confirmed_by_peer_at(PeerConfirmation(4, 0.1, 10.0), 3) is None
    assert confirmed_by_peer_at(PeerConfirmation(2, 0.1, 10.0), 3) is None


def test_callers_go_elsewhere_only_where_elsewhere_is_better():
    """A host loses the store; its neighbours may have lost it too.

    Sent away where nobody reaches the store, callers would only crowd at other
    hosts that must refuse them as well.
    """
    assert not sends_callers_away(0.0, 2.1, 8, 0.5, True)
    assert sends_callers_away(1.2, 1.5, 8, 0.5, True)
    assert sends_callers_away(0.0, 3.2, 8, 0.5, True)
    assert not sends_callers_away(3.0, 3.0, 8, 3.5, True)


def test_a_host_that_hears_nobody_any_more_is_the_one_that_is_cut_off():
    assert sends_callers_away(3.0, 3.0, 0, float("inf"), True)
    assert not sends_callers_away(3.0, 3.0, 0, float("inf"), False)
