"""What follows a failed attempt, put together from the rules that apply."""

from dataclasses import replace

from radishfield.core import Fault, Outcome, ResultCode
from radishfield.decisions._admission import spread_retry
from radishfield.decisions._claims import Claim
from radishfield.decisions._data import (
    Dispatch,
    Failure,
    FailureKind,
    GiveUp,
    Retry,
    Work,
)
from radishfield.decisions._precedence import raised
from radishfield.decisions._recovery import (
    MAX_DELAY_PART,
    RebuildPacer,
    choose_resumption,
    rebuild_cost,
)
from radishfield.decisions._retries import (
    CODE_BY_KIND,
    HOST_ALLOWANCE,
    MAX_ATTEMPTS,
    end_fault,
    forbids,
    is_recovery,
)
from radishfield.decisions._running import Running
from radishfield.limits import RetryBudget

RETRY_AFTER_S = 2.0
"""As long as a target's first ejection: by then others have its work, or it is
back."""


class FailureDecider:
    """Ejection, retry rules, budget and paced recovery, in that order."""

    __slots__ = ("_budget", "_pacer")

    def __init__(self):
        self._budget = RetryBudget(HOST_ALLOWANCE)
        self._pacer = RebuildPacer()

    def count_request(self, now: float) -> None:
        """Count a dispatched request towards the budget of repeats."""
        self._budget.first_try(now)

    def decide(self, running: Running, failure: Failure, now: float) -> Retry | GiveUp:
        """Return the next attempt, already counted in flight, or the end."""
        running.ever_started |= failure.started
        if failure.kind is FailureKind.REFUSED and failure.retry_after_s:
            room_at = now + failure.retry_after_s
            running.refused_until = max(running.refused_until, room_at)
        self._blame(running, failure, now)
        work, attempt = running.dispatch.work, running.dispatch.attempt
        problem = forbids(work, failure, attempt, running.ever_started, now)
        recovering = is_recovery(failure)
        if problem is None and not recovering and not self._budget.take(now):
            code = ResultCode.RETRY_BUDGET_SPENT
            problem = end_fault(failure, code, running.ever_started)
        if problem is not None:
            return _give_up(work, problem)
        claim = _next_claim(running, failure)
        if claim is None:
            code = ResultCode.NO_TARGET
            return _give_up(work, end_fault(failure, code, running.ever_started))
        return self._retry(running, claim, failure, recovering, now)

    def may_replace(self, running: Running, failure: Failure, now: float) -> bool:
        """Tell whether a silent attempt may end, since another can follow it.

        A start at the same target would not help: if it answers that one, it
        answers a new connection to the attempt that it has.  What follows a
        silence is a recovery, so the budget of repeats is not asked.
        """
        work, attempt = running.dispatch.work, running.dispatch.attempt
        if forbids(work, failure, attempt, True, now) is None:
            running.pool.end(running.claim)
            found = _claim_without(running, failure, frozenset((failure.target_id,)))
            running.pool.begin(running.claim)
            if found is not None:
                return True
        if not running.suspected:
            running.suspected = True
            self._blame(running, failure, now)
        return False

    def _blame(self, running: Running, failure: Failure, now: float) -> None:
        pool = running.pool
        if pool.ejector.failed(failure.target_id, failure.kind, now):
            pool.eject(failure.target_id)

    def _retry(
        self,
        running: Running,
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
        way = "import" if resumption.by_import else "rebuild"
        reason = f"{failure.kind}-{way}" if recovering else str(failure.kind)
        attempt = running.dispatch.attempt + 1
        if recovering and attempt == MAX_ATTEMPTS:
            # Full targets refuse at once: without a pause they use up all attempts
            # within milliseconds.
            wait_s = min(running.refused_until - now, left_s * MAX_DELAY_PART)
            after_s = max(after_s, wait_s)
        dispatch = Dispatch(
            work,
            attempt,
            claim.route,
            claim.target,
            reason,
            raised(running.dispatch.engine_priority),
        )
        old = tuple(load.target.id for load in running.claim.loads)
        imports = old if resumption.by_import else ()
        running.restart(dispatch, claim, now + after_s)
        pool.begin(claim)
        return Retry(dispatch, after_s, imports, CODE_BY_KIND[failure.kind])


def _give_up(work: Work, problem: Fault) -> GiveUp:
    """End a request; one that never ran is told when to come back."""
    if problem.outcome is Outcome.NOT_RUN:
        problem = replace(problem, retry_after_s=spread_retry(work, RETRY_AFTER_S))
    return GiveUp(problem)


def _next_claim(running: Running, failure: Failure) -> Claim | None:
    """Return places for the next attempt; the old ones are given back first.

    A target may be left out while only another model version can take its part
    for new requests.  A stream of its own version can't, so it is taken back.
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
    running: Running, failure: Failure, excluded: frozenset[str]
) -> Claim | None:
    """Return places of the present model version, without some targets.

    Stages behind the dead one still hold their cache and are kept.  Those before
    it have to run all tokens again, for the states that they hand on: the least
    loaded ones do that soonest.
    """
    chain = [load.target.id for load in running.claim.loads]
    kept: frozenset[str] = frozenset()
    if failure.committed and failure.target_id in chain:
        kept = frozenset(chain[chain.index(failure.target_id) + 1 :])
    pool, long, route = running.pool, running.claim.long, running.claim.route
    version = None if route is None else route.model_version
    return pool.pick(long, excluded, kept, forced=True, version=version)
