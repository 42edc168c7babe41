"""Retries, ejection and recovery after a failure."""

import pytest

from radishfield.core import Outcome, ResultCode
from radishfield.decisions import Failure, FailureKind
from radishfield.decisions._ejection import Ejector
from radishfield.decisions._recovery import RebuildPacer, choose_resumption
from radishfield.decisions._retries import (
    HOST_RETRY_LIMITS,
    MAX_ATTEMPTS,
    end_fault,
    find_retry_fault,
    is_recovery,
)
from radishfield.limits import RetryBudget


def failure(kind=FailureKind.BROKEN, started=True, committed=3):
    return Failure("r", "t", kind, started, committed)


@pytest.mark.parametrize("kind", FailureKind)
def test_non_idempotent_work_is_not_retried_once_started(make_work, kind):
    work = make_work("r", idempotent=False)
    problem = find_retry_fault(work, failure(kind), 1, True, 1.0)
    assert problem.outcome is Outcome.UNKNOWN
    assert find_retry_fault(work, failure(kind, started=False), 1, False, 1.0) is None


def test_no_attempt_after_the_deadline_or_the_last_attempt(make_work):
    work = make_work("r", deadline=10.0)
    late = find_retry_fault(work, failure(), 1, True, 10.0)
    spent = find_retry_fault(work, failure(), MAX_ATTEMPTS, False, 1.0)
    assert late.code is ResultCode.DEADLINE_PASSED
    assert (spent.code, spent.outcome) == (
        ResultCode.RETRIES_EXHAUSTED,
        Outcome.NOT_RUN,
    )


def test_outcome_is_not_run_only_if_no_attempt_ever_started():
    code = ResultCode.CONNECT_FAILED
    assert end_fault(failure(), code, True).outcome is Outcome.UNKNOWN
    assert end_fault(failure(), code, False).outcome is Outcome.NOT_RUN


def test_retries_stay_a_few_per_hundred_requests():
    """Every one of a thousand requests fails and requests a retry."""
    budget = RetryBudget(HOST_RETRY_LIMITS)
    allowed = 0
    for index in range(1000):
        budget.record_first_attempt(index * 0.005)
        allowed += budget.take(index * 0.005)
    assert allowed <= 0.05 * 1000 + HOST_RETRY_LIMITS.slack + 1


def test_interrupted_stream_is_recovered_and_refusal_is_retried():
    assert is_recovery(failure(FailureKind.BROKEN))
    assert not is_recovery(failure(FailureKind.REFUSED, started=False))
    assert not is_recovery(failure(FailureKind.ERROR))


def test_a_mass_failure_does_not_start_all_rebuilds_at_once():
    """A zone dies, and 200 streams of one host need their cache at the same time.

    The first few resume at once.  The others follow one by one at the rate of the
    share that rebuilds may take, and none waits beyond half of its time left.
    """
    pacer = RebuildPacer()
    waits = [pacer.reserve(20.0, 100.0, 60.0, 0.0) for _ in range(200)]
    assert waits[0] == 0 and waits == sorted(waits)
    assert sum(wait < 1.0 for wait in waits) <= 6
    assert max(waits) <= 30.0
    assert pacer.reserve(20.0, 100.0, 60.0, 200.0) == 0


def test_faster_resumption_is_chosen():
    assert choose_resumption(5000, 300, 0.05, True).by_import
    assert not choose_resumption(5000, 300, 0.05, False).by_import
    assert not choose_resumption(1, 1, 0.05, True).by_import


def test_failing_target_is_ejected_for_longer_each_time():
    ejector = Ejector()
    assert not ejector.failed("t", FailureKind.CONNECT, 0.0)
    assert ejector.failed("t", FailureKind.CONNECT, 0.0)
    first = ejector.next_readmission()
    assert ejector.readmit(first) == ["t"]
    assert ejector.failed("t", FailureKind.CONNECT, first)
    assert ejector.next_readmission() - first == 2 * first


def test_complete_answer_resets_the_failure_count():
    ejector = Ejector()
    for _ in range(5):
        ejector.failed("t", FailureKind.SILENT, 0.0)
        ejector.succeeded("t")
    assert ejector.next_readmission() is None


def test_refusals_do_not_eject_a_target():
    ejector = Ejector()
    assert not any(ejector.failed("t", FailureKind.REFUSED, 0.0) for _ in range(9))


def test_slow_target_is_found_among_targets_that_share_its_routes():
    """Answers through s are slow; a and b each share some of them.

    Both also have fast answers, so only s is judged to be slow.
    """
    ejector = Ejector()
    for _ in range(10):
        for pair, ratio in ((("a", "s"), 3.2), (("b", "s"), 3.2), (("a", "b"), 1.0)):
            for target_id in pair:
                ejector.answered(target_id, ratio)
    assert ejector.eject_slow(["a", "b", "s"], 1.0) == ["s"]


def test_uniformly_slow_fleet_keeps_its_targets():
    ejector = Ejector()
    names = [f"t{i}" for i in range(10)]
    for _ in range(10):
        for name in names:
            ejector.answered(name, 5.0)
    assert ejector.eject_slow(names, 1.0) == []


def test_only_a_fraction_of_targets_is_ejected_for_slowness():
    ejector = Ejector()
    names = [f"t{i}" for i in range(10)]
    for _ in range(10):
        for index, name in enumerate(names):
            ejector.answered(name, 9.0 if index < 4 else 1.0)
    assert len(ejector.eject_slow(names, 1.0)) == 2
