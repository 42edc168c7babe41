"""Decides what follows a failed attempt: the next attempt or the request's end."""

from dataclasses import replace

from radishfield.core import Fault, Outcome, ResultCode
from radishfield.decisions._admission import spread_retry_delay
from radishfield.decisions._claims import Claim
from radishfield.decisions._data import (
    Dispatch,
    Failure,
    FailureKind,
    GiveUp,
    Retry,
    Work,
)
from radishfield.decisions._precedence import raised_priority
from radishfield.decisions._recovery import (
    MAX_DELAY_SHARE,
    RebuildPacer,
    choose_resumption,
    rebuild_cost,
)
from radishfield.decisions._retries import (
    CODE_BY_KIND,
    HOST_RETRY_LIMITS,
    MAX_ATTEMPTS,
    end_fault,
    find_retry_fault,
    is_recovery,
)
from radishfield.decisions._running import RunningRequest
from radishfield.limits import RetryBudget

RETRY_AFTER_S = 2.0
"""As long as a target's first ejection: by then other targets have its work, or it
is back."""


class FailureDecider:
    """Applies ejection, retry rules, retry budget and paced recovery, in that order."""

    __slots__ = ("_budget", "_pacer")

    def __init__(self):
        self._budget = RetryBudget(HOST_RETRY_LIMITS)
        self._pacer = RebuildPacer()

    def count_request(self, now: float) -> None:
        """Count a dispatched request towards the retry budget."""
        self._budget.record_first_attempt(now)

    def decide(
        self, running: RunningRequest, failure: Failure, now: float
    ) -> Retry | GiveUp:
        """Return the next attempt, already counted in flight, or the request's end."""
        running.ever_started |= failure.started
        if failure.kind is FailureKind.REFUSED and failure.retry_after_s:
            retry_at = now + failure.retry_after_s
            running.refused_until = max(running.refused_until, retry_at)
        self._count_failure(running, failure, now)
        work, attempt = running.dispatch.work, running.dispatch.attempt
        problem = find_retry_fault(work, failure, attempt, running.ever_started, now)
        recovering = is_recovery(failure)
        if problem is None and not recovering and not self._budget.take(now):
            code = ResultCode.RETRY_BUDGET_SPENT
            problem = end_fault(failure, code, running.ever_started)
        if problem is not None:
            return _end_request(work, problem)
        claim = _next_claim(running, failure)
        if claim is None:
            code = ResultCode.NO_TARGET
            return _end_request(work, end_fault(failure, code, running.ever_started))
        return self._retry(running, claim, failure, recovering, now)

    def may_replace(
        self, running: RunningRequest, failure: Failure, now: float
    ) -> bool:
        """Return whether a silent attempt may end because another can follow it.

        A new attempt at the same target would not help: a target that answers it
        also answers a new connection to the current attempt.  The attempt after a
        silence is a recovery, so the retry budget does not apply.
        """
        work, attempt = running.dispatch.work, running.dispatch.attempt
        if find_retry_fault(work, failure, attempt, True, now) is None:
            running.pool.end(running.claim)
            found = _claim_without(running, failure, frozenset((failure.target_id,)))
            running.pool.begin(running.claim)
            if found is not None:
                return True
        if not running.suspected:
            running.suspected = True
            self._count_failure(running, failure, now)
        return False

    def _count_failure(
        self, running: RunningRequest, failure: Failure, now: float
    ) -> None:
        pool = running.pool
        if pool.ejector.failed(failure.target_id, failure.kind, now):
            pool.eject(failure.target_id)

    def _retry(
        self,
        running: RunningRequest,
        claim: Claim,
        failure: Failure,
        recovering: bool,
        now: float,
    ) -> Retry:
        pool, work = running.pool, running.dispatch.work
        alive = failure.kind in (FailureKind.SILENT, FailureKind.BAD_RECEIPT)
        resumption = choose_resumption(
            work.prompt_tokens, failure.committed, claim.token_s, alive
        )
        after_s = 0.0
        left_s = work.deadline - now
        if recovering and not resumption.by_import:
            cost = rebuild_cost(work.prompt_tokens, failure.committed)
            after_s = self._pacer.reserve(cost, pool.host_tps, left_s, now)
        method = "import" if resumption.by_import else "rebuild"
        reason = f"{failure.kind}-{method}" if recovering else str(failure.kind)
        attempt = running.dispatch.attempt + 1
        if recovering and attempt == MAX_ATTEMPTS:
            # Full targets refuse at once: without a delay, all attempts are used up
            # within milliseconds.
            wait_s = min(running.refused_until - now, left_s * MAX_DELAY_SHARE)
            after_s = max(after_s, wait_s)
        dispatch = Dispatch(
            work,
            attempt,
            claim.route,
            claim.target,
            reason,
            raised_priority(running.dispatch.engine_priority),
        )
        old = tuple(load.target.id for load in running.claim.loads)
        imports = old if resumption.by_import else ()
        running.restart(dispatch, claim, now + after_s)
        pool.begin(claim)
        return Retry(dispatch, after_s, imports, CODE_BY_KIND[failure.kind])


def _end_request(work: Work, problem: Fault) -> GiveUp:
    """Return the end of a request, with a retry delay if it never ran."""
    if problem.outcome is Outcome.NOT_RUN:
        problem = replace(
            problem, retry_after_s=spread_retry_delay(work, RETRY_AFTER_S)
        )
    return GiveUp(problem)


def _next_claim(running: RunningRequest, failure: Failure) -> Claim | None:
    """Return a claim for the next attempt; the previous claim is released first.

    A target may be ejected while only another model version can replace it for new
    requests.  A stream of its own version cannot switch, so the ejection is ended.
    """
    running.release()
    excluded = frozenset((failure.target_id,))
    for choice in (excluded, frozenset()):
        claim = _claim_without(running, failure, choice)
        if claim is not None:
            return claim
    route = running.claim.route
    if route is not None and running.pool.end_ejections(route.model_version):
        return _claim_without(running, failure, frozenset())
    return None


def _claim_without(
    running: RunningRequest, failure: Failure, excluded: frozenset[str]
) -> Claim | None:
    """Return a claim for the same model version that avoids the excluded targets.

    Stages after the dead one still hold their cache and are kept.  Those before it
    have to run all tokens again to forward their states, so the least loaded targets
    are picked, which do that soonest.
    """
    chain = [load.target.id for load in running.claim.loads]
    kept: frozenset[str] = frozenset()
    if failure.committed and failure.target_id in chain:
        kept = frozenset(chain[chain.index(failure.target_id) + 1 :])
    pool, long, route = running.pool, running.claim.long, running.claim.route
    version = None if route is None else route.model_version
    return pool.pick(long, excluded, kept, forced=True, version=version)
