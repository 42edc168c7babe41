"""Where admitted requests wait for the scheduler's word."""

import math

import trio
from expression import Error, Ok, Result

from radishfield.core import Clock, Fault
from radishfield.decisions import Dispatch, Expired, Refused, Scheduler, Work

# While requests wait, the scheduler is asked at least this often, so that one
# whose time passes leaves the queue although nothing else happens.
LONGEST_PAUSE_S = 0.25


class _Waiting:
    __slots__ = ("decided", "decision")

    def __init__(self):
        self.decided = trio.Event()
        self.decision: Dispatch | Expired | None = None


class DispatchQueue:
    """Hands each admitted request exactly one decision.

    The scheduler owns the order; this class owns the waking.  ``pump`` is
    called after every change that may let something go.
    """

    __slots__ = ("_scheduler", "_clock", "_waiting_by_request", "_changed")

    def __init__(self, scheduler: Scheduler, clock: Clock):
        self._scheduler = scheduler
        self._clock = clock
        self._waiting_by_request: dict[str, _Waiting] = {}
        self._changed = trio.Event()

    def __len__(self) -> int:
        return len(self._waiting_by_request)

    async def wait_turn(self, work: Work) -> Result[Dispatch, Fault]:
        """Offer the work and wait until it is dispatched, refused or expired.

        Cancelled while it waits, the work is withdrawn.  Where a dispatch has
        been decided in the same instant, the scheduler is told that it ended:
        an entry is dispatched or withdrawn, never both, and its share of a
        target's limit is never left taken.
        """
        admitted = self._scheduler.offer(work, self._clock.now())
        if isinstance(admitted, Refused):
            return Error(admitted.fault)
        waiting = _Waiting()
        self._waiting_by_request[work.request_id] = waiting
        self.pump()
        try:
            await waiting.decided.wait()
        except trio.Cancelled:
            self._abandon(work, waiting)
            raise
        if isinstance(waiting.decision, Dispatch):
            return Ok(waiting.decision)
        return Error(waiting.decision.fault)

    def pump(self) -> None:
        """Pass every decision that is due on to the one who waits for it."""
        for decision in self._scheduler.take(self._clock.now()):
            waiting = self._waiting_by_request.pop(decision.work.request_id)
            waiting.decision = decision
            waiting.decided.set()
        self._changed.set()

    async def run_wakeups(self) -> None:
        """Call `pump` whenever the scheduler asks to be woken."""
        while True:
            self._changed = trio.Event()
            with trio.move_on_after(self._pause_s()) as scope:
                await self._changed.wait()
            if scope.cancelled_caught:
                self.pump()

    def _pause_s(self) -> float:
        now = self._clock.now()
        wakeup = self._scheduler.next_wakeup(now)
        longest = LONGEST_PAUSE_S if self._waiting_by_request else math.inf
        return longest if wakeup is None else min(longest, max(0.001, wakeup - now))

    def _abandon(self, work: Work, waiting: _Waiting) -> None:
        self._waiting_by_request.pop(work.request_id, None)
        now = self._clock.now()
        if self._scheduler.withdraw(work.request_id, now):
            return
        if isinstance(waiting.decision, Dispatch):
            self._scheduler.ended(work.request_id, False, now)
            self.pump()
