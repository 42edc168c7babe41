"""Maps result codes to HTTP status codes, headers and error bodies."""

import math
from dataclasses import dataclass

from radishfield.core import Fault, Outcome, ResultCode

# 499 is the status that logs commonly show for a caller that closed the connection.
CALLER_CLOSED = 499

STATUS_BY_CODE = {
    ResultCode.BODY_TOO_LARGE: 413,
    ResultCode.UNKNOWN_PROFILE: 404,
    ResultCode.BODY_TOO_SLOW: 408,
    ResultCode.IDEMPOTENCY_KEY_REUSED: 422,
    ResultCode.PROFILE_RETIRED: 410,
    ResultCode.UNKNOWN_ROUTE: 404,
    ResultCode.METHOD_NOT_ALLOWED: 405,
    ResultCode.WORKSPACE_OVER_SHARE: 429,
    ResultCode.CANCELLED_BEFORE_START: CALLER_CLOSED,
    ResultCode.DUPLICATE_IN_FLIGHT: 409,
    ResultCode.DUPLICATE_UNKNOWN: 409,
    ResultCode.STREAM_SILENT: 504,
    ResultCode.DEADLINE_PASSED: 504,
    ResultCode.CANCELLED: CALLER_CLOSED,
    ResultCode.PLATFORM_CONFLICT: 409,
    ResultCode.VALUE_TOO_LARGE: 413,
    ResultCode.OBJECT_NOT_FOUND: 404,
    ResultCode.FRAME_TOO_LARGE: 413,
    ResultCode.PEER_UNAUTHENTICATED: 401,
    ResultCode.UNAUTHORIZED: 401,
    ResultCode.CHANGE_CONFLICT: 409,
    ResultCode.LEASE_NOT_HELD: 409,
    ResultCode.ORDER_FENCED: 409,
    ResultCode.LAST_REPLICA: 409,
    ResultCode.ORDER_LATE: 409,
    ResultCode.CHANGE_AMBIGUOUS: 502,
}
STATUS_BY_THOUSAND = {1: 200, 2: 400, 3: 503, 4: 502, 5: 503, 6: 502, 7: 400, 9: 500}
ERROR_TYPE_BY_THOUSAND = {
    2: "invalid_request_error",
    3: "unavailable_error",
    4: "target_error",
    9: "internal_error",
}


def http_status(code: ResultCode) -> int:
    """Return the HTTP status of an answer with this result code."""
    return STATUS_BY_CODE.get(code, STATUS_BY_THOUSAND[code // 1000])


@dataclass(slots=True, frozen=True)
class ErrorDetail:
    """An error in the format that clients of this interface read.

    ``code`` is the result code's number, ``name`` its name in docs/RESULT-CODES.md.
    """

    message: str
    type: str
    code: int
    name: str
    outcome: Outcome
    request_id: str
    param: str | None = None
    retry_after_s: float | None = None


@dataclass(slots=True, frozen=True)
class ErrorBody:
    """The complete body of an error answer, or of an error event in a stream."""

    error: ErrorDetail


def error_body(problem: Fault, request_id: str) -> ErrorBody:
    """Return the body that describes a fault to the caller."""
    error_type = ERROR_TYPE_BY_THOUSAND.get(problem.code // 1000, "system_error")
    name = problem.code.name
    return ErrorBody(
        ErrorDetail(
            message=f"{name}: {problem.detail}" if problem.detail else name,
            type=error_type,
            code=int(problem.code),
            name=name,
            outcome=problem.outcome,
            request_id=request_id,
            retry_after_s=problem.retry_after_s,
        )
    )


def outcome_headers(outcome: Outcome, code: ResultCode) -> list[tuple[bytes, bytes]]:
    """Return the headers with the outcome and result code of a request."""
    return [
        (b"x-outcome", outcome.encode()),
        (b"x-result-code", str(int(code)).encode()),
    ]


def fault_headers(problem: Fault) -> list[tuple[bytes, bytes]]:
    """Return the headers of a fault: outcome, code, and when to retry.

    ``x-should-retry`` is read by the public client, which would otherwise
    retry any 5xx by itself.  A request whose outcome is unknown may have run, and
    an automatic retry would then draft a review twice.
    """
    headers = outcome_headers(problem.outcome, problem.code)
    if problem.retry_after_s is None:
        return [*headers, (b"x-should-retry", b"false")]
    # Never zero: a client that retries at once adds to the load that caused the
    # refusal.
    milliseconds = max(1, math.ceil(problem.retry_after_s * 1000))
    return [
        *headers,
        (b"retry-after", str(math.ceil(milliseconds / 1000)).encode()),
        (b"retry-after-ms", str(milliseconds).encode()),
        (b"x-should-retry", b"true"),
    ]
