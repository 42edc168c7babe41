"""Tests of finding a slow target by many hosts that each see few of its streams."""

import random

import pytest

from radishfield.routing import (
    Demand,
    LoadTable,
    PathFinder,
    SlowdownTable,
    path_ms,
    plan_layout,
)
from radishfield.routing._types import LayerSpan, PathStage
from radishfield.routing.conftest import make_engine, make_target

DEMAND = Demand(774, 203)
HOSTS = 40
EVENT_TOKENS = 6


def fleet():
    engine = make_engine()
    empty = [
        make_target(f"{zone}{number}", zone, accelerator)
        for zone in "abc"
        for number, accelerator in enumerate(["a100"] * 2 + ["l40s"] * 6 + ["l4"] * 4)
    ]
    spans = {item.target.id: item.span for item in plan_layout(engine, empty)}
    records = [
        make_target(
            target.id,
            target.zone,
            target.accelerator,
            (spans[target.id].first, spans[target.id].end),
        )
        for target in empty
    ]
    return engine, records


def pause_ms(engine, by_id, path, slow, rng):
    """Return a path's pause between events; a slow target takes three times as long."""
    total = 0.0
    for part in path:
        own = path_ms(engine, by_id, LoadTable(), (part,))
        total += own * (3.0 if part.target_id == slow else 1.0)
    return total * EVENT_TOKENS * rng.uniform(0.9, 1.2)


def test_slow_target_is_found_within_a_second_by_hosts_with_few_streams():
    """One target of forty turns slow, and does not report it until it is queried.

    Forty hosts have two streams each.  Those with a stream through the target query the
    targets of its path, identify the slow one, and notify the others.  While no target
    is slow, no host queries any.
    """
    engine, records = fleet()
    by_id = {record.id: record for record in records}
    rng = random.Random(3)
    hosts = [SlowdownTable() for _ in range(HOSTS)]
    load = LoadTable()

    def streams():
        finder = PathFinder(engine, load, "a", spread=0.4, rng=rng)
        return [finder.find(records, DEMAND) for _ in range(2)]

    queries_before_slowdown = 0
    for _ in range(12):
        for slowdowns in hosts:
            for path in streams():
                pause = pause_ms(engine, by_id, path, None, rng)
                expected = path_ms(engine, by_id, load, path)
                queries_before_slowdown += slowdowns.is_slow(pause, expected)
                slowdowns.learn(pause, expected)
    assert queries_before_slowdown == 0

    slow = "a0"
    found = set()
    for slowdowns in hosts:
        for path in streams():
            pause = pause_ms(engine, by_id, path, slow, rng)
            if slowdowns.is_slow(pause, path_ms(engine, by_id, load, path)):
                for part in path:
                    slowdown = 3.0 if part.target_id == slow else 1.0
                    if slowdowns.note(part.target_id, slowdown, 100.0):
                        found.add(part.target_id)
    assert found == {slow}


def count_paths_through(engine, records, target_id, slowdown_by_id):
    """Return how many of 200 paths contain a target."""
    finder = PathFinder(engine, LoadTable(), "a", spread=0.5, rng=random.Random(1))
    paths = [
        finder.find(records, DEMAND, slowdown_by_id=slowdown_by_id) for _ in range(200)
    ]
    return sum(target_id in {part.target_id for part in path} for path in paths)


def test_slow_target_loses_streams_in_proportion_and_gets_them_back():
    engine, records = fleet()
    slowdowns = SlowdownTable()
    count_normal = count_paths_through(engine, records, "a0", slowdowns.by_id())
    slowdowns.note("a0", 1.3, 100.0)
    count_slightly_slow = count_paths_through(engine, records, "a0", slowdowns.by_id())
    slowdowns.note("a0", 4.0, 101.0)
    count_very_slow = count_paths_through(engine, records, "a0", slowdowns.by_id())
    assert count_normal > count_slightly_slow > count_very_slow
    assert count_slightly_slow > 0
    slowdowns.expire(107.0)
    assert count_paths_through(engine, records, "a0", slowdowns.by_id()) == count_normal


def test_recovered_target_is_reported_and_then_dropped():
    slowdowns = SlowdownTable()
    assert slowdowns.note("t", 3.0, 100.0)
    assert not slowdowns.note("t", 2.5, 101.0)
    assert slowdowns.to_ask(102.0) == []
    assert slowdowns.to_ask(103.1) == ["t"]
    assert slowdowns.note("t", 1.0, 103.2)
    assert slowdowns.by_id() == {}
    assert slowdowns.known(103.2) == [("t", 1.0, 0.0)]
    slowdowns.expire(109.0)
    assert slowdowns.known(109.0) == []


def test_older_report_does_not_replace_a_newer_one():
    slowdowns = SlowdownTable()
    slowdowns.note("t", 3.0, 100.0)
    slowdowns.note("t", 1.0, 99.0)
    assert slowdowns.by_id() == {"t": 3.0}


@pytest.mark.parametrize("layers", [(0, 40), (0, 80)])
def test_expected_time_of_a_path_grows_with_its_layers(layers):
    engine = make_engine()
    record = make_target("t", span=layers)
    path = (PathStage("t", record.address, LayerSpan(*layers)),)
    expected_ms = path_ms(engine, {"t": record}, LoadTable(), path)
    assert expected_ms == pytest.approx(engine.step_ms * 5.6 * layers[1] / 80)
