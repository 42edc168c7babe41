"""Turns each step of a request into metrics, recorded events and log lines."""

import logging

from radishfield.core import (
    Clock,
    Fault,
    Outcome,
    Request,
    ResultCode,
    ServiceRequest,
    Token,
)
from radishfield.decisions import Dispatch, Failure, Retry
from radishfield.telemetry._logs import log_event
from radishfield.telemetry._metrics import RequestKind, Telemetry
from radishfield.telemetry._records import RecordKind, RequestRecords

AnyRequest = Request | ServiceRequest


class TelemetryObserver:
    """The dispatcher's observer; see `radishfield.serving.Observer`.

    It counts every request that reaches the dispatcher.  The callers' edge counts
    the requests that it refuses before.
    """

    __slots__ = ("_telemetry", "_records", "_clock", "_last_token_by_request")

    def __init__(self, telemetry: Telemetry, records: RequestRecords, clock: Clock):
        self._telemetry = telemetry
        self._records = records
        self._clock = clock
        self._last_token_by_request: dict[str, float] = {}

    def arrived(self, request: AnyRequest) -> None:
        """Do nothing: the callers' edge has already opened the record."""

    def admitted(self, request: AnyRequest) -> None:
        """Record that the request is queued."""
        remaining = request.deadline - self._clock.now()
        detail = f"priority {request.priority.name.lower()}, {remaining:.3f} s left"
        self._record_event(request, RecordKind.QUEUED, detail)

    def dispatched(self, request: AnyRequest, dispatch: Dispatch) -> None:
        """Record the targets of an attempt, and the reason."""
        self._record_event(
            request,
            RecordKind.DISPATCHED,
            dispatch.reason,
            _target_ids(dispatch),
            dispatch.attempt,
        )

    def token(self, request: Request, token: Token) -> None:
        """Record the time to the first token, or since the previous one."""
        now = self._clock.now()
        last = self._last_token_by_request.get(request.id)
        self._last_token_by_request[request.id] = now
        if last is None:
            self._telemetry.first_token(now - request.arrived)
        else:
            self._telemetry.token_gap(now - last)

    def reopened(self, request: Request, position: int) -> None:
        """Record that a silent connection was replaced by a new one."""
        detail = f"new connection to the same attempt, from token {position}"
        self._record_event(request, RecordKind.RESUMED, detail)
        log_event("request.reopened", position=position)

    def attempt_failed(
        self, request: AnyRequest, failure: Failure, problem: Fault
    ) -> None:
        """Record and log the failure of an attempt."""
        detail = f"{problem.detail}; {failure.committed} tokens were committed"
        self._record_event(
            request,
            RecordKind.ATTEMPT_FAILED,
            detail.removeprefix("; "),
            (failure.target_id,),
            code=problem.code,
        )
        log_event(
            "request.attempt_failed",
            logging.WARNING,
            target=failure.target_id,
            code=int(problem.code),
            reason=problem.code.name.lower(),
            detail=problem.detail,
        )

    def retried(self, request: AnyRequest, retry: Retry, problem: Fault) -> None:
        """Count a retry by the failure of the previous attempt."""
        self._telemetry.retried(problem.code)

    def ended(self, request: AnyRequest, problem: Fault | None) -> None:
        """Count, record and log the end; ``problem`` is None if it finished."""
        self._last_token_by_request.pop(request.id, None)
        code = ResultCode.FINISHED if problem is None else problem.code
        outcome = Outcome.FINISHED if problem is None else problem.outcome
        detail = "" if problem is None else problem.detail
        seconds = self._clock.now() - request.arrived
        kind = RequestKind.SERVICE
        if isinstance(request, Request):
            kind = RequestKind.MODEL
        if outcome is Outcome.NOT_RUN:
            self._telemetry.refused(code)
        self._telemetry.ended(kind, outcome, code, seconds)
        self._record_event(
            request, RecordKind.ENDED, f"{outcome} {detail}".strip(), code=code
        )
        log_event(
            "request.ended",
            code=int(code),
            outcome=str(outcome),
            reason=code.name.lower(),
            seconds=round(seconds, 6),
            workspace=request.workspace,
            profile=request.profile.name,
        )

    def _record_event(
        self,
        request: AnyRequest,
        kind: RecordKind,
        detail: str,
        target_ids: tuple[str, ...] = (),
        attempt: int = 0,
        code: ResultCode | None = None,
    ) -> None:
        now = self._clock.now()
        self._records.note(request.id, now, kind, detail, target_ids, attempt, code)


def _target_ids(dispatch: Dispatch) -> tuple[str, ...]:
    if dispatch.target is not None:
        return (dispatch.target.id,)
    if dispatch.route is None:
        return ()
    return tuple(stage.target_id for stage in dispatch.route.stages)
