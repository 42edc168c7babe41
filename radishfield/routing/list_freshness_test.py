"""Tests of the delays that add up until a host knows that a target leaves."""

import pytest

from radishfield.routing import (
    ANSWER_MARGIN_S,
    COALESCE_S,
    EXPIRY_CHECK_S,
    LATENESS_S,
    MAX_ANSWER_MARGIN_S,
    MAX_DELIVERY_S,
    MIN_DUTY_CHECK_S,
    OUTAGE_EXPIRY_S,
    REGISTRATION_GRACE_S,
    REPORT_DELAY_S,
    STORE_CALM_S,
    AnswerMargin,
    confirmed_at,
    max_unread_age_s,
    watch_wait_s,
)

PROMISES_S = (2.0, 3.0, 4.0, 10.0)


@pytest.mark.parametrize("promise_s", PROMISES_S)
def test_delays_of_a_host_that_watches_add_up_to_no_more_than_the_promise(promise_s):
    """Guards against work for a target that left while a watch hung."""
    wait_s = watch_wait_s(promise_s, 0.0)
    calls_s = wait_s + ANSWER_MARGIN_S + ANSWER_MARGIN_S
    assert COALESCE_S + calls_s + MAX_DELIVERY_S + LATENESS_S <= promise_s


@pytest.mark.parametrize("promise_s", PROMISES_S)
def test_delays_of_a_host_that_is_told_add_up_to_no_more_than_the_promise(promise_s):
    """Guards against work for a target that left while no watcher saw it."""
    read_s = MIN_DUTY_CHECK_S + ANSWER_MARGIN_S
    known_s = max_unread_age_s(promise_s) + read_s
    assert known_s + MAX_DELIVERY_S + LATENESS_S <= promise_s


@pytest.mark.parametrize("promise_s", PROMISES_S)
def test_a_host_that_hears_one_watcher_never_has_to_read(promise_s):
    """Guards against calls of every host where one of two watchers fails."""
    reported_s = watch_wait_s(promise_s, 0.0, shared=True) + COALESCE_S + REPORT_DELAY_S
    assert reported_s <= max_unread_age_s(promise_s)


@pytest.mark.parametrize("promise_s", PROMISES_S)
def test_a_target_that_is_gone_is_held_no_longer_than_the_promise(promise_s):
    """Guards against holding a removal that the store acknowledged after an outage."""
    held_s = OUTAGE_EXPIRY_S + REGISTRATION_GRACE_S + EXPIRY_CHECK_S
    assert held_s + MAX_DELIVERY_S + LATENESS_S <= STORE_CALM_S + promise_s


def test_a_watch_waits_less_the_older_the_list_is():
    longest_s = watch_wait_s(2.0, 0.0)
    assert watch_wait_s(2.0, 0.2) == pytest.approx(longest_s - 0.2)
    assert watch_wait_s(2.0, 9.0) == 0.0
    assert watch_wait_s(2.0, float("inf")) == 0.0


def test_only_an_unchanged_list_after_the_full_wait_is_confirmed_for_its_end():
    assert confirmed_at(10.0, 0.7, 10.71, changed=False) == 10.7
    assert confirmed_at(10.0, 0.7, 10.5, changed=False) == 10.0
    assert confirmed_at(10.0, 0.7, 10.71, changed=True) == 10.0


def test_margin_widens_only_while_the_store_is_slow():
    """Guards against calls that all fail while the store takes half a second."""
    margin = AnswerMargin()
    margin.record_loss(1)
    assert margin.length_s == ANSWER_MARGIN_S
    for losses in (2, 3, 4):
        margin.record_loss(losses)
    assert margin.length_s == MAX_ANSWER_MARGIN_S
    margin.record_answer(0.5)
    assert margin.length_s == MAX_ANSWER_MARGIN_S
    margin.record_answer(0.01)
    assert margin.length_s == ANSWER_MARGIN_S
