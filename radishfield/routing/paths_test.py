"""Tests of paths over unequal accelerators, under load and after failures."""

import random
import time

import pytest
from msgspec.structs import replace

from radishfield.routing import (
    STARTUP_SPREAD,
    Demand,
    LinkUsage,
    LoadTable,
    PathFinder,
    capacity_token_layers,
    choice_spread,
    covers_once,
    pair_of,
    plan_layout,
)
from radishfield.routing._paths import MAX_FILL
from radishfield.routing._types import LayerSpan
from radishfield.routing.conftest import make_engine, make_target

DEMAND = Demand(774, 203)


def placed(assignments):
    """Return the targets as they are after the assignments are carried out."""
    return [replace(item.target, span=item.span) for item in assignments]


def fleet(engine):
    """Return a fleet like the users': 33 accelerators of three kinds in three zones."""
    counts = {"a": (1, 6, 5), "b": (2, 2, 5), "c": (1, 3, 8)}
    empty = [
        make_target(f"{zone}-{kind}-{index}", zone, kind)
        for zone, of_kinds in counts.items()
        for kind, count in zip(("a100", "l40s", "l4"), of_kinds, strict=True)
        for index in range(count)
    ]
    return placed(plan_layout(engine, empty))


def start_request(load, path, demand):
    for index, part in enumerate(path):
        load.started(part.target_id, demand.tokens * len(part.span), index == 0)


def test_a_path_runs_every_layer_once_and_stays_in_one_zone(engine):
    records = fleet(engine)
    for zone in "abc":
        path = PathFinder(engine, LoadTable(), zone).find(records, DEMAND)
        assert covers_once(path, engine.layers)
        assert len({part.target_id[0] for part in path}) == 1


def test_a_path_stays_in_its_zone_where_no_delays_are_named():
    """A service does not configure the delays between its zones.

    If they counted as zero, requests would cross to whichever zone is named first.
    """
    engine = make_engine(delay_ms_by_pair={})
    records = [
        make_target(f"{zone}-{index}", zone, "l40s", (index * 16, index * 16 + 16))
        for zone in "abc"
        for index in range(5)
    ]
    for zone in "abc":
        path = PathFinder(engine, LoadTable(), zone).find(records, DEMAND)
        assert {part.target_id[0] for part in path} == {zone}


def test_any_one_target_may_die_and_each_zone_still_has_a_path(engine):
    """One target dies, which may be the zone's only large one.

    With a fixed chain the zone would lose all of its capacity.  Here another target of
    any zone runs the same layers.
    """
    records = fleet(engine)
    for dead in records:
        remaining = [record for record in records if record.id != dead.id]
        for zone in "abc":
            path = PathFinder(engine, LoadTable(), zone).find(remaining, DEMAND)
            assert covers_once(path, engine.layers), dead.id


def test_a_partitioned_zone_has_a_path_of_its_own(engine):
    records = fleet(engine)
    for zone in "abc":
        own = [record for record in records if record.zone == zone]
        assert PathFinder(engine, LoadTable(), zone).find(own, DEMAND) is not None


def test_load_spreads_over_the_fleet_before_anything_is_refused(engine):
    """Requests come to three zones until the first has no path.

    Memory is the limit.  With paths chosen by speed alone, the fast accelerators would
    fill first, and requests would be refused while three quarters of the memory are
    idle.
    """
    records = fleet(engine)
    load = LoadTable()
    admitted = 0
    while True:
        path = PathFinder(engine, load, "abc"[admitted % 3]).find(records, DEMAND)
        if path is None:
            break
        start_request(load, path, DEMAND)
        admitted += 1
    total = sum(capacity_token_layers(engine, record) for record in records)
    used = admitted * DEMAND.tokens * engine.layers
    assert used / total > 0.75


def test_a_full_target_is_excluded(engine):
    records = [
        make_target("small", span=(0, 80), accelerator="big"),
        make_target("other", "b", span=(0, 80), accelerator="big"),
    ]
    engine = make_engine(
        accelerator_by_name={
            "big": engine.accelerator_by_name["a100"].__class__("big", 150000, 1.0, 1.0)
        }
    )
    load = LoadTable()
    load.started("small", capacity_token_layers(engine, records[0]), True)
    path = PathFinder(engine, load, "a").find(records, DEMAND)
    assert [part.target_id for part in path] == ["other"]
    load.started("other", capacity_token_layers(engine, records[1]), True)
    assert PathFinder(engine, load, "a").find(records, DEMAND) is None


def test_a_target_never_occurs_twice_in_a_path(engine):
    """A fast accelerator holds the middle of what a slow one holds.

    The cheapest path by layer would be slow, fast, slow.  Targets refuse a path that
    names one of them twice.
    """
    records = [
        make_target("slow", accelerator="l4", span=(0, 80)),
        make_target("fast", accelerator="a100", span=(24, 56)),
    ]
    path = PathFinder(engine, LoadTable(), "a").find(records, DEMAND)
    if path is not None:
        assert covers_once(path, 80)


def test_a_path_is_changed_around_any_dead_part_but_its_first(engine):
    records = fleet(engine)
    finder = PathFinder(engine, LoadTable(), "a")
    path = finder.find(records, DEMAND)
    for dead in path[1:]:
        remaining = [record for record in records if record.id != dead.target_id]
        moved = finder.find(remaining, DEMAND, path[0])
        assert moved[0] == path[0]
        assert covers_once(moved, engine.layers)


def test_a_slow_part_is_avoided_where_another_holds_its_layers(engine):
    records = [
        make_target("head", accelerator="a100", span=(0, 40)),
        make_target("tail-1", accelerator="a100", span=(40, 80)),
        make_target("tail-2", accelerator="a100", span=(40, 80)),
    ]
    finder = PathFinder(engine, LoadTable(), "a")
    path = finder.find(records, DEMAND, slowdown_by_id={"tail-1": 5.0})
    assert path[1].target_id == "tail-2"


@pytest.mark.parametrize("spans", [[(0, 40)], [(0, 40), (48, 80)], [(8, 80)], []])
def test_no_path_where_layers_are_missing(engine, spans):
    records = [make_target(f"t{n}", span=span) for n, span in enumerate(spans)]
    assert PathFinder(engine, LoadTable(), "a").find(records, DEMAND) is None


def test_a_path_over_a_fleet_of_86_targets_is_found_in_time(engine):
    empty = [
        make_target(f"{zone}-{kind}-{index}", zone, kind)
        for zone in "abcd"
        for kind, count in (("a100", 2), ("l40s", 8), ("l4", 12))
        for index in range(count)
    ]
    records = placed(plan_layout(engine, empty))
    finder = PathFinder(engine, LoadTable(), "a")
    started = time.process_time()
    for _ in range(20):
        assert finder.find(records, DEMAND) is not None
    assert (time.process_time() - started) / 20 < 0.02


def test_covers_once_rejects_gaps_overlaps_and_repeats(engine):
    path = PathFinder(engine, LoadTable(), "a").find(fleet(engine), DEMAND)
    assert not covers_once(path[1:], 80)
    assert not covers_once(path + path[-1:], 80)
    first = path[0].__class__(path[0].target_id, path[0].address, LayerSpan(0, 1))
    assert not covers_once((first, *path[1:]), 80)


def test_a_full_link_between_zones_is_not_used(engine):
    """A zone lacks a few layers, and its requests cross to another zone and back.

    Each prompt holds the link for 30 ms and every token waits behind it.  With a fixed
    price per crossing, the link would fill and all streams would slow down.
    """
    records = [record for record in fleet(engine) if record.zone != "c"]
    incomplete = [
        record
        for record in records
        if record.zone != "a" or not record.span.first <= 40 < record.span.end
    ]
    load, links = LoadTable(), LinkUsage()
    crossed = 0
    for number in range(120):
        now = number / 20
        finder = PathFinder(engine, load, "a", links.shares(now))
        path = finder.find(incomplete, DEMAND)
        zones = [part.target_id[0] for part in path]
        for zone, other in zip(zones, zones[1:], strict=False):
            if zone != other:
                links.crossed(pair_of(zone, other), engine.transfer_ms(774), now)
                crossed += 1
        if number < 60:
            start_request(load, path, DEMAND)
        assert links.shares(now).get(("a", "b"), 0.0) < 0.75
    assert crossed > 0


def test_a_path_never_mixes_two_versions_of_the_weights(engine):
    """New weights are rolled out target by target.

    A path over stages of both versions would give tokens of neither model.
    """
    old = [
        make_target("o1", accelerator="a100", span=(0, 40), weights_version=1),
        make_target("o2", accelerator="a100", span=(40, 80), weights_version=1),
    ]
    half = make_target("n1", accelerator="a100", span=(0, 40), weights_version=2)
    rest = make_target("n2", accelerator="a100", span=(40, 80), weights_version=2)
    finder = PathFinder(engine, LoadTable(), "a")
    ids = [part.target_id for part in finder.find([*old, half], DEMAND)]
    assert ids == ["o1", "o2"]
    ids = [part.target_id for part in finder.find([*old, half, rest], DEMAND)]
    assert ids == ["n1", "n2"]
    assert finder.find([old[0], rest], DEMAND) is None


def large_fleet(engine):
    """Return five zones of about forty accelerators each."""
    counts = {
        "a": (2, 19, 17),
        "b": (6, 8, 21),
        "c": (3, 12, 31),
        "d": (2, 19, 17),
        "e": (5, 8, 20),
    }
    empty = [
        make_target(f"{zone}-{kind}-{index}", zone, kind)
        for zone, of_kinds in counts.items()
        for kind, count in zip(("a100", "l40s", "l4"), of_kinds, strict=True)
        for index in range(count)
    ]
    return placed(plan_layout(engine, empty))


def worst_fill(engine, records, spread, starts):
    """Return the highest fill of a target when hosts know nothing of new streams."""
    rng, load = random.Random(5), LoadTable()
    load_by_zone = {zone: LoadTable() for zone in "abcde"}
    for number in range(starts):
        zone = "abcde"[number % 5]
        finder = PathFinder(engine, load_by_zone[zone], zone, spread=spread, rng=rng)
        start_request(load, finder.find(records, DEMAND), DEMAND)
    by_id = {record.id: record for record in records}
    return max(
        held.token_layers / capacity_token_layers(engine, by_id[target_id])
        for target_id, held in load.own_by_id.items()
    )


def test_hosts_that_choose_at_the_same_moment_choose_different_paths(engine):
    """Two hundred hosts start 150 streams before any receives the others' reports.

    Thirty come in each zone, where one path has capacity for about forty beside what it
    runs already.  If all chose the cheapest path, they would fill it at once and be
    refused.
    """
    records = large_fleet(engine)
    starts = 150
    assert worst_fill(engine, records, 0.0, starts) > 1.0
    assert worst_fill(engine, records, choice_spread(starts), starts) < MAX_FILL


def refused(engine, records, spread, streams, hosts=195):
    """Return how many of some streams find no free capacity in four attempts.

    Each host knows only its own streams, and which target was full.
    """
    rng, load = random.Random(2), LoadTable()
    own = [LoadTable() for _ in range(hosts)]
    capacity_by_id = {
        record.id: capacity_token_layers(engine, record) for record in records
    }
    count = 0
    for _ in range(streams):
        host = rng.randrange(hosts)
        zone = "abcde"[host % 5]
        full = set()
        for _ in range(4):
            finder = PathFinder(engine, own[host], zone, spread=spread, rng=rng)
            path = finder.find([r for r in records if r.id not in full], DEMAND)
            overfilled = {
                part.target_id
                for part in path
                if load.held(part.target_id).token_layers
                + DEMAND.tokens * len(part.span)
                > capacity_by_id[part.target_id]
            }
            if not overfilled:
                start_request(load, path, DEMAND)
                start_request(own[host], path, DEMAND)
                break
            full |= overfilled
        else:
            count += 1
    return count


def test_callers_that_return_at_once_to_restarted_hosts_find_capacity(engine):
    """All hosts crashed; they restart, and 500 callers come in half a second.

    No host knows what the others send.  On the cheapest paths the streams would meet at
    the same fast accelerators, be refused four times, and be rejected while two thirds
    of the fleet's memory is idle.
    """
    records = large_fleet(engine)
    assert refused(engine, records, STARTUP_SPREAD, streams=500) <= 10


def test_few_hosts_keep_to_the_cheapest_path(engine):
    """Six hosts see each other's work; a worse path would only cost time."""
    assert choice_spread(2.0) < 0.05
    assert choice_spread(0.0) == 0.0
    assert choice_spread(1e6) <= 0.6


def test_paths_take_few_stages_where_targets_hold_overlapping_layers(engine):
    """Four targets are lost at once, and a third of all streams passed one of them.

    With overlapping layers a stage of one layer at a slightly faster target made a path
    a little cheaper, and paths had half as many stages again as they needed.
    """
    records = [
        make_target(f"t{first}", "a", "l4", (first, first + 10))
        for first in range(0, 72, 2)
    ]
    load = LoadTable()
    rng = random.Random(3)
    for record in records:
        for _ in range(rng.randrange(10)):
            load.started(record.id, 8000.0, False)
    path = PathFinder(engine, load, "a").find(records, DEMAND)
    assert len(path) <= 9


def test_first_target_that_fails_is_avoided_if_its_zone_has_another(engine):
    """Answers of a target are lost, and streams use up their attempts there."""
    records = [
        make_target("failing", "a", "a100", (0, 24)),
        make_target("slower", "a", "l40s", (0, 16)),
        make_target("next", "a", "l40s", (16, 32)),
        make_target("third", "a", "a100", (24, 52)),
        make_target("last", "a", "a100", (52, 80)),
    ]
    for share, first_id in ((0.0, "failing"), (0.5, "slower"), (1.0, "slower")):
        finder = PathFinder(
            engine, LoadTable(), "a", failed_share_by_id={"failing": share}
        )
        assert finder.find(records, DEMAND)[0].target_id == first_id
    alone = [record for record in records if record.id != "slower"]
    finder = PathFinder(engine, LoadTable(), "a", failed_share_by_id={"failing": 1.0})
    assert finder.find(alone, DEMAND)[0].target_id == "failing"
