"""Tests of layouts over unequal zones: complete copies in each, within memory."""

import random
from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from radishfield.routing import (
    MIN_REQUESTS_FOR_COPY,
    Accelerator,
    block_layers,
    layers_beside,
    layout_problems,
    next_loads,
    plan_layout,
    plan_move,
)
from radishfield.routing.conftest import ACCELERATOR_BY_NAME, make_engine, make_target

ENGINE = make_engine()


def copies(assignments, zone=None):
    counts = Counter()
    for item in assignments:
        if zone is None or item.target.zone == zone:
            counts.update(range(item.span.first, item.span.end))
    return [counts[layer] for layer in range(ENGINE.layers)]


def make_fleet():
    counts = {"a": (1, 6, 5), "b": (2, 2, 5), "c": (1, 3, 8)}
    return [
        make_target(f"{zone}-{kind}-{index}", zone, kind)
        for zone, kind_counts in counts.items()
        for kind, count in zip(("a100", "l40s", "l4"), kind_counts, strict=True)
        for index in range(count)
    ]


def test_blocks_are_as_large_as_accelerator_memory_allows():
    assert block_layers(ENGINE) == 8


def test_each_zone_holds_complete_copies_and_the_rest_forms_another():
    plan = plan_layout(ENGINE, make_fleet())
    assert len(plan) == 33
    assert min(copies(plan, "a")) == 2
    assert min(copies(plan, "b")) == 1
    assert min(copies(plan, "c")) == 1
    assert min(copies(plan)) == 5


def test_an_empty_target_gets_the_layers_missing_in_its_zone():
    """A target has left its zone and an empty one replaces it.

    If its layers were chosen at random, it might duplicate existing ones, and the
    zone's requests would permanently cross to other zones.
    """
    records = make_fleet()
    plan = plan_layout(ENGINE, records)
    removed = next(item for item in plan if item.target.zone == "b")
    placed = [
        make_target(
            item.target.id,
            item.target.zone,
            item.target.accelerator,
            (item.span.first, item.span.end),
        )
        for item in plan
        if item is not removed
    ]
    new = make_target("new", "b", removed.target.accelerator)
    (replacement,) = plan_layout(ENGINE, [*placed, new])
    assert replacement.target.id == "new"
    after = copies([*[p for p in plan if p is not removed], replacement], "b")
    assert min(after) >= 1


def test_nothing_is_planned_for_targets_that_hold_layers():
    record = make_target("t", span=(0, 16))
    assert plan_layout(ENGINE, [record]) == []


def test_an_accelerator_of_unknown_type_gets_nothing():
    assert plan_layout(ENGINE, [make_target("t", accelerator="unknown")]) == []


@settings(max_examples=60, deadline=None)
@given(
    st.lists(
        st.tuples(st.sampled_from("abc"), st.sampled_from(sorted(ACCELERATOR_BY_NAME))),
        min_size=1,
        max_size=40,
    )
)
def test_no_plan_exceeds_the_memory_of_an_accelerator(zones_and_kinds):
    records = [
        make_target(f"t{index}", zone, kind)
        for index, (zone, kind) in enumerate(zones_and_kinds)
    ]
    plan = plan_layout(ENGINE, records)
    assert len({item.target.id for item in plan}) == len(plan)
    for item in plan:
        accelerator = ACCELERATOR_BY_NAME[item.target.accelerator]
        assert len(item.span) * ENGINE.layer_mb < accelerator.memory_mb
        assert 0 <= item.span.first < item.span.end <= ENGINE.layers


def placed_fleet():
    return [
        replace(item.target, span=item.span)
        for item in plan_layout(ENGINE, make_fleet())
    ]


def zone_copies(records, zone):
    counts = [0] * 10
    for record in records:
        if record.zone == zone:
            for block in range(record.span.first // 8, record.span.end // 8):
                counts[block] += 1
    return counts


def test_a_complete_layout_needs_no_move():
    assert plan_move(ENGINE, placed_fleet()) is None


def test_a_zone_that_lacks_layers_gets_them_from_its_own_spare_targets():
    """Targets leave a zone permanently, and with them its only copy of a block.

    Without a move, each prompt of the zone crosses the link twice.  The zone has two
    copies of other blocks, and one of those targets loads the missing block.
    """
    records = [
        record
        for record in placed_fleet()
        if record.zone != "b" or not record.span.first <= 40 < record.span.end
    ]
    assert zone_copies(records, "b")[5] == 0
    moves = 0
    while (move := plan_move(ENGINE, records)) is not None and moves < 10:
        moves += 1
        before = zone_copies(records, move.target.zone)
        records = [
            replace(record, span=move.span) if record is move.target else record
            for record in records
        ]
        after = zone_copies(records, move.target.zone)
        assert after.count(0) <= before.count(0)
    assert zone_copies(records, "b").count(0) == 0
    assert moves < 6


def test_no_move_leaves_a_block_without_a_copy():
    single = [
        make_target("t1", "a", "l4", (0, 8)),
        make_target("t2", "a", "l4", (8, 16)),
    ]
    assert plan_move(ENGINE, single) is None


@settings(max_examples=60, deadline=None)
@given(st.sets(st.integers(0, 32), max_size=14))
def test_moves_terminate_and_never_leave_a_block_without_a_copy(removed):
    """Moves must repair the loss of any targets and not undo each other."""
    records = [
        record for index, record in enumerate(placed_fleet()) if index not in removed
    ]
    for _ in range(40):
        move = plan_move(ENGINE, records)
        if move is None:
            return
        missing = zone_copies(records, move.target.zone).count(0)
        records = [
            replace(record, span=move.span) if record is move.target else record
            for record in records
        ]
        assert zone_copies(records, move.target.zone).count(0) <= missing
    raise AssertionError("plan_move still returns a move after 40 moves")


def first_complete_zone_at(assignments, records, concurrent):
    """Return when the first zone holds every layer if all loads share a weight store.

    Loads beyond ``concurrent`` slow all of them down in proportion.
    """
    remaining = {item: len(item.span) * 1.0 for item in assignments}
    placed, now = [record for record in records if record.span is not None], 0.0
    while remaining:
        started = list(next_loads(list(remaining), 0, concurrent))
        speed = min(1.0, concurrent / len(started))
        step = min(remaining[item] for item in started) / speed
        now += step
        for item in started:
            remaining[item] -= step * speed
            if remaining[item] <= 1e-9:
                del remaining[item]
                placed.append(replace(item.target, span=item.span))
        if any(0 not in zone_copies(placed, zone) for zone in "abc"):
            return now
    return now


def test_first_zone_is_complete_in_the_time_of_its_own_loads():
    # Each zone loses one accelerator of each type and gets it back empty.  If all were
    # loaded at once from a store that serves three, each load would take several times
    # as long and no zone would have a complete path until the end.
    records = [
        (
            replace(record, span=None)
            if record.id
            in {f"{zone}-{kind}-0" for zone in "abc" for kind in ACCELERATOR_BY_NAME}
            else record
        )
        for record in placed_fleet()
    ]
    plan = plan_layout(ENGINE, records)
    assert len(plan) == 9
    assert not any(0 not in zone_copies_of_placed(records, zone) for zone in "bc")
    completed_at = first_complete_zone_at(plan, records, concurrent=3)
    first_zone = [item for item in plan if item.target.zone == plan[0].target.zone]
    assert completed_at <= max(len(item.span) for item in first_zone)


def zone_copies_of_placed(records, zone):
    return zone_copies([item for item in records if item.span is not None], zone)


def test_layers_that_no_target_holds_are_loaded_before_further_copies():
    records = [
        (
            replace(record, span=None)
            if record.zone == "c" or record.span.first <= 72 < record.span.end
            else record
        )
        for record in placed_fleet()
    ]
    plan = plan_layout(ENGINE, records)
    assert plan[0].span.end == 80
    assert len(next_loads(plan, 2, 5)) == 3
    assert next_loads(plan, 7, 5) == []


SMALL_CARDS = {
    "a100s": Accelerator("a100s", 36000.0, 3.1, 3.2),
    "l4": Accelerator("l4", 21600.0, 16.0, 8.2),
    "t4": Accelerator("t4", 14400.0, 15.0, 15.0),
}
SMALL_CACHE_ENGINE = make_engine(
    accelerator_by_name=SMALL_CARDS,
    cache_bytes_per_token=720000.0,
    usual_prompt=761,
    usual_answer=138,
)


def fleet_of(count_by_kind_by_zone):
    return [
        make_target(f"{zone}-{kind}-{index}", zone, kind)
        for zone, count_by_kind in count_by_kind_by_zone.items()
        for kind, count in count_by_kind.items()
        for index in range(count)
    ]


def requests_beside(engine, assignment):
    """Return how many typical requests fit beside a target's layers."""
    accelerator = engine.accelerator_by_name[assignment.target.accelerator]
    layers = len(assignment.span)
    free_mb = accelerator.memory_mb - layers * engine.layer_mb
    cache_mb = engine.cache_bytes_per_token / engine.layers * layers / 1e6
    return free_mb / (cache_mb * (engine.usual_prompt + engine.usual_answer))


def test_requests_with_small_caches_leave_memory_for_more_layers():
    """A calm hour's prompts jam the links of zones that lack a copy.

    With a fixed share of memory for layers, none of these zones held one: requests
    needed half of the memory that was left to them.
    """
    fleet = fleet_of(
        {
            "a": {"a100s": 1, "l4": 5, "t4": 3},
            "b": {"a100s": 2, "l4": 2, "t4": 4},
            "c": {"a100s": 2, "l4": 3, "t4": 5},
        }
    )
    plan = plan_layout(SMALL_CACHE_ENGINE, fleet)
    assert all(min(copies(plan, zone)) >= 1 for zone in "abc")
    for item in plan:
        room = requests_beside(SMALL_CACHE_ENGINE, item)
        assert room >= (MIN_REQUESTS_FOR_COPY if item.target.zone == "b" else 40)


@settings(max_examples=60, deadline=None)
@given(
    st.lists(st.floats(8000.0, 90000.0), min_size=1, max_size=3),
    st.floats(2e5, 2e6),
    st.integers(1, 24),
    st.integers(50, 3000),
)
def test_a_zone_that_can_hold_a_copy_does(memory_mb, cache_bytes, count, prompt):
    """Whatever the accelerators, caches and prompts are, up to what blocks waste."""
    cards = {
        f"k{index}": Accelerator(f"k{index}", memory, 5.0, 5.0)
        for index, memory in enumerate(memory_mb)
    }
    engine = make_engine(
        accelerator_by_name=cards,
        cache_bytes_per_token=cache_bytes,
        usual_prompt=prompt,
    )
    fleet = fleet_of({"a": {kind: count for kind in cards}})
    plan = plan_layout(engine, fleet)
    size = block_layers(engine)
    held_at_most = sum(
        layers_beside(engine, cards[record.accelerator], MIN_REQUESTS_FOR_COPY)
        // size
        * size
        for record in fleet
    )
    if held_at_most >= 1.15 * engine.layers:
        assert min(copies(plan)) >= 1
    for item in plan:
        assert requests_beside(engine, item) >= min(MIN_REQUESTS_FOR_COPY, engine.slots)


def test_accelerators_too_small_for_a_layer_do_not_spoil_the_plan_of_others():
    cards = SMALL_CARDS | {"tiny": Accelerator("tiny", 1500.0, 9.0, 9.0)}
    engine = replace(SMALL_CACHE_ENGINE, accelerator_by_name=cards)
    fleet = fleet_of({"a": {"l4": 9, "tiny": 2}})
    plan = plan_layout(engine, fleet)
    assert len(plan) == 9
    assert min(copies(plan)) >= 1
    assert layout_problems(engine) == ["accelerator tiny holds no layer of 1750 MB"]
    assert layout_problems(SMALL_CACHE_ENGINE) == []


def test_engines_without_a_known_cache_get_a_fixed_share_of_layers():
    for changes in (
        {"cache_bytes_per_token": 0.0},
        {"usual_prompt": 0, "usual_answer": 0},
    ):
        engine = replace(SMALL_CACHE_ENGINE, **changes)
        assert layers_beside(engine, SMALL_CARDS["l4"]) == 8
        assert len(layout_problems(engine)) == 1
    engine = replace(SMALL_CACHE_ENGINE, layer_mb=0.0, usual_prompt=0, usual_answer=0)
    assert plan_layout(engine, fleet_of({"a": {"l4": 3}})) == []


DISTURBANCES = ["crash", "rack", "return", "release", "leave"]


@pytest.mark.parametrize("kind", DISTURBANCES)
@pytest.mark.parametrize("seed", range(3))
def test_a_disturbed_layout_ends_with_the_copies_of_a_new_one(kind, seed):
    """Losses, returns, releases and planned leavings must not leave a worse layout."""
    rng = random.Random(seed)
    records = settled(make_fleet())
    rack = [record for record in records if record.zone == rng.choice("abc")]
    lost = rng.sample(rack if kind == "rack" else records, 4)
    if kind == "release":
        for record in rng.sample(records, 12):
            records = settled([item for item in records if item.id != record.id])
            records = settled([*records, replace(record, span=None)])
    else:
        records = [item for item in records if item not in lost]
    if kind == "return":
        records += [replace(item, span=None) for item in lost]
    records = settled(records)
    new = settled([replace(item, span=None) for item in records])
    assert fleet_copies(records) >= fleet_copies(new) - 1


def settled(records):
    """Return the records once nothing more is to be loaded or moved."""
    plan = {item.target.id: item.span for item in plan_layout(ENGINE, records)}
    records = [replace(item, span=plan.get(item.id, item.span)) for item in records]
    for _ in range(40):
        move = plan_move(ENGINE, records)
        if move is None:
            return records
        records = [
            replace(item, span=move.span) if item.id == move.target.id else item
            for item in records
        ]
    raise AssertionError("plan_move still returns a move after 40 moves")


def fleet_copies(records):
    """Return how many copies of the scarcest block the fleet holds."""
    by_zone = [zone_copies(records, zone) for zone in "abc"]
    return min(sum(counts) for counts in zip(*by_zone, strict=True))
