"""Tests that keys are admitted only while the configuration is recent enough."""

from radishfield.routing import Freshness


def test_nothing_is_admitted_before_the_first_answer():
    assert not Freshness(5.0).admits_keys(100.0)


def test_age_counts_from_before_the_call_was_sent():
    """A key is revoked while a watch call is waiting.

    The call is sent at 10, the key is revoked at 10.1, and the answer that was made
    just before is read at 14.  Counted from the answer, the key would be admitted
    until 19; counted from the call, it is refused before 15.1.
    """
    freshness = Freshness(5.0)
    freshness.confirm(10.0, 10.1)
    assert freshness.admits_keys(14.8)
    assert not freshness.admits_keys(14.95)


def test_an_answer_that_arrives_out_of_order_does_not_make_the_view_older():
    freshness = Freshness(5.0)
    freshness.confirm(12.0, 12.1)
    freshness.confirm(11.0, 12.2)
    assert freshness.age_s(13.0) == 1.0


def test_a_host_that_was_suspended_admits_nothing():
    freshness = Freshness(5.0)
    freshness.confirm(10.0, 10.1)
    assert not freshness.admits_keys(40.0)


def test_a_failing_store_is_distinguished_from_one_that_delays_a_watch():
    freshness = Freshness(5.0)
    freshness.confirm(10.0, 12.0)
    assert freshness.silent_s(13.5) == 1.5
    assert freshness.failing_s(13.5) == 0.0
    freshness.failed(13.0)
    freshness.failed(14.0)
    assert freshness.failing_s(14.5) == 1.5
    freshness.confirm(14.6, 14.7)
    assert freshness.failing_s(15.0) == 0.0
