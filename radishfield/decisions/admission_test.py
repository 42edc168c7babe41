"""Admission under load: what is let in, and what a refusal says."""

from radishfield.core import Outcome, ResultCode
from radishfield.decisions._admission import MAX_QUEUED, Forecast, judge


def test_admits_what_fits_before_its_deadline(make_work):
    assert judge(make_work("r", deadline=10.0), Forecast(2, 5, 3, False), 0.0) is None


def test_refuses_at_once_with_the_time_after_which_it_would_fit(make_work):
    problem = judge(make_work("r", deadline=10.0), Forecast(20, 5, 3, False), 0.0)
    assert problem.code is ResultCode.DEADLINE_UNREACHABLE
    assert problem.outcome is Outcome.NOT_RUN
    assert 15 <= problem.retry_after_s <= 35


def test_each_cause_has_its_own_code(make_work):
    work = make_work("r", deadline=10.0)
    over = judge(work, Forecast(20, 5, 3, True), 0.0)
    full = judge(work, Forecast(1, 5, MAX_QUEUED, False), 0.0)
    past = judge(work, Forecast(0, 0, 0, False), 10.0)
    assert over.code is ResultCode.WORKSPACE_OVER_SHARE
    assert full.code is ResultCode.QUEUE_FULL
    assert past.code is ResultCode.DEADLINE_UNREACHABLE


def test_a_wave_is_not_told_to_come_back_as_a_wave(make_work):
    times = {
        judge(make_work(f"r{i}", deadline=10.0), Forecast(20, 5, 3, False), 0.0)
        for i in range(100)
    }
    assert len({problem.retry_after_s for problem in times}) > 50
