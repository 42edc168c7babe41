"""Limits shared by hosts whose view of each other's work lags."""

import pytest

from radishfield.core import TargetKind
from radishfield.decisions._limits import QUEUE_HIGH, TargetLoad
from radishfield.decisions._pool import Pool


@pytest.fixture
def load(make_target):
    target_load = TargetLoad(make_target("t", 0, 10))
    target_load.resize(36.0)
    target_load.set_host_counts(9, 3.0)
    return target_load


def fill(load, count):
    for _ in range(count):
        load.begin(False)


def test_nine_hosts_without_reports_stay_within_the_limit(load):
    fill(load, 4)
    assert not load.has_room(False)


def test_hosts_that_see_one_late_report_do_not_overfill_the_target(load, make_report):
    """All nine hosts read at the same instant that the target is idle.

    Each takes a third of the free capacity on behalf of its zone; the next report
    shows the total that they took.  The target must stay near its limit meanwhile.
    """
    hosts = [TargetLoad(load.target) for _ in range(3)]
    for host in hosts:
        host.resize(36.0)
        host.set_host_counts(9, 3.0)
    for _ in range(5):
        total = sum(host.own for host in hosts)
        for host in hosts:
            host.observe(make_report(load.target, total), 1.0)
        for host in hosts:
            while host.has_room(False):
                host.begin(False)
    total = sum(host.own for host in hosts)
    assert 30 <= total <= 40


def test_the_limit_falls_while_the_targets_queue_grows_and_rises_when_it_is_short(
    load, make_report
):
    queued = int(QUEUE_HIGH * load.target.slots * 3)
    for _ in range(10):
        load.observe(make_report(load.target, 36, queued), 1.0)
    fallen = load.limit
    assert fallen < 30
    for _ in range(30):
        load.observe(make_report(load.target, 36, 0), 2.0)
    assert load.limit > fallen


def test_slow_answers_lower_the_share_without_any_load_report(load):
    """A target becomes slower than declared and sends no reports.

    Its answers alone must reduce this host's share, and restore it afterwards.
    """
    before = load.share
    for _ in range(60):
        load.learn_stage(1.0)
    load.shift_weight(1.0)
    assert load.share < before / 2
    for _ in range(200):
        load.learn_stage(-0.5)
    load.shift_weight(1.0)
    assert load.share == before


def test_a_stale_report_is_dropped(load, make_report):
    load.observe(make_report(load.target, 0), 0.0)
    reported_share = load.share
    load.forget_stale_report(3.0)
    assert load.share == reported_share
    load.forget_stale_report(6.0)
    assert load.share == pytest.approx(4.0)


def test_long_work_leaves_capacity_for_short_work(load):
    while load.has_room(True):
        load.begin(True)
    assert load.has_room(False)


def test_weight_rises_slowly_and_falls_at_once(load):
    load.goal = 100.0
    load.start_at_low_weight()
    for _ in range(3):
        load.shift_weight(1.0)
    assert load.weight == pytest.approx(70.0)
    load.goal = 20.0
    load.shift_weight(0.1)
    assert load.weight == 20.0


def test_a_new_target_under_load_starts_with_a_small_weight(make_target, two_stages):
    pool = Pool(TargetKind.ENGINE)
    pool.set_targets(two_stages, [], "a", 1)
    pool.set_targets([*two_stages, make_target("a3", 0, 10)], [], "a", 1)
    weight_by_id = {i: load.weight for i, load in pool.loads_by_id.items()}
    assert weight_by_id["a3"] < 0.2 * weight_by_id["a1"]
