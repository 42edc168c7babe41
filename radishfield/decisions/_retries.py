"""What follows a failed attempt: another one, or the end.

Load pattern: a target or a link fails under load, and each request that it cut
is sent again.  Without a bound the repeats are the overload that keeps the
fleet failing after the cause is gone.  Without the rule on what may run twice,
two conflicting reviews reach one ticket.

- Work that is not idempotent is never sent again once a byte of it may have
  reached a target: it ends, and the caller is told that the outcome is unknown.
- Nothing is sent again that can no longer finish before its deadline.
- Repeats draw on a budget of a few in a hundred requests.  Streams cut by a
  dead stage do not: they are work that was admitted and is partly done, and
  they are paced by `_recovery` instead.
"""

from collections import deque

from radishfield.core import Fault, Outcome, ResultCode
from radishfield.decisions._data import Failure, FailureKind, Work

MAX_ATTEMPTS = 4
"""Three repeats: with one target in ten bad, one request in ten thousand would
need a fifth attempt."""

BUDGET_PART = 0.05
BUDGET_WINDOW_S = 10.0
BUDGET_BURST = 10
"""Five repeats for a hundred requests of the last ten seconds, and ten besides,
so that a quiet host may repeat at all."""

CODE_BY_KIND = {
    FailureKind.REFUSED: ResultCode.TARGET_REFUSED,
    FailureKind.CONNECT: ResultCode.CONNECT_FAILED,
    FailureKind.BROKEN: ResultCode.STREAM_BROKEN,
    FailureKind.SILENT: ResultCode.STREAM_SILENT,
    FailureKind.BAD_RECEIPT: ResultCode.BAD_RECEIPT,
    FailureKind.ERROR: ResultCode.TARGET_ERROR,
}


class RetryBudget:
    """Repeats allowed, as a part of the requests of the last seconds."""

    __slots__ = ("_requests", "_repeats")

    def __init__(self):
        self._requests: deque[float] = deque()
        self._repeats: deque[float] = deque()

    def count_request(self, now: float) -> None:
        """Count a request that was dispatched."""
        self._requests.append(now)
        self._drop_old(now)

    def spend(self, now: float) -> bool:
        """Take one repeat out of the budget; False if it is spent."""
        self._drop_old(now)
        allowed = BUDGET_BURST + BUDGET_PART * len(self._requests)
        if len(self._repeats) >= allowed:
            return False
        self._repeats.append(now)
        return True

    def _drop_old(self, now: float) -> None:
        for times in (self._requests, self._repeats):
            while times and times[0] < now - BUDGET_WINDOW_S:
                times.popleft()


def end_fault(
    failure: Failure, code: ResultCode, ever_started: bool, detail: str = ""
) -> Fault:
    """Return the fault that ends a request.

    Its outcome is "not run" only if no attempt ever started.
    """
    outcome = Outcome.UNKNOWN if ever_started else Outcome.NOT_RUN
    return Fault(code, detail or failure.kind.value, None, outcome)


def forbids(
    work: Work, failure: Failure, attempt: int, ever_started: bool, now: float
) -> Fault | None:
    """Return why there is no further attempt, or None if there may be one."""
    if ever_started and not work.idempotent:
        return end_fault(failure, CODE_BY_KIND[failure.kind], True)
    if now >= work.deadline:
        return end_fault(failure, ResultCode.DEADLINE_PASSED, ever_started)
    if attempt >= MAX_ATTEMPTS:
        return end_fault(failure, ResultCode.RETRIES_EXHAUSTED, ever_started)
    return None


def is_recovery(failure: Failure) -> bool:
    """Tell whether this resumes a cut stream, rather than repeats a request."""
    broken = (FailureKind.BROKEN, FailureKind.CONNECT, FailureKind.SILENT)
    return failure.started and failure.kind in broken
