"""Forecasts that are learned, and lengths."""

import pytest

from radishfield.core import Priority
from radishfield.decisions._lengths import LengthEstimate
from radishfield.decisions._pace import DrainRate, Pace, Paces


def test_the_pace_follows_batches_that_fill():
    pace = Pace(0.1)
    for _ in range(100):
        pace.learn(30.0, 100.0)
    assert pace.expected_s(50.0) == pytest.approx(15.0, rel=0.05)
    assert pace.cautious_s(50.0, 0.2) > pace.expected_s(50.0)


def test_a_priority_that_passes_the_others_has_a_pace_of_its_own():
    paces = Paces(0.1)
    for _ in range(100):
        paces.learn(Priority.NORMAL, 30.0, 100.0)
        paces.learn(Priority.HIGH, 20.0, 100.0)
    assert paces.factor(Priority.HIGH) < 0.9 < paces.factor(Priority.NORMAL)


def test_only_a_time_with_work_waiting_tells_what_can_pass():
    """A quiet minute passes few tokens; the drain rate must not learn from it."""
    drain = DrainRate()
    before = drain.tps(100.0)
    for second in range(60):
        drain.passed(5)
        drain.tick(float(second), False, 100.0)
    assert drain.tps(100.0) == before
    for second in range(60, 90):
        drain.tick(float(second), True, 100.0)
        drain.passed(50)
    assert drain.tps(100.0) == pytest.approx(50.0, rel=0.1)


def test_the_used_part_of_max_tokens_is_learned(make_work):
    lengths = LengthEstimate()
    work = make_work("r", max_tokens=1000)
    before = lengths.expected_cost(work)
    for _ in range(200):
        lengths.learn(work, 100)
    assert lengths.expected_cost(work) < before / 4
