"""Interpretation of a target's answer: refused before start, failed or done."""

import math
from dataclasses import replace

import httpcore
import msgspec
from expression import Error, Result

from radishfield.core import Fault, ResultCode, ServiceAnswer, ServiceRequest, fault
from radishfield.edges import _target_wire as wire
from radishfield.edges._target_http import header_of, read_answer_body

MAX_REFUSAL_BYTES = 16 * 1024
# Upper bound on the retry delay that a target requests, which may be absurd.
MAX_RETRY_AFTER_S = 60.0

# Some headers are set anew for each connection.  The others would give a target
# the caller's own credentials, which it does not need.
_DROPPED_HEADERS = frozenset(
    {
        "authorization",
        "connection",
        "content-length",
        "cookie",
        "expect",
        "host",
        "keep-alive",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
_ORDER_CODES = frozenset(
    {ResultCode.ORDER_FENCED, ResultCode.ORDER_LATE, ResultCode.LAST_REPLICA}
)


async def service_answer(
    response: httpcore.Response, max_bytes: int
) -> Result[ServiceAnswer, Fault]:
    """Return a plain service's complete answer, whatever its status."""
    if _refused_before_start(response):
        return Error(await refusal_of(response))
    headers = tuple(
        (key.decode("latin-1").lower(), value.decode("latin-1"))
        for key, value in response.headers
        if key.decode("latin-1").lower() not in _DROPPED_HEADERS
    )
    body = await read_answer_body(response, max_bytes)
    return body.map(lambda content: ServiceAnswer(response.status, content, headers))


async def refusal_of(response: httpcore.Response) -> Fault:
    """Return the fault for an answer with a status other than 200.

    ``TARGET_REFUSED`` guarantees "not run", so it needs the target's own statement
    that it has not started.  After any other failure the outcome is unknown.
    """
    refusal = _decode_refusal(await read_answer_body(response, MAX_REFUSAL_BYTES))
    if refusal.error_code in _ORDER_CODES:
        code = ResultCode(refusal.error_code)
    elif _refused_before_start(response):
        code = ResultCode.TARGET_REFUSED
    else:
        code = ResultCode.TARGET_ERROR
    detail = refusal.detail or f"status {response.status}"
    retry_delay_s = _retry_delay_s(
        header_of(response, b"retry-after"), refusal.retry_after_s
    )
    return replace(fault(code, detail, retry_delay_s), target_id=refusal.target_id)


def service_headers(request: ServiceRequest) -> tuple[tuple[bytes, bytes], ...]:
    """Return the headers to send to a plain service."""
    kept = [
        (key.encode("latin-1"), value.encode("latin-1"))
        for key, value in request.headers
        if key.lower() not in _DROPPED_HEADERS
    ]
    kept.append((b"x-request-id", request.id.encode()))
    if request.idempotency_key:
        kept.append((b"idempotency-key", request.idempotency_key.encode()))
    return tuple(kept)


def _refused_before_start(response: httpcore.Response) -> bool:
    is_marked = header_of(response, wire.NOT_STARTED_HEADER).lower() == b"true"
    return response.status in (429, 503) and is_marked


def _decode_refusal(body: Result[bytes, Fault]) -> wire.Refusal:
    match body:
        case Result(tag="ok", ok=content):
            try:
                return msgspec.json.decode(content, type=wire.Refusal)
            except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
                return wire.Refusal(0, "refusal without a readable body")
        case Result(error=problem):
            return wire.Refusal(0, problem.detail)


def _retry_delay_s(header: bytes, stated: float | None) -> float | None:
    try:
        value = float(header) if header else stated
    except ValueError:
        return stated
    if value is None or not math.isfinite(value) or value < 0:
        return None
    return min(value, MAX_RETRY_AFTER_S)
