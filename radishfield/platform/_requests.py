"""Reads and writes the headers of requests and answers."""

import math
import re
from collections.abc import Iterable

import msgspec

from radishfield.platform import _names as names
from radishfield.platform._targets import format_path
from radishfield.routing import Path
from radishfield.web import Headers

# Hop-by-hop headers apply to one connection only and are never forwarded.
_HOP_BY_HOP_HEADERS = frozenset(
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
_DROPPED_FROM_ANSWERS = _HOP_BY_HOP_HEADERS | {b"content-length"}
# Set or dropped by the router, whatever the caller sent; a key never reaches a target.
_REPLACED_HEADERS = frozenset(
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
_DECIMAL = re.compile(r"[0-9]{1,12}(\.[0-9]{0,12})?|\.[0-9]{1,12}", re.ASCII)
_REQUEST_ID_LINE = re.compile(
    rb"\r\n" + re.escape(names.REQUEST_ID) + rb":[ \t]*([!-~]{1,256})[ \t]*\r\n",
    re.IGNORECASE,
)
MAX_DEADLINE_MS = 3_600_000.0
MAX_SHARED_PARTS = 256


class RequestFacts(msgspec.Struct, frozen=True):
    """Values read from a caller's request headers.

    Attributes
    ----------
    deadline_s : float or None
        Seconds that the caller waits, counted from when it sent the request.
    last_event_id : bytes
        Event after which a stream resumes; empty for a stream from its start.
    prompt_tokens, max_answer_tokens, expected_answer_tokens : int
        Zero if the caller does not state the number.
    shared_parts : tuple of str
        Ids of the parts of its prompt that other prompts may have, in their order; of a
        longer prompt the first `MAX_SHARED_PARTS`.
    """

    host: str
    request_id: str
    key: str
    deadline_s: float | None
    last_event_id: bytes
    prompt_tokens: int
    max_answer_tokens: int
    expected_answer_tokens: int
    shared_parts: tuple[str, ...] = ()


class TargetRequestFacts(msgspec.Struct, frozen=True):
    """Values that the router sends to a target in addition to the caller's headers."""

    target_id: str
    remaining_s: float
    workspace: str | None
    path: Path = ()
    last_event_id: bytes = b""
    priority: int | None = None


class AnswerFacts(msgspec.Struct, frozen=True):
    """Values read from the status and headers of a target's answer.

    Attributes
    ----------
    not_run : bool
        The target states that it did not run the request and never will.
    faulty_address : str
        Address of the path's stage that failed, if the target names it.
    idle_s : float or None
        Seconds after which the target closes an idle connection.
    encoded : bool
        The body has a content encoding, so its bytes are not the target's own.
    framed : bool
        A length or a last chunk marks the body's end, not the end of the connection.
    rate_limit : str
        The requests per second that the target takes from all hosts together, as it
        names them; empty if it names none.
    rest_s : str
        Seconds for which a target that refuses wants nothing from this host, as it
        names them; empty if it names none.
    leaves : bool
        The target says that it is leaving.
    """

    status: int
    request_id: str
    not_run: bool
    faulty_address: str
    closes: bool
    idle_s: float | None
    encoded: bool
    framed: bool
    rate_limit: str = ""
    rest_s: str = ""
    leaves: bool = False


def read_request(headers: Iterable[tuple[bytes, bytes]]) -> RequestFacts:
    """Return the values that the router reads from a caller's headers."""
    received = list(headers)
    by_name = dict(received)
    counts = by_name.get(names.TOKEN_COUNTS, b"").split(b",")
    deadline_ms = _parse_deadline_ms(by_name.get(names.DEADLINE_MS, b""))
    key = by_name.get(names.AUTHORIZATION, b"").decode("latin-1")
    return RequestFacts(
        host=by_name.get(b"host", b"").decode("latin-1"),
        request_id=by_name.get(names.REQUEST_ID, b"").decode("latin-1"),
        key=key[len(names.KEY_SCHEME) :] if key.startswith(names.KEY_SCHEME) else "",
        deadline_s=None if deadline_ms is None else deadline_ms / 1000,
        last_event_id=by_name.get(names.LAST_EVENT_ID, b""),
        prompt_tokens=_parse_count(counts[0]),
        max_answer_tokens=_parse_count(counts[1]) if len(counts) > 1 else 0,
        expected_answer_tokens=_parse_count(by_name.get(names.LENGTH_HINT, b"")),
        shared_parts=_parse_shared_parts(received),
    )


def read_request_id(head: bytes) -> str:
    """Return the id in a request's head as it was received; empty if there is none."""
    found = _REQUEST_ID_LINE.search(head)
    return found[1].decode("latin-1") if found else ""


def target_headers(
    caller: Iterable[tuple[bytes, bytes]], facts: TargetRequestFacts, body_bytes: int
) -> Headers:
    """Return the headers of a request to a target."""
    received = list(caller)
    listed = _connection_header_names(received)
    headers = [
        (name, value)
        for name, value in received
        if name not in _HOP_BY_HOP_HEADERS
        and name not in _REPLACED_HEADERS
        and name not in listed
    ]
    remaining_ms = max(1, int(facts.remaining_s * 1000))
    headers.append((names.DEADLINE_MS, str(remaining_ms).encode()))
    headers.append((names.EXPECTED_TARGET, facts.target_id.encode()))
    if facts.workspace is not None:
        headers.append((names.WORKSPACE, facts.workspace.encode()))
    if facts.path:
        headers.append((names.PATH, format_path(facts.path).encode()))
    if facts.last_event_id:
        headers.append((names.LAST_EVENT_ID, facts.last_event_id))
    if facts.priority is not None:
        headers.append((names.PRIORITY, str(facts.priority).encode()))
    if body_bytes or any(name == b"content-length" for name, _ in received):
        headers.append((b"content-length", str(body_bytes).encode()))
    return headers


def order_headers(target_id: str) -> Headers:
    """Return the headers of an order to one incarnation of a target."""
    return [
        (b"content-type", b"application/json"),
        (names.EXPECTED_TARGET, target_id.encode()),
    ]


def read_answer(status: int, headers: Headers) -> AnswerFacts:
    """Return the values that the router reads from a target's answer."""
    by_name = {name.lower(): value for name, value in headers}
    connection = by_name.get(b"connection", b"").lower()
    return AnswerFacts(
        status=status,
        request_id=by_name.get(names.REQUEST_ID, b"").decode("latin-1"),
        not_run=names.NOT_RUN in by_name or status == 421,
        faulty_address=by_name.get(names.FAULTY_STAGE, b"").decode("latin-1"),
        closes=b"close" in connection,
        idle_s=_parse_idle_s(by_name.get(b"keep-alive", b"")),
        encoded=by_name.get(b"content-encoding", b"identity") != b"identity",
        framed=b"content-length" in by_name or b"transfer-encoding" in by_name,
        rate_limit=by_name.get(names.RATE_LIMIT, b"").decode("latin-1").strip(),
        rest_s=_all_values(headers, names.RETRY_AFTER),
        leaves=by_name.get(names.LEAVING, b"").strip() == b"1",
    )


def parse_rate_limit(text: str) -> float | None:
    """Return a named limit in requests per second; None if it is no decimal number."""
    if _DECIMAL.fullmatch(text) is None:
        return None
    value = float(text)
    return value if math.isfinite(value) else None


def caller_headers(headers: Headers) -> Headers:
    """Return a target's headers in the form that the caller receives.

    The target's content length is dropped, because the body is either streamed in
    chunks or gets its length elsewhere.
    """
    return [
        (name.lower(), value)
        for name, value in headers
        if name.lower() not in _DROPPED_FROM_ANSWERS
    ]


def router_answer_headers(request_id: str, retry_after_s: float | None) -> Headers:
    """Return the headers of an answer that the router generates itself."""
    headers = [(b"content-type", b"application/json")]
    if request_id:
        headers.append((names.REQUEST_ID, request_id.encode("latin-1")))
    if retry_after_s is not None:
        headers.append((names.RETRY_AFTER, f"{retry_after_s:.2f}".encode()))
    return headers


def _all_values(headers: Headers, wanted: bytes) -> str:
    """Return the values of a header, separated by commas if there are several."""
    values = [value for name, value in headers if name.lower() == wanted]
    return b",".join(values).decode("latin-1").strip()


def _connection_header_names(headers: Headers) -> set[bytes]:
    return {
        token.strip().lower()
        for name, value in headers
        if name == b"connection"
        for token in value.split(b",")
    }


def _parse_deadline_ms(text: bytes) -> float | None:
    try:
        value = float(text)
    except ValueError:
        return None
    return min(value, MAX_DEADLINE_MS) if math.isfinite(value) and value >= 0 else None


def _parse_count(text: bytes) -> int:
    digits = text.strip()
    return int(digits) if digits.isdigit() and len(digits) < 9 else 0


def _parse_shared_parts(headers: Headers) -> tuple[str, ...]:
    """Return the ids of all parts of a prompt but the last, which belongs to it alone.

    Malformed parts count by their text before the colon, and empty ones not at all.
    """
    lines = [value for name, value in headers if name == names.PROMPT_PARTS]
    items = b",".join(lines).rstrip(b", \t").split(b",", MAX_SHARED_PARTS)
    ids = (item.partition(b":")[0].strip() for item in items[:-1])
    return tuple(part_id.decode("latin-1") for part_id in ids if part_id)


def _parse_idle_s(text: bytes) -> float | None:
    for part in text.split(b","):
        name, _, value = part.strip().partition(b"=")
        if name == b"timeout" and value.isdigit():
            return float(value)
    return None
