"""Learned token times, drain rates and answer lengths."""

import pytest

from radishfield.core import Priority
from radishfield.decisions._lengths import LengthEstimate
from radishfield.decisions._pace import DrainRate, TokenTime, TokenTimes


def test_token_time_follows_batches_that_fill():
    token_time = TokenTime(0.1)
    for _ in range(100):
        token_time.learn(30.0, 100.0)
    assert token_time.expected_s(50.0) == pytest.approx(15.0, rel=0.05)
    assert token_time.conservative_s(50.0, 0.2) > token_time.expected_s(50.0)


def test_each_priority_has_its_own_token_time():
    token_times = TokenTimes(0.1)
    for _ in range(100):
        token_times.learn(Priority.NORMAL, 30.0, 100.0)
        token_times.learn(Priority.HIGH, 20.0, 100.0)
    assert token_times.factor(Priority.HIGH) < 0.9 < token_times.factor(Priority.NORMAL)


def test_drain_rate_is_learned_only_while_work_waits():
    """An idle minute passes few tokens; the drain rate must not learn from it."""
    drain = DrainRate()
    before = drain.tps(100.0)
    for second in range(60):
        drain.add_tokens(5)
        drain.tick(float(second), False, 100.0)
    assert drain.tps(100.0) == before
    for second in range(60, 90):
        drain.tick(float(second), True, 100.0)
        drain.add_tokens(50)
    assert drain.tps(100.0) == pytest.approx(50.0, rel=0.1)


def test_used_fraction_of_max_tokens_is_learned(make_work):
    lengths = LengthEstimate()
    work = make_work("r", max_tokens=1000)
    before = lengths.expected_cost(work)
    for _ in range(200):
        lengths.learn(work, 100)
    assert lengths.expected_cost(work) < before / 4
