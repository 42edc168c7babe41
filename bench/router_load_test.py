"""The load tool's patterns, and one short play that callers must get through."""

import random
from collections import Counter

import trio

from bench.router_load import Play, arrivals


def test_patterns_have_the_load_that_they_name():
    chance = random.Random(3)
    steady = arrivals("steady", 20, 20, chance)
    assert 330 < len(steady) < 470
    burst = arrivals("burst", 20, 20, chance)
    middle = sum(8 <= item.at_s < 12 for item in burst)
    assert middle > 0.4 * len(burst)
    heavy = arrivals("heavy", 20, 20, chance)
    first = sum(item.workspace == 0 for item in heavy)
    assert first > 0.75 * len(heavy)
    assert steady == sorted(steady, key=lambda item: item.at_s)


def test_a_short_play_gives_each_request_one_end(tmp_path):
    """Half of what the stand-ins can serve, on a machine that may be busy."""
    due = arrivals("steady", 8, 4, random.Random(4))
    play = Play(due)
    trio.run(play.run, tmp_path)
    outcomes = sum(
        (tally.outcomes for tally in play.tally_by_kind.values()), start=Counter()
    )
    assert sum(outcomes.values()) == len(due)
    assert outcomes["in time"] + outcomes["late"] > 0.5 * len(due)
