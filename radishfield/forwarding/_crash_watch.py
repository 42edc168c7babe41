"""Finds out whether a target ended when an attempt at it broke."""

import trio

from radishfield.core import Fault, ResultCode
from radishfield.crashes import Verdict
from radishfield.forwarding._call import Call
from radishfield.forwarding._crash_records import CrashRecords
from radishfield.forwarding._target_ends import TargetEnds, TargetState
from radishfield.forwarding._view import RouterView
from radishfield.routing import TargetRecord
from radishfield.telemetry import log_event
from radishfield.web import backoff_s

LOOK_WAIT_S = 0.1
"""Time for which the next attempt waits for the look at the target of the last one."""
READ_FROM_ENDS = 2
"""Ends under a request from which on the store is asked what others wrote of it."""
BROKEN_CODES = frozenset({ResultCode.STREAM_BROKEN, ResultCode.ANSWER_TRUNCATED})
"""Ends of an attempt that the end of its target may have caused."""


class CrashWatch:
    """Counts ends of targets under calls, and keeps the store's records of them."""

    __slots__ = ("_ends", "_host_id", "_nursery", "_records", "_view")

    def __init__(
        self, host_id: str, ends: TargetEnds, records: CrashRecords, view: RouterView
    ):
        self._host_id = host_id
        self._ends = ends
        self._records = records
        self._view = view
        self._nursery: trio.Nursery | None = None

    async def run(self, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED):
        """Look at targets, and at what is refused, until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._read_at_start)
            nursery.start_soon(self._view.crashes.watch, self._write_refused)
            task_status.started()

    async def _read_at_start(self) -> None:
        failures = 0
        while not await self._records.read():
            failures += 1
            await trio.sleep(backoff_s(failures, self._view.chance))

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
        crashes = self._view.crashes
        counted = state is TargetState.ENDED and crashes.count(
            call.digest, record.id, record.started_ms
        )
        log_event(
            "attempt.broken",
            request=call.facts.request_id,
            digest=call.digest,
            target=record.id,
            target_state=str(state),
            counted=counted,
        )
        looked.set()
        if counted and len(crashes.report(call.digest).ends) >= READ_FROM_ENDS:
            await self._records.read()

    def _write_refused(self, digest: str, verdict: Verdict) -> None:
        """Write down what is refused: the host that saw the last end does."""
        newest = max(verdict.ends, key=lambda end: end.at)
        if newest.told_by == self._host_id:
            self._nursery.start_soon(self._write, digest)

    async def _write(self, digest: str) -> None:
        failures = 0
        while not await self._records.write(digest):
            failures += 1
            await trio.sleep(backoff_s(failures, self._view.chance))
            if self._view.crashes.book.verdict(digest, self._view.clock.now()) is None:
                return
