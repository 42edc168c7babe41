"""Decides which connections and requests of callers a busy host serves."""

from collections import deque

import trio

from radishfield.core import Fault, ResultCode, fault
from radishfield.forwarding._call import refusal_answer
from radishfield.forwarding._view import RouterView
from radishfield.platform import read_request_id
from radishfield.routing import SATURATED_RETRY_S, others_have_time, some_are_short
from radishfield.telemetry import DeferredTelemetry, RequestKind, log_event
from radishfield.web import CloseUnread, Refuse, Serve, Verdict, http_answer

UNREAD_S = 1.0
"""Time for which an admitted connection counts as a request that is about to come."""
ADMITTED_EVERY_S = 0.5
"""Longest time without an admitted connection.  A host that is ready and takes none
looks dead, and does not learn whether it could take more."""
SHARED_LIMIT_FACTOR = 2.0
"""Multiple of the limit that a host takes while another one is short of time as well.
Answers take longer by that factor at most, which callers still wait for."""
LOG_INTERVAL_S = 1.0


class CallerGate:
    """Turns away, or refuses, what this host has no processor time for.

    New connections are turned away unread as long as other hosts have time for them.
    If one of these is short of it too, the load balancer may send a caller from one
    busy host to the other, and all requests get somewhat later instead.  If most of
    them are busy, turning away would gain nothing, and requests are refused: those of
    new connections by their heads, so that refusing leaves time for serving.
    """

    __slots__ = ("_admitted_at", "_telemetry", "_turned_away", "_unread_since", "_view")

    def __init__(self, view: RouterView, telemetry: DeferredTelemetry):
        self._telemetry = telemetry
        self._view = view
        self._admitted_at = view.clock.now()
        self._unread_since: deque[float] = deque()
        self._turned_away = 0

    def judge(self) -> Verdict:
        """Return the verdict on the next connection, and count it."""
        now = self._view.clock.now()
        while self._unread_since and now - self._unread_since[0] > UNREAD_S:
            self._unread_since.popleft()
        self._note_unread()
        if self._is_beyond_limit() and now - self._admitted_at < ADMITTED_EVERY_S:
            self._turned_away += 1
            self._view.host_load.turned_away += 1
            return CloseUnread()
        if self._is_overloaded(self._view.expected_requests):
            return Refuse(self._refuse_head)
        self._admitted_at = now
        self._unread_since.append(now)
        self._note_unread()
        return Serve()

    def note_request(self) -> None:
        """Note that the request of an admitted connection was read."""
        if self._unread_since:
            self._unread_since.popleft()
            self._note_unread()

    def refusal(self) -> Fault | None:
        """Return the refusal of a request that was read and would be answered late."""
        if not self._is_overloaded(self._view.in_flight):
            return None
        return self._saturated()

    def _refuse_head(self, head: bytes) -> bytes:
        """Return the whole answer to a request of which only the head was read."""
        request_id, problem = read_request_id(head), self._saturated()
        self._telemetry.ended(RequestKind.UNREAD, problem.outcome, problem.code, 0.0)
        self._telemetry.refused(problem.code)
        answer = refusal_answer(problem, request_id)
        log_event(
            "request.ended",
            request=request_id,
            code=int(problem.code),
            outcome=str(problem.outcome),
            status=answer.status,
            detail=problem.detail,
            seconds=0.0,
            sent=0,
            by_head=True,
        )
        return http_answer(answer.status, answer.headers, answer.body)

    def _note_unread(self) -> None:
        self._view.unread_connections = len(self._unread_since)

    def _is_overloaded(self, requests: int) -> bool:
        overloaded = self._view.host_load.is_overloaded(requests)
        return overloaded and not self._others_have_time()

    def _saturated(self) -> Fault:
        view, load = self._view, self._view.host_load
        detail = (
            f"{view.in_flight} in flight, {view.unread_connections} unread, "
            f"turns of {load.turn_s:.3f} s"
        )
        return fault(ResultCode.HOST_SATURATED, detail, SATURATED_RETRY_S)

    def _is_beyond_limit(self) -> bool:
        view = self._view
        return (
            view.expected_requests >= self._max_expected()
            and not view.leaving
            and self._others_have_time()
        )

    def _max_expected(self) -> float:
        load = self._view.host_load
        if some_are_short(self._view.peers.idle_shares):
            return load.limit * SHARED_LIMIT_FACTOR
        return load.limit

    def _others_have_time(self) -> bool:
        return others_have_time(self._view.peers.idle_shares)

    async def run(self, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED):
        """Log the connections that were turned away, until cancelled."""
        task_status.started()
        while True:
            await trio.sleep(LOG_INTERVAL_S)
            if not self._turned_away:
                continue
            load = self._view.host_load
            log_event(
                "callers.turned_away",
                connections=self._turned_away,
                limit=round(load.limit, 1),
                in_flight=self._view.in_flight,
                idle_share=round(load.idle_share, 3),
                other_idle_shares=[
                    round(share, 2) for share in self._view.peers.idle_shares[:8]
                ],
            )
            self._turned_away = 0
