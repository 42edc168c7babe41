"""Holds admitted requests until the scheduler decides on them."""

import math

import trio
from expression import Error, Ok, Result

from radishfield.core import Clock, Fault
from radishfield.decisions import Dispatch, Expired, Refused, Scheduler, Work

# While requests wait, the scheduler is polled at least this often, so that an expired
# request leaves the queue even if nothing else happens.
MAX_PAUSE_S = 0.25


class _Waiter:
    __slots__ = ("decided", "decision")

    def __init__(self):
        self.decided = trio.Event()
        self.decision: Dispatch | Expired | None = None


class DispatchQueue:
    """Delivers exactly one decision to each admitted request.

    The scheduler determines the order, and this class wakes the waiting tasks.
    ``pump`` is called after every change that may allow a dispatch.
    """

    __slots__ = ("_scheduler", "_clock", "_waiter_by_request_id", "_changed")

    def __init__(self, scheduler: Scheduler, clock: Clock):
        self._scheduler = scheduler
        self._clock = clock
        self._waiter_by_request_id: dict[str, _Waiter] = {}
        self._changed = trio.Event()

    def __len__(self) -> int:
        return len(self._waiter_by_request_id)

    async def wait_for_dispatch(self, work: Work) -> Result[Dispatch, Fault]:
        """Offer the work and wait until it is dispatched, refused or expired.

        If the wait is cancelled, the work is withdrawn.  If a dispatch was decided
        at the same instant, it is reported to the scheduler as ended instead.  An
        entry is dispatched or withdrawn, never both, and its share of a target's
        limit is always released.
        """
        admitted = self._scheduler.offer(work, self._clock.now())
        if isinstance(admitted, Refused):
            return Error(admitted.fault)
        waiter = _Waiter()
        self._waiter_by_request_id[work.request_id] = waiter
        self.pump()
        try:
            await waiter.decided.wait()
        except trio.Cancelled:
            self._abandon(work, waiter)
            raise
        if isinstance(waiter.decision, Dispatch):
            return Ok(waiter.decision)
        return Error(waiter.decision.fault)

    def pump(self) -> None:
        """Deliver every decision that is due to the task that waits for it."""
        for decision in self._scheduler.take(self._clock.now()):
            waiter = self._waiter_by_request_id.pop(decision.work.request_id)
            waiter.decision = decision
            waiter.decided.set()
        self._changed.set()

    async def run_wakeups(self) -> None:
        """Call `pump` at each time that the scheduler requests a wake-up."""
        while True:
            self._changed = trio.Event()
            with trio.move_on_after(self._pause_s()) as scope:
                await self._changed.wait()
            if scope.cancelled_caught:
                self.pump()

    def _pause_s(self) -> float:
        now = self._clock.now()
        wakeup = self._scheduler.next_wakeup(now)
        limit_s = MAX_PAUSE_S if self._waiter_by_request_id else math.inf
        return limit_s if wakeup is None else min(limit_s, max(0.001, wakeup - now))

    def _abandon(self, work: Work, waiter: _Waiter) -> None:
        self._waiter_by_request_id.pop(work.request_id, None)
        now = self._clock.now()
        if self._scheduler.withdraw(work.request_id, now):
            return
        if isinstance(waiter.decision, Dispatch):
            self._scheduler.ended(work.request_id, False, now)
            self.pump()
