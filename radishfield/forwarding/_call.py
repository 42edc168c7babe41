"""One caller's request on its way, and the answers that it can be given."""

import random

import msgspec
import trio

from radishfield.core import Fault, Outcome, ResultCode
from radishfield.platform import (
    Headers,
    RequestFacts,
    caller_headers,
    own_answer_headers,
)
from radishfield.routing import RouteRule, ServiceSpec, Workspace
from radishfield.web import send_bytes, send_chunk, start_answer

STATUS_BY_CODE = {
    ResultCode.UNKNOWN_ROUTE: 404,
    ResultCode.UNAUTHORIZED: 401,
    ResultCode.BODY_TOO_LARGE: 413,
    ResultCode.BODY_TOO_SLOW: 408,
    ResultCode.BAD_HEADER: 400,
    ResultCode.DEADLINE_PASSED: 504,
}
RETURN_SPREAD = 0.5
"""Times to come back differ by up to this part, so that callers who were refused
together do not return as one wave."""

CALLER_SLACK_S = 0.3
"""A caller counts from when an event reached it, and its leaving takes a moment too:
ended any sooner, its answer would be cut by this host."""


class Responder(msgspec.Struct):
    """The caller's end of a request; knows whether an answer has begun.

    ``finished`` is set before the last bytes go out: the server tells of the end of
    the exchange as of a caller that leaves, and may cancel the sender within it.
    Heads and ends are sent whole: a cancellation between the server's note of one and
    its bytes would leave it with an answer that fits neither, which ends the process.
    """

    send: object
    request_id: str
    closing: object
    """Returns whether the host leaves, so that connections are to be closed."""
    started: bool = False
    finished: bool = False
    broken_off: bool = False
    problem: Fault | None = None

    async def whole(self, status: int, headers: Headers, body: bytes) -> None:
        """Pass on a target's whole answer."""
        self.started = True
        passed = self._with_close(caller_headers(headers))
        passed.append((b"content-length", str(len(body)).encode()))
        with trio.CancelScope(shield=True):
            await start_answer(self.send, status, passed)
            self.finished = True
            await send_chunk(self.send, body, more=False)

    async def start_stream(self, status: int, headers: Headers) -> None:
        """Pass on the head of a stream."""
        self.started = True
        passed = self._with_close(caller_headers(headers))
        with trio.CancelScope(shield=True):
            await start_answer(self.send, status, passed)

    async def events(self, events: bytes) -> None:
        """Pass on whole events."""
        await send_chunk(self.send, events)

    async def end_stream(self) -> None:
        """End a stream that is whole."""
        self.finished = True
        with trio.CancelScope(shield=True):
            await send_chunk(self.send, b"", more=False)

    async def refuse(self, problem: Fault) -> None:
        """Give an answer of the host's own; a begun answer is cut instead.

        Without its closing chunk no caller can take a stream for whole.
        """
        self.problem = problem
        self.finished = True
        if self.started:
            self.broken_off = True
            return
        self.started = True
        status = status_of(problem)
        retry_after_s = problem.retry_after_s if status == 503 else None
        headers = own_answer_headers(self.request_id, _spread(retry_after_s))
        body = msgspec.json.encode(
            {"code": int(problem.code), "error": problem.code.name.lower()}
        )
        kind, *rest = self._with_close(headers)
        with trio.CancelScope(shield=True):
            await send_bytes(self.send, status, body, kind[1], rest)

    def _with_close(self, headers: Headers) -> Headers:
        if self.closing():
            return [*headers, (b"connection", b"close")]
        return headers


class StreamTimes(msgspec.Struct):
    """How a stream went, as its caller sees it; for the line at its end.

    Attributes
    ----------
    first_event_s : float or None
        Seconds from the request's arrival to its first event.
    longest_gap_s : float
        Longest pause between two events.
    queued_s : float
        Seconds spent in line, over all attempts.
    moved : int
        Times that the path was changed under the running stream.
    last_event_at : float
        Reading of the clock at the last event.
    """

    first_event_s: float | None = None
    longest_gap_s: float = 0.0
    events: int = 0
    queued_s: float = 0.0
    moved: int = 0
    last_event_at: float = 0.0

    def passed(self, events: int, arrived_at: float, now: float) -> None:
        """Note events that go out to the caller."""
        if self.first_event_s is None:
            self.first_event_s = now - arrived_at
        else:
            self.longest_gap_s = max(self.longest_gap_s, now - self.last_event_at)
        self.last_event_at = now
        self.events += events

    def words(self) -> dict[str, float | int | None]:
        """Return what the line at the request's end says."""
        first_s = self.first_event_s
        return {
            "first_event_s": None if first_s is None else round(first_s, 3),
            "longest_gap_s": round(self.longest_gap_s, 3),
            "events": self.events,
            "queued_s": round(self.queued_s, 3),
            "moved": self.moved,
        }


class Call(msgspec.Struct):
    """A request that was read whole and matched to a route.

    Attributes
    ----------
    arrived_at, deadline_at : float
        Readings of the clock that counts suspension.
    sent, arrived : int
        Times that the request was sent to a target, and that it reached one.
    tried, ran_at : set of str
        Targets that it was sent to, and those that may have run it.
    digest : str
        What it shares with the same request of the same caller under another id.
    may_have_run : bool
        Some target may have run it, or run it in part.
    repeat_reserved : bool
        A repeat was taken out of the allowance, and not sent yet.
    times : StreamTimes
        How its stream went; untouched for a request with one whole answer.
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
    digest: str = ""
    sent: int = 0
    arrived: int = 0
    may_have_run: bool = False
    repeat_reserved: bool = False
    tried: set[str] = msgspec.field(default_factory=set)
    ran_at: set[str] = msgspec.field(default_factory=set)
    times: StreamTimes = msgspec.field(default_factory=StreamTimes)

    @property
    def workspace_name(self) -> str:
        """Return the workspace's name; empty for a public route."""
        return self.workspace.name if self.workspace else ""

    @property
    def caller_leaves_at(self) -> float:
        """Return when the caller of a stream that has begun has left for silence."""
        patience_s = self.route.caller_patience_s + CALLER_SLACK_S
        return self.times.last_event_at + patience_s

    @property
    def priority(self) -> int:
        """Return the rank, 0 first: the workspace's own goes before the route's."""
        if self.workspace is not None and self.workspace.priority is not None:
            return self.workspace.priority
        return self.route.priority


def status_of(problem: Fault) -> int:
    """Return the status for a fault: a promise only where nothing has run."""
    status = STATUS_BY_CODE.get(problem.code)
    if status is not None:
        return status
    return 503 if problem.outcome is Outcome.NOT_RUN else 502


def _spread(retry_after_s: float | None) -> float | None:
    if retry_after_s is None:
        return None
    return retry_after_s * (1.0 + random.uniform(0.0, RETURN_SPREAD))
