"""Runs one request from the queue to its end, over all its attempts."""

from collections.abc import Awaitable, Callable
from dataclasses import replace

import trio

from radishfield.core import Clock, Fault, Outcome, ResultCode, fault
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
from radishfield.serving._target_crashes import TargetCrashes, traits_of

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
    """Waits until the request is dispatched, then runs attempts until one ends it.

    Attributes
    ----------
    started : bool
        Whether any byte of the request may have reached a target, in any
        attempt.  Every answer "not run" depends on it: it is set before a send is
        tried, and reset only if the failed send proves that the attempt did not start.
    """

    __slots__ = (
        "request",
        "work",
        "started",
        "_answer_started",
        "_crashes",
        "_traits",
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
        crashes: TargetCrashes,
        answer_started: Callable[[], bool],
    ):
        self.request = request
        self.work = work
        self.started = False
        self._scheduler = scheduler
        self._queue = queue
        self._observer = observer
        self._clock = clock
        self._crashes = crashes
        self._traits = traits_of(request)
        self._answer_started = answer_started

    async def run(
        self,
        attempt: AttemptRunner,
        prepare: Callable[[Retry], Awaitable],
    ) -> Fault | None:
        """Return None once finished, or the fault to report to the caller."""
        refusal = self._refusal()
        if refusal is not None:
            return refusal
        decision = None
        with trio.CancelScope() as scope, self._stop_when_refused(scope.cancel):
            decision = await self._queue.wait_for_dispatch(self.work)
        if decision is None:
            # The request may have been cleared since, but this run has been stopped.
            stopped = fault(ResultCode.CRASHES_TARGETS, "stopped in the queue")
            return self._refusal() or self.with_proven_outcome(stopped)
        if decision.is_error():
            return self.with_proven_outcome(decision.error)
        finished = False
        try:
            problem = await self._run_attempts(decision.ok, attempt, prepare)
            finished = problem is None
            return problem
        finally:
            self._scheduler.ended(self.work.request_id, finished, self._clock.now())
            self._queue.pump()

    def _refusal(self) -> Fault | None:
        """Return why the request may not be sent to any more targets, or None."""
        guard = self._crashes.guard
        return guard.refusal(self._traits, self.request.id, self.started)

    def _stop_when_refused(self, stop: Callable[[], None]):
        return self._crashes.guard.running(self._traits, stop)

    def with_proven_outcome(self, problem: Fault) -> Fault:
        """Return the fault with the outcome that this run has proven."""
        outcome = Outcome.UNKNOWN if self.started else Outcome.NOT_RUN
        return replace(problem, proven_outcome=outcome)

    async def _run_attempts(
        self,
        dispatch: Dispatch,
        attempt: AttemptRunner,
        prepare: RetryPreparer,
    ) -> Fault | None:
        while True:
            await self._crashes.guard.settle(self._traits, self.work.deadline)
            refusal = self._refusal()
            if refusal is not None:
                return refusal
            self._observer.dispatched(self.request, dispatch)
            failure = await self._run_attempt(dispatch, attempt)
            if failure is None:
                return None
            if failure.problem.code is ResultCode.CRASHES_TARGETS:
                return self._refusal() or self.with_proven_outcome(failure.problem)
            report = self._failure_report(dispatch, failure)
            if failure.started and not failure.outlived_start:
                await self._crashes.note_failure(
                    self._traits, report.target_id, failure.problem
                )
            self._observer.attempt_failed(self.request, report, failure.problem)
            decision = self._scheduler.failed(report, self._clock.now())
            if isinstance(decision, GiveUp):
                await self._crashes.guard.settle(self._traits, self.work.deadline)
                return self._refusal() or self.with_proven_outcome(decision.fault)
            self._observer.retried(self.request, decision, failure.problem)
            await trio.sleep(decision.after_s)
            await prepare(decision)
            dispatch = decision.dispatch

    async def _run_attempt(
        self, dispatch: Dispatch, attempt: AttemptRunner
    ) -> AttemptFailure | None:
        started_before = self.started
        self.started = True
        failure = AttemptFailure(fault(ResultCode.CRASHES_TARGETS, "stopped"), True)
        with trio.CancelScope() as scope:
            with self._stop_when_refused(
                lambda: self._answer_started() or scope.cancel()
            ):
                failure = await attempt(dispatch)
        if failure is None:
            self._crashes.guard.record_survival(self._traits, self.request.id)
        if failure is not None and not failure.started:
            self.started = started_before
        return failure

    def _failure_report(self, dispatch: Dispatch, failure: AttemptFailure) -> Failure:
        return Failure(
            self.work.request_id,
            _failed_target_id(dispatch, failure.problem),
            FAILURE_KIND_BY_CODE.get(failure.problem.code, FailureKind.BROKEN),
            self.started,
            failure.committed,
            failure.problem.retry_after_s,
        )


def _failed_target_id(dispatch: Dispatch, problem: Fault) -> str:
    if problem.target_id:
        return problem.target_id
    if dispatch.target is not None:
        return dispatch.target.id
    return dispatch.route.stages[0].target_id
