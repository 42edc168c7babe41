"""How a slow target is found by many hosts that each see little of it."""

import random

import pytest

from radishfield.routing import (
    Demand,
    LoadTable,
    Paces,
    PathFinder,
    path_ms,
    plan_layout,
)
from radishfield.routing._types import LayerSpan, PathPart
from radishfield.routing.conftest import make_engine, make_target

USUAL = Demand(774, 203)
HOSTS = 40
EVENT_TOKENS = 6


def fleet():
    engine = make_engine()
    empty = [
        make_target(f"{zone}{number}", zone, card)
        for zone in "abc"
        for number, card in enumerate(["a100"] * 2 + ["l40s"] * 6 + ["l4"] * 4)
    ]
    spans = {item.target.id: item.span for item in plan_layout(engine, empty)}
    records = [
        make_target(
            each.id,
            each.zone,
            each.accelerator,
            (spans[each.id].first, spans[each.id].end),
        )
        for each in empty
    ]
    return engine, records


def pause_ms(engine, by_id, path, slow, chance):
    """Return the pause between events over a path, with a target of thrice its time."""
    total = 0.0
    for part in path:
        own = path_ms(engine, by_id, LoadTable(), (part,))
        total += own * (3.0 if part.target_id == slow else 1.0)
    return total * EVENT_TOKENS * chance.uniform(0.9, 1.2)


def test_slow_target_is_found_within_a_second_by_hosts_that_each_see_little():
    """One target of forty turns slow, and says nothing of it until it is asked.

    Forty hosts have two streams each.  Those whose stream passes the target ask its
    path's targets, learn which one it is, and tell the others; in calm nobody asks.
    """
    engine, records = fleet()
    by_id = {record.id: record for record in records}
    chance = random.Random(3)
    hosts = [Paces() for _ in range(HOSTS)]
    load = LoadTable()

    def streams():
        finder = PathFinder(engine, load, "a", spread=0.4, chance=chance)
        return [finder.find(records, USUAL) for _ in range(2)]

    asked_in_calm = 0
    for _ in range(12):
        for paces in hosts:
            for path in streams():
                pause = pause_ms(engine, by_id, path, None, chance)
                expected = path_ms(engine, by_id, load, path)
                asked_in_calm += paces.is_slow(pause, expected)
                paces.learn(pause, expected)
    assert asked_in_calm == 0

    slow = "a0"
    found = set()
    for paces in hosts:
        for path in streams():
            pause = pause_ms(engine, by_id, path, slow, chance)
            if paces.is_slow(pause, path_ms(engine, by_id, load, path)):
                for part in path:
                    pace = 3.0 if part.target_id == slow else 1.0
                    if paces.note(part.target_id, pace, 100.0):
                        found.add(part.target_id)
    assert found == {slow}


def passes(engine, records, target_id, pace_by_id):
    """Return in how many of 200 paths a target is."""
    finder = PathFinder(engine, LoadTable(), "a", spread=0.5, chance=random.Random(1))
    paths = [finder.find(records, USUAL, pace_by_id=pace_by_id) for _ in range(200)]
    return sum(target_id in {part.target_id for part in path} for path in paths)


def test_slow_target_loses_streams_in_proportion_and_gets_them_back():
    engine, records = fleet()
    paces = Paces()
    usual = passes(engine, records, "a0", paces.by_id())
    paces.note("a0", 1.3, 100.0)
    little = passes(engine, records, "a0", paces.by_id())
    paces.note("a0", 4.0, 101.0)
    much = passes(engine, records, "a0", paces.by_id())
    assert usual > little > much
    assert little > 0
    paces.expire(107.0)
    assert passes(engine, records, "a0", paces.by_id()) == usual


def test_target_that_is_well_again_is_told_and_then_forgotten():
    paces = Paces()
    assert paces.note("t", 3.0, 100.0)
    assert not paces.note("t", 2.5, 101.0)
    assert paces.to_ask(102.0) == []
    assert paces.to_ask(103.1) == ["t"]
    assert paces.note("t", 1.0, 103.2)
    assert paces.by_id() == {}
    assert paces.known(103.2) == [("t", 1.0, 0.0)]
    paces.expire(109.0)
    assert paces.known(109.0) == []


def test_older_word_does_not_replace_a_newer_one():
    paces = Paces()
    paces.note("t", 3.0, 100.0)
    paces.note("t", 1.0, 99.0)
    assert paces.by_id() == {"t": 3.0}


@pytest.mark.parametrize("layers", [(0, 40), (0, 80)])
def test_expected_time_of_a_path_grows_with_its_layers(layers):
    engine = make_engine()
    record = make_target("t", span=layers)
    path = (PathPart("t", record.address, LayerSpan(*layers)),)
    whole = path_ms(engine, {"t": record}, LoadTable(), path)
    assert whole == pytest.approx(engine.step_ms * 5.6 * layers[1] / 80)
