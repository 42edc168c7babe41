"""One request's way from the queue to its end, over all its attempts."""

from collections.abc import Awaitable, Callable
from dataclasses import replace

import trio

from radishfield.core import Clock, Fault, Outcome, ResultCode
from radishfield.decisions import (
    Dispatch,
    Failure,
    FailureKind,
    GiveUp,
    Retry,
    Scheduler,
    Work,
)
from radishfield.serving._attempt import AttemptFailure
from radishfield.serving._observer import AnyRequest, Observer
from radishfield.serving._queue import DispatchQueue

FAILURE_KIND_BY_CODE = {
    ResultCode.TARGET_REFUSED: FailureKind.REFUSED,
    ResultCode.CONNECT_FAILED: FailureKind.CONNECT,
    ResultCode.STREAM_SILENT: FailureKind.SILENT,
    ResultCode.BAD_RECEIPT: FailureKind.BAD_RECEIPT,
    ResultCode.TARGET_ERROR: FailureKind.ERROR,
}

AttemptRunner = Callable[[Dispatch], Awaitable[AttemptFailure | None]]
RetryPreparer = Callable[[Retry], Awaitable[None]]


class RequestRun:
    """Waits for the request's turn, then runs attempts until one ends it.

    Attributes
    ----------
    started : bool
        Whether any byte of the request may have reached a target, in any
        attempt.  Every answer "not run" hangs on it: it is set before a send is
        tried, and taken back only where the failed send proves otherwise.
    """

    __slots__ = (
        "request",
        "work",
        "started",
        "_scheduler",
        "_queue",
        "_observer",
        "_clock",
    )

    def __init__(
        self,
        request: AnyRequest,
        work: Work,
        scheduler: Scheduler,
        queue: DispatchQueue,
        observer: Observer,
        clock: Clock,
    ):
        self.request = request
        self.work = work
        self.started = False
        self._scheduler = scheduler
        self._queue = queue
        self._observer = observer
        self._clock = clock

    async def run(
        self,
        attempt: AttemptRunner,
        prepare: Callable[[Retry], Awaitable],
    ) -> Fault | None:
        """Return None once finished, or the fault to tell the caller."""
        turn = await self._queue.wait_turn(self.work)
        if turn.is_error():
            return self.honest(turn.error)
        finished = False
        try:
            problem = await self._attempts(turn.ok, attempt, prepare)
            finished = problem is None
            return problem
        finally:
            self._scheduler.ended(self.work.request_id, finished, self._clock.now())
            self._queue.pump()

    def honest(self, problem: Fault) -> Fault:
        """Return the fault with the outcome that this run has proven."""
        outcome = Outcome.UNKNOWN if self.started else Outcome.NOT_RUN
        return replace(problem, proven_outcome=outcome)

    async def _attempts(
        self,
        dispatch: Dispatch,
        attempt: AttemptRunner,
        prepare: RetryPreparer,
    ) -> Fault | None:
        while True:
            self._observer.dispatched(self.request, dispatch)
            failure = await self._one(dispatch, attempt)
            if failure is None:
                return None
            report = self._report(dispatch, failure)
            self._observer.attempt_failed(self.request, report, failure.problem)
            decision = self._scheduler.failed(report, self._clock.now())
            if isinstance(decision, GiveUp):
                return self.honest(decision.fault)
            self._observer.retried(self.request, decision, failure.problem)
            await trio.sleep(decision.after_s)
            await prepare(decision)
            dispatch = decision.dispatch

    async def _one(
        self, dispatch: Dispatch, attempt: AttemptRunner
    ) -> AttemptFailure | None:
        started_before = self.started
        self.started = True
        failure = await attempt(dispatch)
        if failure is not None and not failure.started:
            self.started = started_before
        return failure

    def _report(self, dispatch: Dispatch, failure: AttemptFailure) -> Failure:
        return Failure(
            self.work.request_id,
            _blamed(dispatch, failure.problem),
            FAILURE_KIND_BY_CODE.get(failure.problem.code, FailureKind.BROKEN),
            self.started,
            failure.committed,
            failure.problem.retry_after_s,
        )


def _blamed(dispatch: Dispatch, problem: Fault) -> str:
    if problem.target_id:
        return problem.target_id
    if dispatch.target is not None:
        return dispatch.target.id
    return dispatch.route.stages[0].target_id
