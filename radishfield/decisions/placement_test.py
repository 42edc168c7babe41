"""Which moves of targets are proposed, and which never are."""

from radishfield.core import LayerRange
from radishfield.decisions._placement import WeightStore, is_last_replica, propose_moves

FAST_STORE = WeightStore(layers_per_s=1.0, concurrent_loads=2)


def test_a_target_moves_to_the_range_that_is_the_bottleneck(make_target):
    targets = [make_target(f"a{i}", 0, 10) for i in range(5)]
    targets += [make_target("b0", 10, 20)]
    moves = propose_moves(targets, [], "a", FAST_STORE)
    assert [move.layers for move in moves] == [LayerRange(10, 20)] * 2
    assert moves[0].gain_tps == 100 and moves[0].reason


def test_no_move_when_loading_costs_more_than_it_gains(make_target):
    targets = [make_target(f"a{i}", 0, 10) for i in range(5)]
    targets += [make_target("b0", 10, 20)]
    slow_store = WeightStore(layers_per_s=0.01, concurrent_loads=2)
    assert propose_moves(targets, [], "a", slow_store) == []


def test_no_move_in_a_balanced_fleet(two_stages):
    assert propose_moves(two_stages, [], "a", FAST_STORE) == []


def test_last_replica_of_a_range_is_not_moved(make_target):
    targets = [make_target("a", 0, 10), make_target("b", 10, 20, speed_tps=900.0)]
    assert is_last_replica(targets, targets[0])
    assert propose_moves(targets, [], "a", FAST_STORE) == []


def test_a_leaving_replica_does_not_count(make_target):
    targets = [make_target("a", 0, 10), make_target("a2", 0, 10, state="leaving")]
    assert is_last_replica(targets, targets[0])


def test_loads_in_progress_count_towards_the_store_limit(make_target):
    targets = [make_target(f"a{i}", 0, 10) for i in range(5)]
    targets += [make_target("b0", 10, 20)]
    assert propose_moves(targets, [], "a", FAST_STORE, loading=2) == []
