"""Limits shared by hosts that see each other late."""

import pytest

from radishfield.core import TargetKind
from radishfield.decisions._limits import QUEUE_HIGH, TargetLoad
from radishfield.decisions._pool import Pool


@pytest.fixture
def load(make_target):
    held = TargetLoad(make_target("t", 0, 10))
    held.resize(36.0)
    held.shared_by(9, 3.0)
    return held


def fill(load, count):
    for _ in range(count):
        load.begin(False)


def test_nine_hosts_without_reports_stay_within_the_limit(load):
    fill(load, 4)
    assert not load.has_room(False)


def test_hosts_that_see_one_late_report_do_not_overfill_the_target(load, make_report):
    """All nine hosts read that the target is idle, at the same instant.

    Each takes a third of what is free in its zone's name; the next report shows
    what they took together.  The target must stay near its limit meanwhile.
    """
    hosts = [TargetLoad(load.target) for _ in range(3)]
    for host in hosts:
        host.resize(36.0)
        host.shared_by(9, 3.0)
    for _ in range(5):
        together = sum(host.own for host in hosts)
        for host in hosts:
            host.observe(make_report(load.target, together), 1.0)
        for host in hosts:
            while host.has_room(False):
                host.begin(False)
    together = sum(host.own for host in hosts)
    assert 30 <= together <= 40


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


def test_answers_that_stay_too_long_lower_the_share_without_any_report(load):
    """A target turns slower than declared and sends no reports.

    Its answers alone must cut what is sent there, and restore it afterwards.
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


def test_a_report_that_went_stale_is_dropped(load, make_report):
    load.observe(make_report(load.target, 0), 0.0)
    wide = load.share
    load.forget_stale_report(3.0)
    assert load.share == wide
    load.forget_stale_report(6.0)
    assert load.share == pytest.approx(4.0)


def test_long_work_leaves_room_for_short_work(load):
    while load.has_room(True):
        load.begin(True)
    assert load.has_room(False)


def test_weight_rises_slowly_and_falls_at_once(load):
    load.goal = 100.0
    load.start_low()
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
    weights = {i: held.weight for i, held in pool.loads_by_id.items()}
    assert weights["a3"] < 0.2 * weights["a1"]
