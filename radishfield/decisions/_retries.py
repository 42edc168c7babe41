"""What follows a failed attempt: another one, or the end.

Load pattern: a target or a link fails under load, and each request that it cut
is sent again.  Without a bound the repeats are the overload that keeps the
fleet failing after the cause is gone.  Without the rule on what may run twice,
two conflicting reviews reach one ticket.

- Work that is not idempotent is never sent again once a byte of it may have
  reached a target: it ends, and the caller is told that the outcome is unknown.
- Nothing is sent again that can no longer finish before its deadline.
- Repeats draw on a budget of a few in a hundred requests.  Streams cut by a
  dead stage, or by a target that forgot them, do not: they are work that was
  admitted and is partly done, and they are paced by `_recovery` instead.
"""

from radishfield.core import Fault, Outcome, ResultCode
from radishfield.decisions._data import Failure, FailureKind, Work
from radishfield.limits import RetryAllowance

MAX_ATTEMPTS = 4
"""Three repeats: with one target in ten bad, one request in ten thousand would
need a fifth attempt."""

HOST_ALLOWANCE = RetryAllowance(ratio=0.05, window_s=10.0, slack=10, safety=1.0)
"""Five repeats for a hundred requests of the last ten seconds, and ten besides,
so that a quiet host may repeat at all.  Each host has its own."""

RECOVERED = frozenset(
    {
        FailureKind.BROKEN,
        FailureKind.CONNECT,
        FailureKind.SILENT,
        FailureKind.REFUSED,
    }
)
"""Ways in which a started stream is cut.  A target refuses to go on with one that
it forgot in a restart, and a full one refuses to resume one."""

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
    return failure.started and failure.kind in RECOVERED
