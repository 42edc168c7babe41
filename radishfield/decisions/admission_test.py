"""Admission under load: which work is admitted, and what a refusal contains."""

from radishfield.core import Outcome, ResultCode
from radishfield.decisions._admission import MAX_QUEUED, Forecast, check_admission


def test_admits_work_that_fits_before_its_deadline(make_work):
    assert (
        check_admission(make_work("r", deadline=10.0), Forecast(2, 5, 3, False), 0.0)
        is None
    )


def test_refusal_contains_the_time_after_which_the_work_would_fit(make_work):
    refusal = check_admission(
        make_work("r", deadline=10.0), Forecast(20, 5, 3, False), 0.0
    )
    assert refusal.code is ResultCode.DEADLINE_UNREACHABLE
    assert refusal.outcome is Outcome.NOT_RUN
    assert 15 <= refusal.retry_after_s <= 35


def test_each_cause_of_refusal_has_its_own_code(make_work):
    work = make_work("r", deadline=10.0)
    over = check_admission(work, Forecast(20, 5, 3, True), 0.0)
    full = check_admission(work, Forecast(1, 5, MAX_QUEUED, False), 0.0)
    past = check_admission(work, Forecast(0, 0, 0, False), 10.0)
    assert over.code is ResultCode.WORKSPACE_OVER_SHARE
    assert full.code is ResultCode.QUEUE_FULL
    assert past.code is ResultCode.DEADLINE_UNREACHABLE


def test_retry_times_of_work_refused_together_are_spread(make_work):
    refusals = {
        check_admission(
            make_work(f"r{i}", deadline=10.0), Forecast(20, 5, 3, False), 0.0
        )
        for i in range(100)
    }
    assert len({refusal.retry_after_s for refusal in refusals}) > 50
