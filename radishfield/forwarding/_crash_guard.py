"""Finds targets that end under a request, and keeps the request from further ones."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

import trio

from radishfield.core import Fault, ResultCode
from radishfield.forwarding._call import Call
from radishfield.forwarding._crash_records import CrashRecords
from radishfield.forwarding._crash_refusal import ends_words
from radishfield.forwarding._target_ends import TargetEnds, TargetState
from radishfield.forwarding._view import RouterView
from radishfield.limits import TargetEnd
from radishfield.routing import TargetRecord
from radishfield.telemetry import log_event
from radishfield.web import backoff_s

LOOK_WAIT_S = 0.1
"""Time for which the next attempt waits for the look at the target of the last one."""
FORGET_LOOK_S = 1.0
SETTLE_LOOK_S = 0.05
"""Pause between two looks at requests whose last end may be another one's."""
READ_FROM_ENDS = 2
"""Ends under a request from which on the store is asked what others wrote of it."""
BROKEN_CODES = frozenset({ResultCode.STREAM_BROKEN, ResultCode.ANSWER_TRUNCATED})
"""Ends of an attempt that the end of its target may have caused."""


class CrashGuard:
    """Notes ends of targets under requests, and acts once they prove something."""

    __slots__ = (
        "_ends",
        "_host_id",
        "_nursery",
        "_records",
        "_refused",
        "_stops_by_digest",
        "_view",
        "counted",
    )

    def __init__(
        self, host_id: str, ends: TargetEnds, records: CrashRecords, view: RouterView
    ):
        self._host_id = host_id
        self._ends = ends
        self._records = records
        self._view = view
        self._refused: set[str] = set()
        self._stops_by_digest: dict[str, set[Callable[[str], None]]] = {}
        self._nursery: trio.Nursery | None = None
        self.counted = 0

    async def run(self, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED):
        """Look at targets, and at what hosts know, until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._read_at_start)
            task_status.started()
            while True:
                changed = self._view.crashes_changed
                self._view.crashes.forget(self._view.clock.now())
                self._act()
                pause_s = SETTLE_LOOK_S if len(self._view.crashes) else FORGET_LOOK_S
                with trio.move_on_after(pause_s):
                    await changed.wait()

    async def _read_at_start(self) -> None:
        failures = 0
        while not await self._records.read():
            failures += 1
            await trio.sleep(backoff_s(failures, self._view.chance))

    @contextmanager
    def running(self, call: Call, stop: Callable[[str], None]) -> Iterator[None]:
        """Have an attempt stopped when its request is found to end targets."""
        stops = self._stops_by_digest.setdefault(call.digest, set())
        stops.add(stop)
        try:
            yield
        finally:
            stops.discard(stop)
            if not stops and self._stops_by_digest.get(call.digest) is stops:
                del self._stops_by_digest[call.digest]

    async def settle(self, call: Call) -> None:
        """Wait until it can be told whether a suspected request is refused."""
        while True:
            now = self._view.clock.now()
            left_s = self._view.crashes.settles_in_s(call.digest, now)
            if left_s <= 0 or now + left_s >= call.deadline_at:
                return
            await trio.sleep(left_s)

    def outlived(self, call: Call) -> None:
        """Note that a target lives on after it began to run a request."""
        view = self._view
        if view.crashes.outlived(call.digest, view.clock.now()):
            log_event(
                "request.cleared", request=call.facts.request_id, digest=call.digest
            )
            view.crash_news.add(call.digest)
            view.wake_crash_guard()

    async def note_end(self, call: Call, record: TargetRecord, problem: Fault) -> None:
        """Note how an attempt ended, and look at its target if that may have ended."""
        if not self._may_have_ended(record, problem):
            return
        looked = trio.Event()
        # The caller may leave meanwhile; what is found matters to other requests.
        self._nursery.start_soon(self._look, call, record, looked)
        with trio.move_on_after(LOOK_WAIT_S):
            await looked.wait()

    def _may_have_ended(self, record: TargetRecord, problem: Fault) -> bool:
        directory = self._view.directory
        if directory.leaves(record):
            # Work that outlasts its target's notice is cut when the target exits.
            return False
        if problem.code is ResultCode.STREAM_SILENT:
            return directory.found_lost(record.id)
        return problem.code in BROKEN_CODES

    async def _look(self, call: Call, record: TargetRecord, looked: trio.Event) -> None:
        state = await self._ends.state(record)
        counted = state is TargetState.ENDED and self._count(call, record)
        log_event(
            "attempt.broken",
            request=call.facts.request_id,
            digest=call.digest,
            target=record.id,
            target_state=str(state),
            counted=counted,
        )
        looked.set()
        known = self._view.crashes.report(call.digest, self._view.clock.now())
        if counted and len(known.ends) >= READ_FROM_ENDS:
            await self._records.read()

    def _count(self, call: Call, record: TargetRecord) -> bool:
        now = self._view.clock.now()
        end = TargetEnd(record.id, record.started_ms, self._host_id, now)
        if not self._view.crashes.add_end(call.digest, end):
            return False
        self.counted += 1
        self._view.crash_news.add(call.digest)
        self._view.wake_crash_guard()
        return True

    def _act(self) -> None:
        """Stop, and write down, what is refused since the last look."""
        now = self._view.clock.now()
        refused = set(self._view.crashes.refused(now))
        for digest in refused - self._refused:
            verdict = self._view.crashes.verdict(digest, now)
            log_event(
                "request.condemned",
                digest=digest,
                ends=ends_words(verdict, now),
                until_s=round(verdict.until - now),
            )
            for stop in list(self._stops_by_digest.get(digest, ())):
                stop("crashes targets")
            newest = max(verdict.ends, key=lambda end: end.at)
            if newest.told_by == self._host_id:
                self._nursery.start_soon(self._write, digest)
        for digest in self._refused - refused:
            log_event("request.released", digest=digest)
        self._refused = refused

    async def _write(self, digest: str) -> None:
        failures = 0
        while digest in self._refused and not await self._records.write(digest):
            failures += 1
            await trio.sleep(backoff_s(failures, self._view.chance))
