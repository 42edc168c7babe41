"""Tests the load patterns and one short run against a router."""

import random
from collections import Counter

import trio

from bench.router_load import LoadRun, arrivals


def test_patterns_have_the_load_that_they_name():
    rng = random.Random(3)
    steady = arrivals("steady", 20, 20, rng)
    assert 330 < len(steady) < 470
    burst = arrivals("burst", 20, 20, rng)
    middle = sum(8 <= item.at_s < 12 for item in burst)
    assert middle > 0.4 * len(burst)
    heavy = arrivals("heavy", 20, 20, rng)
    first = sum(item.workspace == 0 for item in heavy)
    assert first > 0.75 * len(heavy)
    assert steady == sorted(steady, key=lambda item: item.at_s)


def test_short_run_gives_each_request_one_outcome(tmp_path):
    """The load is half of what the stand-ins can serve, as the machine may be busy."""
    due = arrivals("steady", 8, 4, random.Random(4))
    load_run = LoadRun(due)
    trio.run(load_run.run, tmp_path)
    outcomes = sum(
        (tally.outcomes for tally in load_run.tally_by_kind.values()), start=Counter()
    )
    assert sum(outcomes.values()) == len(due)
    assert outcomes["in time"] + outcomes["late"] > 0.5 * len(due)
