"""A caller's request in progress, and the answers sent to the caller."""

import random

import msgspec
import trio

from radishfield.core import Fault, Outcome, ResultCode
from radishfield.crashes import RequestTraits
from radishfield.platform import (
    Headers,
    RequestFacts,
    caller_headers,
    router_answer_headers,
)
from radishfield.routing import RouteRule, ServiceSpec, Workspace, rank_of
from radishfield.web import BodyRoom, send_bytes, send_chunk, start_answer

STATUS_BY_CODE = {
    ResultCode.UNKNOWN_ROUTE: 404,
    ResultCode.UNAUTHORIZED: 401,
    ResultCode.BODY_TOO_LARGE: 413,
    ResultCode.BODY_TOO_SLOW: 408,
    ResultCode.BAD_HEADER: 400,
    ResultCode.DEADLINE_PASSED: 504,
}
RETRY_JITTER = 0.5
"""Retry times are extended at random by up to this share, so that callers refused at
the same time do not all return at once."""

CALLER_SLACK_S = 0.3
"""A caller counts its timeout from the receipt of an event, and its disconnect takes
time too.  Without this slack, the host would abort answers that callers wait for."""


class Responder(msgspec.Struct):
    """Sends the answer to the caller and records how far it has got.

    ``finished`` is set before the last bytes are sent: the server reports the end of
    the exchange like a caller that disconnects, and may cancel the sender during it.
    Heads and ends are shielded from cancellation: cancelled after the server records
    one but before it sends the bytes, its state would be inconsistent, which ends the
    process.
    """

    send: object
    request_id: str
    closing: object
    """Returns whether the host is leaving and callers should close connections."""
    started: bool = False
    finished: bool = False
    broken_off: bool = False
    problem: Fault | None = None
    unread: bool = False
    room: BodyRoom | None = None

    def hold_answer(self, added: int) -> bool:
        """Return whether there is room for more of an answer that is held whole."""
        return self.room is None or self.room.hold_answer(added)

    async def send_complete(self, status: int, headers: Headers, body: bytes) -> None:
        """Forward the complete answer of a target."""
        self.started = True
        forwarded = self._with_close(caller_headers(headers))
        forwarded.append((b"content-length", str(len(body)).encode()))
        with trio.CancelScope(shield=True):
            await start_answer(self.send, status, forwarded)
            self.finished = True
            await send_chunk(self.send, body, more=False)

    async def start_stream(self, status: int, headers: Headers) -> None:
        """Forward the status and headers of a stream."""
        self.started = True
        forwarded = self._with_close(caller_headers(headers))
        with trio.CancelScope(shield=True):
            await start_answer(self.send, status, forwarded)

    async def send_events(self, events: bytes) -> None:
        """Forward complete events."""
        await send_chunk(self.send, events)

    async def end_stream(self) -> None:
        """End a complete stream."""
        self.finished = True
        with trio.CancelScope(shield=True):
            await send_chunk(self.send, b"", more=False)

    async def refuse(self, problem: Fault) -> None:
        """Send the host's own error answer; abort an answer that has started.

        Without the closing chunk no caller can mistake the stream for complete.
        """
        self.problem = problem
        self.finished = True
        if self.started:
            self.broken_off = True
            return
        self.started = True
        answer = refusal_answer(problem, self.request_id)
        kind, *rest = self._with_close(answer.headers)
        with trio.CancelScope(shield=True):
            await send_bytes(self.send, answer.status, answer.body, kind[1], rest)

    async def refuse_unread(self, problem: Fault) -> None:
        """Refuse a request whose body was not read; its connection closes."""
        self.unread = True
        await self.refuse(problem)

    def _with_close(self, headers: Headers) -> Headers:
        if self.unread or self.closing():
            return [*headers, (b"connection", b"close")]
        return headers


class StreamTimes(msgspec.Struct):
    """Timings of a stream as its caller sees them, for the log line at its end.

    Attributes
    ----------
    first_event_s : float or None
        Seconds from the request's arrival to its first event.
    longest_gap_s : float
        Longest pause between two events.
    queued_s : float
        Seconds spent in the queue, over all attempts.
    moved : int
        Number of path changes while the stream was running.
    last_event_at : float
        Reading of the clock at the last event.
    """

    first_event_s: float | None = None
    longest_gap_s: float = 0.0
    events: int = 0
    queued_s: float = 0.0
    moved: int = 0
    last_event_at: float = 0.0

    def note_sent(self, events: int, arrived_at: float, now: float) -> None:
        """Record events that are sent to the caller."""
        if self.first_event_s is None:
            self.first_event_s = now - arrived_at
        else:
            self.longest_gap_s = max(self.longest_gap_s, now - self.last_event_at)
        self.last_event_at = now
        self.events += events

    def log_fields(self) -> dict[str, float | int | None]:
        """Return the fields for the log line at the end of the request."""
        first_s = self.first_event_s
        return {
            "first_event_s": None if first_s is None else round(first_s, 3),
            "longest_gap_s": round(self.longest_gap_s, 3),
            "events": self.events,
            "queued_s": round(self.queued_s, 3),
            "moved": self.moved,
        }


class Call(msgspec.Struct):
    """A request that was read completely and matched to a route.

    Attributes
    ----------
    arrived_at, deadline_at : float
        Readings of the clock that keeps counting during suspension.
    sent, arrived : int
        How often the request was sent to a target, and how often it reached one.
    tried, ran_at : set of str
        Targets that it was sent to, and those that may have run it.
    traits : RequestTraits
        What it shares with other requests under which the same targets may crash.
    may_have_run : bool
        Some target may have run it, completely or in part.
    retry_reserved : bool
        A retry was taken from the retry budget and has not been sent yet.
    times : StreamTimes
        Timings of its stream; unused for a request with a single answer.
    """

    facts: RequestFacts
    route: RouteRule
    service: ServiceSpec
    workspace: Workspace | None
    method: str
    target: bytes
    headers: Headers
    body: bytes
    arrived_at: float
    deadline_at: float
    responder: Responder
    traits: RequestTraits = RequestTraits("")
    sent: int = 0
    arrived: int = 0
    may_have_run: bool = False
    retry_reserved: bool = False
    tried: set[str] = msgspec.field(default_factory=set)
    ran_at: set[str] = msgspec.field(default_factory=set)
    times: StreamTimes = msgspec.field(default_factory=StreamTimes)

    @property
    def digest(self) -> str:
        """Return what is equal for the same request of a caller under another id."""
        return self.traits.digest

    @property
    def workspace_name(self) -> str:
        """Return the workspace's name; empty for a public route."""
        return self.workspace.name if self.workspace else ""

    @property
    def caller_timeout_at(self) -> float:
        """Return when the caller of a started stream times out for lack of events."""
        timeout_s = self.route.caller_patience_s + CALLER_SLACK_S
        return self.times.last_event_at + timeout_s

    @property
    def rank(self) -> int:
        """Return the place in the order of urgency, 0 first; see `rank_of`."""
        return rank_of(self.route, self.workspace)

    @property
    def priority(self) -> int:
        """Return the priority, 0 first; the workspace's overrides the route's."""
        if self.workspace is not None and self.workspace.priority is not None:
            return self.workspace.priority
        return self.route.priority


def status_of(problem: Fault) -> int:
    """Return the HTTP status for a fault; 503 only if nothing has run."""
    status = STATUS_BY_CODE.get(problem.code)
    if status is not None:
        return status
    return 503 if problem.outcome is Outcome.NOT_RUN else 502


class RefusalAnswer(msgspec.Struct, frozen=True):
    """An answer that the host itself gives to a request that it does not serve."""

    status: int
    headers: Headers
    body: bytes


def refusal_answer(problem: Fault, request_id: str) -> RefusalAnswer:
    """Return the answer that says why, and when the caller may come back."""
    status = status_of(problem)
    retry_after_s = problem.retry_after_s if status == 503 else None
    headers = router_answer_headers(request_id, _jittered(retry_after_s))
    body = msgspec.json.encode(
        {"code": int(problem.code), "error": problem.code.name.lower()}
    )
    return RefusalAnswer(status, headers, body)


def _jittered(retry_after_s: float | None) -> float | None:
    if retry_after_s is None:
        return None
    return retry_after_s * (1.0 + random.uniform(0.0, RETRY_JITTER))
