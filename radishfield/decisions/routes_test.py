"""Chains of targets: layers covered, model versions, zones and links."""

from radishfield.core import TargetKind, covers_model_once
from radishfield.decisions._pool import Pool


def make_pool(targets, links=(), zone="a", hosts=1):
    pool = Pool(TargetKind.ENGINE)
    pool.set_targets(targets, links, zone, hosts)
    return pool


def ranges(claim):
    return [stage.layers for stage in claim.route.stages]


def test_a_chain_covers_each_layer_once_with_overlapping_ranges(make_target):
    targets = [
        make_target("a", 0, 12),
        make_target("b", 8, 16),
        make_target("c", 9, 20),
    ]
    pool = make_pool(targets)
    for _ in range(20):
        claim = pool.pick(False)
        assert covers_model_once(ranges(claim), 20)
        pool.begin(claim)


def test_a_chain_never_mixes_model_versions(make_target):
    old = [make_target("o1", 0, 10), make_target("o2", 10, 20)]
    new = [
        make_target("n1", 0, 10, model_version="2"),
        make_target("n2", 10, 20, model_version="2"),
    ]
    pool = make_pool(old + new)
    seen = set()
    for _ in range(10):
        claim = pool.pick(False)
        pool.begin(claim)
        assert len({load.target.model_version for load in claim.loads}) == 1
        seen.add(claim.route.model_version)
    assert seen == {"1", "2"}


def test_work_in_flight_is_proportional_to_speed(make_target):
    fast = make_target("fast", 0, 10, speed_tps=300.0, slots=24)
    slow = make_target("slow", 0, 10, speed_tps=100.0)
    last = make_target("last", 10, 20, speed_tps=400.0, slots=32)
    pool = make_pool([fast, slow, last])
    for _ in range(40):
        pool.begin(pool.pick(False))
    counts = {i: load.own for i, load in pool.loads_by_id.items()}
    assert 2.5 <= counts["fast"] / counts["slow"] <= 3.5


def test_chain_stays_in_its_zone_until_that_is_nearly_full(make_target, links):
    near = [make_target("a1", 0, 10), make_target("a2", 10, 20)]
    far = [make_target("b1", 0, 10, zone="b"), make_target("b2", 10, 20, zone="b")]
    pool = make_pool(near + far, links)
    order = []
    while (claim := pool.pick(False)) is not None:
        pool.begin(claim)
        order.append(claim.loads[0].target.zone)
    third = len(order) // 3
    assert set(order[:third]) == {"a"} and "b" in order


def test_work_over_a_slow_link_is_limited(make_target, links):
    targets = [
        make_target("a1", 0, 10, speed_tps=400.0),
        make_target("a2", 10, 20),
        make_target("c2", 10, 20, zone="c", speed_tps=400.0),
    ]
    pool = make_pool(targets, links)
    while (claim := pool.pick(False)) is not None:
        pool.begin(claim)
    assert 0 < pool.loads_by_id["c2"].own <= 6


def test_search_backtracks_from_a_dead_end(make_target):
    """The entry host's own zone holds the first layers only, and has no link.

    The search takes the local target first, finds no next stage, and has to
    backtrack and start in the other zone instead.
    """
    targets = [
        make_target("trap", 0, 10, zone="c", speed_tps=900.0),
        make_target("way", 0, 10),
        make_target("rest", 10, 20),
    ]
    claim = make_pool(targets, zone="c").pick(False)
    assert [load.target.id for load in claim.loads] == ["way", "rest"]


def test_no_chain_uses_a_leaving_target(make_target):
    targets = [make_target("a", 0, 10), make_target("b", 10, 20, state="leaving")]
    pool = make_pool(targets)
    assert pool.pick(False) is None and not pool.covered()
