"""Looks after requests whose targets end while they run them."""

import trio

from radishfield.core import Fault, ResultCode
from radishfield.forwarding._call import Call
from radishfield.forwarding._target_ends import TargetEnds
from radishfield.forwarding._view import RouterView
from radishfield.routing import TargetRecord
from radishfield.telemetry import log_event

LOOK_WAIT_S = 0.1
"""Time for which the next attempt waits for the look at the target of the last one."""
BROKEN_CODES = frozenset({ResultCode.STREAM_BROKEN, ResultCode.ANSWER_TRUNCATED})
"""Ends of an attempt that the end of its target may have caused."""


class CrashGuard:
    """Finds out whether a target ended under a request."""

    __slots__ = ("_ends", "_nursery", "_view")

    def __init__(self, ends: TargetEnds, view: RouterView):
        self._ends = ends
        self._view = view
        self._nursery: trio.Nursery | None = None

    async def run(self, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED):
        """Look at targets until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            await trio.sleep_forever()

    async def note_end(self, call: Call, record: TargetRecord, problem: Fault) -> None:
        """Note how an attempt ended, and look at its target if that may have ended."""
        if problem.code not in BROKEN_CODES or self._nursery is None:
            return
        looked = trio.Event()
        # The caller may leave meanwhile; what is found matters to other requests.
        self._nursery.start_soon(self._look, call, record, looked)
        with trio.move_on_after(LOOK_WAIT_S):
            await looked.wait()

    async def _look(self, call: Call, record: TargetRecord, looked: trio.Event) -> None:
        state = await self._ends.state(record)
        log_event(
            "attempt.broken",
            request=call.facts.request_id,
            digest=call.digest,
            target=record.id,
            target_state=str(state),
        )
        looked.set()
