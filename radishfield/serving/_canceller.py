"""Cancels abandoned work at targets in the background, not delaying callers."""

from dataclasses import dataclass

import trio

from radishfield.core import Target, TargetPort

WORKERS = 4
CANCEL_TIMEOUT_S = 1.0
# A target stops by itself at the request's deadline, so a cancel that is dropped here
# wastes work but breaks no guarantee.  The bound keeps a mass failure from filling the
# memory with cancels for targets that do not answer.
MAX_QUEUED_CANCELS = 1000


@dataclass(slots=True, frozen=True)
class _Cancel:
    target: Target
    request_id: str
    attempt: int


class Canceller:
    """A service with a bounded queue of cancels and a few workers."""

    __slots__ = ("_targets", "_send", "_receive", "dropped")

    def __init__(self, targets: TargetPort):
        self._targets = targets
        self._send, self._receive = trio.open_memory_channel(MAX_QUEUED_CANCELS)
        self.dropped = 0

    def cancel(self, target: Target, request_id: str, attempt: int) -> None:
        """Queue a cancel of the request's attempts up to this one."""
        try:
            self._send.send_nowait(_Cancel(target, request_id, attempt))
        except trio.WouldBlock:
            self.dropped += 1

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED):
        """Send queued cancels until cancelled."""
        async with trio.open_nursery() as nursery:
            for _ in range(WORKERS):
                nursery.start_soon(self._work)
            task_status.started()

    async def _work(self) -> None:
        async for queued in self._receive.clone():
            with trio.move_on_after(CANCEL_TIMEOUT_S):
                await self._targets.cancel(
                    queued.target, queued.request_id, queued.attempt
                )
