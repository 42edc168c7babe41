"""Headers of requests and answers, read and written for the router."""

import math
from collections.abc import Iterable

import msgspec

from radishfield.platform import _names as names
from radishfield.platform._targets import path_text
from radishfield.routing import Path

Headers = list[tuple[bytes, bytes]]

# Concern one connection only and are never passed on.
_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
_NOT_FOR_CALLERS = _HOP_HEADERS | {b"content-length"}
# Set by the router itself, whatever the caller sent; a key never reaches a target.
_REPLACED = frozenset(
    {
        names.DEADLINE_MS,
        names.EXPECTED_TARGET,
        names.EXPECTED_WEIGHTS,
        names.WORKSPACE,
        names.PRIORITY,
        names.PATH,
        names.LAST_EVENT_ID,
        names.AUTHORIZATION,
        b"content-length",
        b"expect",
    }
)
MAX_DEADLINE_MS = 3_600_000.0


class RequestFacts(msgspec.Struct, frozen=True):
    """What a caller's headers say.

    Attributes
    ----------
    deadline_s : float or None
        Seconds that the caller waits, from its own sending on.
    last_event_id : bytes
        Where a stream is to go on; empty for a stream from its start.
    prompt_tokens, most_answer_tokens, likely_answer_tokens : int
        Zero where the caller does not say.
    """

    host: str
    request_id: str
    key: str
    deadline_s: float | None
    last_event_id: bytes
    prompt_tokens: int
    most_answer_tokens: int
    likely_answer_tokens: int


class SendFacts(msgspec.Struct, frozen=True):
    """What the router tells a target beside the caller's own headers."""

    target_id: str
    remaining_s: float
    workspace: str | None
    path: Path = ()
    last_event_id: bytes = b""
    priority: int | None = None


class AnswerFacts(msgspec.Struct, frozen=True):
    """What a target's status and headers say.

    Attributes
    ----------
    not_run : bool
        The target says that it did not run the request and never will.
    faulty_address : str
        The part of the path that failed, where the target names it.
    idle_s : float or None
        Seconds after which the target closes an idle connection.
    encoded : bool
        The body is not the target's own bytes.
    framed : bool
        The body's end is told by a length or a last chunk, not by the connection's.
    """

    status: int
    request_id: str
    not_run: bool
    faulty_address: str
    closes: bool
    idle_s: float | None
    encoded: bool
    framed: bool


def read_request(headers: Iterable[tuple[bytes, bytes]]) -> RequestFacts:
    """Return what the router needs of a caller's headers."""
    by_name = dict(headers)
    counts = by_name.get(names.TOKEN_COUNTS, b"").split(b",")
    deadline_ms = _number(by_name.get(names.DEADLINE_MS, b""))
    key = by_name.get(names.AUTHORIZATION, b"").decode("latin-1")
    return RequestFacts(
        host=by_name.get(b"host", b"").decode("latin-1"),
        request_id=by_name.get(names.REQUEST_ID, b"").decode("latin-1"),
        key=key[len(names.KEY_SCHEME) :] if key.startswith(names.KEY_SCHEME) else "",
        deadline_s=None if deadline_ms is None else deadline_ms / 1000,
        last_event_id=by_name.get(names.LAST_EVENT_ID, b""),
        prompt_tokens=_count(counts[0]),
        most_answer_tokens=_count(counts[1]) if len(counts) > 1 else 0,
        likely_answer_tokens=_count(by_name.get(names.LENGTH_HINT, b"")),
    )


def target_headers(
    caller: Iterable[tuple[bytes, bytes]], facts: SendFacts, body_bytes: int
) -> Headers:
    """Return the headers of a request to a target."""
    own = list(caller)
    named = _connection_names(own)
    headers = [
        (name, value)
        for name, value in own
        if name not in _HOP_HEADERS and name not in _REPLACED and name not in named
    ]
    remaining_ms = max(1, int(facts.remaining_s * 1000))
    headers.append((names.DEADLINE_MS, str(remaining_ms).encode()))
    headers.append((names.EXPECTED_TARGET, facts.target_id.encode()))
    if facts.workspace is not None:
        headers.append((names.WORKSPACE, facts.workspace.encode()))
    if facts.path:
        headers.append((names.PATH, path_text(facts.path).encode()))
    if facts.last_event_id:
        headers.append((names.LAST_EVENT_ID, facts.last_event_id))
    if facts.priority is not None:
        headers.append((names.PRIORITY, str(facts.priority).encode()))
    if body_bytes or any(name == b"content-length" for name, _ in own):
        headers.append((b"content-length", str(body_bytes).encode()))
    return headers


def order_headers(target_id: str) -> Headers:
    """Return the headers of an order to one incarnation of a target."""
    return [
        (b"content-type", b"application/json"),
        (names.EXPECTED_TARGET, target_id.encode()),
    ]


def read_answer(status: int, headers: Headers) -> AnswerFacts:
    """Return what the router needs of a target's answer."""
    by_name = {name.lower(): value for name, value in headers}
    connection = by_name.get(b"connection", b"").lower()
    return AnswerFacts(
        status=status,
        request_id=by_name.get(names.REQUEST_ID, b"").decode("latin-1"),
        not_run=names.NOT_RUN in by_name or status == 421,
        faulty_address=by_name.get(names.FAULTY_PART, b"").decode("latin-1"),
        closes=b"close" in connection,
        idle_s=_idle_s(by_name.get(b"keep-alive", b"")),
        encoded=by_name.get(b"content-encoding", b"identity") != b"identity",
        framed=b"content-length" in by_name or b"transfer-encoding" in by_name,
    )


def caller_headers(headers: Headers) -> Headers:
    """Return a target's headers as the caller gets them.

    A body's length is set elsewhere, or the body is streamed in chunks; either way
    the target's own length no longer applies.
    """
    return [
        (name.lower(), value)
        for name, value in headers
        if name.lower() not in _NOT_FOR_CALLERS
    ]


def own_answer_headers(request_id: str, retry_after_s: float | None) -> Headers:
    """Return the headers of an answer that the router gives itself."""
    headers = [(b"content-type", b"application/json")]
    if request_id:
        headers.append((names.REQUEST_ID, request_id.encode("latin-1")))
    if retry_after_s is not None:
        headers.append((names.RETRY_AFTER, f"{retry_after_s:.2f}".encode()))
    return headers


def _connection_names(headers: Headers) -> set[bytes]:
    return {
        token.strip().lower()
        for name, value in headers
        if name == b"connection"
        for token in value.split(b",")
    }


def _number(text: bytes) -> float | None:
    try:
        value = float(text)
    except ValueError:
        return None
    return min(value, MAX_DEADLINE_MS) if math.isfinite(value) and value >= 0 else None


def _count(text: bytes) -> int:
    digits = text.strip()
    return int(digits) if digits.isdigit() and len(digits) < 9 else 0


def _idle_s(text: bytes) -> float | None:
    for part in text.split(b","):
        name, _, value = part.strip().partition(b"=")
        if name == b"timeout" and value.isdigit():
            return float(value)
    return None
