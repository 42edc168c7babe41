"""Asks targets whether the limits that they named still hold.

A limit ends when an answer no longer names it.  A target that is only a later stage of
paths answers no caller's request, so that nothing would ever end its limit.
"""

import trio

from radishfield.core import sleep_to_tick
from radishfield.forwarding._targets import Targets
from radishfield.forwarding._view import RouterView
from radishfield.routing import TargetRecord

CHECK_INTERVAL_S = 0.25


class LimitChecks:
    """Requests reports of the limited targets whose tokens this host gives out."""

    __slots__ = ("_targets", "_view")

    def __init__(self, targets: Targets, view: RouterView):
        self._targets = targets
        self._view = view

    async def run(self, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED):
        """Check until cancelled."""
        async with trio.open_nursery() as nursery:
            task_status.started()
            while True:
                await self._view.boundary.complete(
                    "limits.check", "", self._check_once, nursery
                )

    async def _check_once(self, nursery: trio.Nursery) -> None:
        await sleep_to_tick(CHECK_INTERVAL_S)
        self._check_due(nursery)

    def _check_due(self, nursery: trio.Nursery) -> None:
        view, now = self._view, self._view.clock.now()
        for target_id in view.limits.due_checks(now):
            record = view.directory.find(target_id)
            if record is None or view.directory.suspected(target_id, now):
                continue
            if not view.rests.allows_probe(record, now):
                continue
            if view.limits.take_check(record, now):
                nursery.start_soon(
                    view.boundary.run, "limit.check", target_id, self._ask, record
                )

    async def _ask(self, record: TargetRecord) -> None:
        await self._targets.report(record, has_token=True)
