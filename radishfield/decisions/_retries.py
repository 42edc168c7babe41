"""Rules for whether a failed attempt is followed by another one.

When a target or a link fails under load, each request that it interrupted is
sent again.  Without a bound, the retries are the overload that keeps the fleet
failing after the cause is gone.  Without the rule on what may run twice, two
conflicting reviews reach one ticket.

- Work that is not idempotent is never sent again once a byte of it may have
  reached a target.  It ends with the outcome "unknown" for the caller.
- Work that can no longer finish before its deadline is not sent again.
- Retries draw on a budget of a few per hundred requests.  Streams interrupted by
  a dead stage, or by a target that no longer has them, do not.  They are work
  that was admitted and is partly done, and `_recovery` paces them instead.
"""

from radishfield.core import Fault, Outcome, ResultCode
from radishfield.decisions._data import Failure, FailureKind, Work
from radishfield.limits import RetryAllowance

MAX_ATTEMPTS = 4
"""Three retries: with one target in ten bad, one request in ten thousand would
need a fifth attempt."""

HOST_RETRY_LIMITS = RetryAllowance(ratio=0.05, window_s=10.0, slack=10, safety=1.0)
"""Five retries per hundred requests of the last ten seconds, plus ten so that a
host with little traffic can retry at all.  Each host has its own budget."""

RECOVERABLE_KINDS = frozenset(
    {
        FailureKind.BROKEN,
        FailureKind.CONNECT,
        FailureKind.SILENT,
        FailureKind.REFUSED,
    }
)
"""Failures that interrupt a started stream.  A target refuses to continue a
stream that it lost in a restart, and a full target refuses to resume one."""

CODE_BY_KIND = {
    FailureKind.REFUSED: ResultCode.TARGET_REFUSED,
    FailureKind.CONNECT: ResultCode.CONNECT_FAILED,
    FailureKind.BROKEN: ResultCode.STREAM_BROKEN,
    FailureKind.SILENT: ResultCode.STREAM_SILENT,
    FailureKind.BAD_RECEIPT: ResultCode.BAD_RECEIPT,
    FailureKind.ERROR: ResultCode.TARGET_ERROR,
}


def end_fault(
    failure: Failure, code: ResultCode, ever_started: bool, detail: str = ""
) -> Fault:
    """Return the fault that ends a request.

    Its outcome is "not run" only if no attempt ever started.
    """
    outcome = Outcome.UNKNOWN if ever_started else Outcome.NOT_RUN
    return Fault(code, detail or failure.kind.value, None, outcome)


def find_retry_fault(
    work: Work, failure: Failure, attempt: int, ever_started: bool, now: float
) -> Fault | None:
    """Return the fault that rules out another attempt, or None if one is allowed."""
    if ever_started and not work.idempotent:
        return end_fault(failure, CODE_BY_KIND[failure.kind], True)
    if now >= work.deadline:
        return end_fault(failure, ResultCode.DEADLINE_PASSED, ever_started)
    if attempt >= MAX_ATTEMPTS:
        return end_fault(failure, ResultCode.RETRIES_EXHAUSTED, ever_started)
    return None


def is_recovery(failure: Failure) -> bool:
    """Tell whether this resumes an interrupted stream, not retries a request."""
    return failure.started and failure.kind in RECOVERABLE_KINDS
