"""Tests of layouts over unequal zones: complete copies in each, within memory."""

from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from radishfield.routing import block_layers, next_loads, plan_layout, plan_move
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
