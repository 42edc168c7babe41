"""The maximum flow over layers, zones and links."""

import random

import pytest

from radishfield.core import Link
from radishfield.decisions._flow import plan_flow


def test_the_bound_is_the_slowest_stage(make_target):
    targets = [make_target("a", 0, 10, speed_tps=300), make_target("b", 10, 20)]
    plan = plan_flow(targets, [], "a", {})
    assert plan.bound_tps == pytest.approx(100)
    assert plan.weight_by_target["b"] == pytest.approx(100)


def test_a_slow_link_limits_what_another_zone_adds(make_target, links):
    targets = [
        make_target("a1", 0, 10),
        make_target("a2", 10, 20, speed_tps=50),
        make_target("c2", 10, 20, zone="c"),
    ]
    plan = plan_flow(targets, links, "a", {})
    assert plan.bound_tps == pytest.approx(60)
    assert plan.tps_by_crossing["a", "c"] == pytest.approx(10)


def test_equal_targets_behind_a_bottleneck_are_both_used(make_target):
    targets = [make_target(f"a{i}", 0, 10) for i in range(2)]
    plan = plan_flow([*targets, make_target("b", 10, 20)], [], "a", {})
    assert min(plan.weight_by_target[t.id] for t in targets) >= 25


def test_flow_leaves_an_overlapping_range_before_its_end(make_target):
    targets = [make_target("a", 0, 12), make_target("b", 8, 20)]
    assert plan_flow(targets, [], "a", {}).bound_tps == pytest.approx(100)


def test_no_flow_where_a_layer_is_missing(make_target):
    targets = [make_target("a", 0, 9), make_target("b", 10, 20)]
    assert plan_flow(targets, [], "a", {}).bound_tps == 0


def test_grouping_targets_of_other_zones_keeps_the_bound(make_target):
    """Each zone groups the others' targets by range; all zones get the same bound."""
    rng = random.Random(5)
    zones = "abc"
    targets = [
        make_target(
            f"t{i}",
            10 * (i % 2),
            10 * (i % 2) + 10,
            zone=zones[i % 3],
            speed_tps=float(rng.choice((50, 100, 400))),
        )
        for i in range(30)
    ]
    links = [Link(a, b, 0.001, 80.0) for a in zones for b in zones if a != b]
    bounds = {plan_flow(targets, links, zone, {}).bound_tps for zone in zones}
    assert max(bounds) - min(bounds) < 1e-6
