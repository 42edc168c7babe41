"""Layouts over unequal zones: whole copies in each, within every card's memory."""

from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from radishfield.routing import block_layers, next_loads, plan_layout, plan_move
from radishfield.routing.conftest import CARDS, make_engine, make_target

ENGINE = make_engine()


def copies(assignments, zone=None):
    counts = Counter()
    for item in assignments:
        if zone is None or item.target.zone == zone:
            counts.update(range(item.span.first, item.span.end))
    return [counts[layer] for layer in range(ENGINE.layers)]


def users_fleet():
    counts = {"a": (1, 6, 5), "b": (2, 2, 5), "c": (1, 3, 8)}
    return [
        make_target(f"{zone}-{kind}-{index}", zone, kind)
        for zone, of_kinds in counts.items()
        for kind, count in zip(("a100", "l40s", "l4"), of_kinds, strict=True)
        for index in range(count)
    ]


def test_blocks_are_as_large_as_the_cards_allow():
    assert block_layers(ENGINE) == 8


def test_each_zone_holds_whole_copies_and_the_rest_joins_to_another():
    plan = plan_layout(ENGINE, users_fleet())
    assert len(plan) == 33
    assert min(copies(plan, "a")) == 2
    assert min(copies(plan, "b")) == 1
    assert min(copies(plan, "c")) == 1
    assert min(copies(plan)) == 5


def test_an_empty_target_gets_what_its_zone_lost():
    """A target was lost and another one comes, empty.

    Dealt by chance it would hold a further copy of what is there already, and
    the zone's requests would cross to other zones for good.
    """
    records = users_fleet()
    plan = plan_layout(ENGINE, records)
    lost = next(item for item in plan if item.target.zone == "b")
    placed = [
        make_target(
            item.target.id,
            item.target.zone,
            item.target.accelerator,
            (item.span.first, item.span.end),
        )
        for item in plan
        if item is not lost
    ]
    new = make_target("new", "b", lost.target.accelerator)
    (again,) = plan_layout(ENGINE, [*placed, new])
    assert again.target.id == "new"
    after = copies([*[p for p in plan if p is not lost], again], "b")
    assert min(after) >= 1


def test_nothing_is_planned_for_targets_that_hold_layers():
    record = make_target("t", span=(0, 16))
    assert plan_layout(ENGINE, [record]) == []


def test_a_card_of_an_unknown_kind_gets_nothing():
    assert plan_layout(ENGINE, [make_target("t", accelerator="unknown")]) == []


@settings(max_examples=60, deadline=None)
@given(
    st.lists(
        st.tuples(st.sampled_from("abc"), st.sampled_from(sorted(CARDS))),
        min_size=1,
        max_size=40,
    )
)
def test_no_plan_fills_a_card_beyond_its_memory(cards):
    records = [
        make_target(f"t{index}", zone, kind) for index, (zone, kind) in enumerate(cards)
    ]
    plan = plan_layout(ENGINE, records)
    assert len({item.target.id for item in plan}) == len(plan)
    for item in plan:
        card = CARDS[item.target.accelerator]
        assert len(item.span) * ENGINE.layer_mb < card.memory_mb
        assert 0 <= item.span.first < item.span.end <= ENGINE.layers


def placed_fleet():
    return [
        replace(item.target, span=item.span)
        for item in plan_layout(ENGINE, users_fleet())
    ]


def zone_copies(records, zone):
    counts = [0] * 10
    for record in records:
        if record.zone == zone:
            for block in range(record.span.first // 8, record.span.end // 8):
                counts[block] += 1
    return counts


def test_a_layout_that_is_whole_is_left_alone():
    assert plan_move(ENGINE, placed_fleet()) is None


def test_a_zone_that_lacks_layers_gets_them_from_its_own_spare_targets():
    """Targets of a zone leave for good, and with them its only copy of a block.

    Left so, each prompt of the zone crosses the link twice; the zone holds other
    blocks two times over, and one of those targets takes the missing block.
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


def test_nothing_moves_where_it_would_leave_a_hole():
    single = [
        make_target("t1", "a", "l4", (0, 8)),
        make_target("t2", "a", "l4", (8, 16)),
    ]
    assert plan_move(ENGINE, single) is None


@settings(max_examples=60, deadline=None)
@given(st.sets(st.integers(0, 32), max_size=14))
def test_moves_come_to_an_end_and_never_open_a_hole(lost):
    """Any targets are lost; moves must repair, not chase each other."""
    records = [
        record for index, record in enumerate(placed_fleet()) if index not in lost
    ]
    for _ in range(40):
        move = plan_move(ENGINE, records)
        if move is None:
            return
        holes = zone_copies(records, move.target.zone).count(0)
        records = [
            replace(record, span=move.span) if record is move.target else record
            for record in records
        ]
        assert zone_copies(records, move.target.zone).count(0) <= holes
    raise AssertionError("moves do not end")


def first_whole_zone_at(assignments, records, concurrent):
    """Return when the first zone holds every layer, with loads that share a store.

    Loads beyond ``concurrent`` slow all of them down in proportion.
    """
    left = {item: len(item.span) * 1.0 for item in assignments}
    placed, now = [record for record in records if record.span is not None], 0.0
    while left:
        started = list(next_loads(list(left), 0, concurrent))
        pace = min(1.0, concurrent / len(started))
        step = min(left[item] for item in started) / pace
        now += step
        for item in started:
            left[item] -= step * pace
            if left[item] <= 1e-9:
                del left[item]
                placed.append(replace(item.target, span=item.span))
        if any(0 not in zone_copies(placed, zone) for zone in "abc"):
            return now
    return now


def test_first_zone_is_whole_in_the_time_of_its_own_loads():
    # Each zone loses one card of each kind and gets them back empty.  Loaded all at
    # once through a store that serves three, each load takes several times as long
    # and all zones stand without a whole path until the end.
    records = [
        (
            replace(record, span=None)
            if record.id in {f"{zone}-{kind}-0" for zone in "abc" for kind in CARDS}
            else record
        )
        for record in placed_fleet()
    ]
    plan = plan_layout(ENGINE, records)
    assert len(plan) == 9
    assert not any(0 not in zone_copies_of(records, zone) for zone in "bc")
    in_turn = first_whole_zone_at(plan, records, concurrent=3)
    own = [item for item in plan if item.target.zone == plan[0].target.zone]
    assert in_turn <= max(len(item.span) for item in own)


def zone_copies_of(records, zone):
    return zone_copies([item for item in records if item.span is not None], zone)


def test_what_no_target_holds_is_loaded_before_further_copies():
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
