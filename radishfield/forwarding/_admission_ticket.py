"""One new stream under the rules by rank and workspace of its service."""

import math

from radishfield.capacity import Level, Reject, ServiceAdmission
from radishfield.core import Fault, ResultCode, fault
from radishfield.forwarding._call import Call
from radishfield.forwarding._view import RouterView
from radishfield.routing import MAX_PRIORITY, START_SHARE

LEVELS_PER_RANK = 2
"""Work within its workspace's share, and beyond it."""


class AdmissionTicket:
    """Asks the rules for one call; without rules, everything is allowed.

    A stream that has started is not held back: its caller waits for the next event.
    """

    __slots__ = ("_admission", "_call", "_rank", "_view")

    def __init__(
        self, view: RouterView, call: Call, admission: ServiceAdmission | None
    ):
        self._view = view
        self._call = call
        self._admission = admission
        # The workspace's priority may change while the call waits.
        self._rank = call.rank

    @classmethod
    def for_call(
        cls, view: RouterView, call: Call, has_started: bool
    ) -> "AdmissionTicket":
        """Return the ticket of a call for the rules of its service."""
        admission = view.admission_by_service.get(call.service.name)
        return cls(view, call, None if has_started else admission)

    def refusal(self) -> Fault | None:
        """Return the refusal of a stream that can't start in time, or None."""
        if self._admission is None:
            return None
        call, now = self._call, self._view.clock.now()
        due_s = call.route.first_event_due_s
        if math.isinf(due_s):
            due_s = call.route.caller_patience_s
        left_s = call.arrived_at + due_s * (1.0 - START_SHARE) - now
        verdict = self._admission.judge(
            self._level(), left_s, now, self._view.rng.random()
        )
        match verdict:
            case Reject(retry_after_s, over_share, detail):
                priority = min(MAX_PRIORITY, max(0, call.priority))
                self._view.rejected_by_priority[priority] += 1
                self._view.rejected_over_share += over_share
                code = ResultCode.DEADLINE_UNREACHABLE
                if over_share:
                    code = ResultCode.WORKSPACE_OVER_SHARE
                return fault(code, detail, retry_after_s)
        return None

    def may_start(self) -> bool:
        """Return whether the stream may take room now."""
        if self._admission is None:
            return True
        now = self._view.clock.now()
        return self._admission.may_start(self._level(), now, self._view.rng.random())

    def note_start(self, size: float) -> None:
        """Count the room that the stream takes, in streams of typical size."""
        if self._admission is not None:
            self._admission.note_start(self._level(), size)

    def begin_wait(self) -> None:
        """Count the stream among those that wait."""
        if self._admission is not None:
            self._admission.meter.waits(self._rank)

    def end_wait(self) -> None:
        """Count the stream no longer among those that wait."""
        if self._admission is not None:
            self._admission.meter.waits(self._rank, -1)

    def queue_priority(self) -> int:
        """Return the stream's place in the order of the host's queue."""
        if self._admission is None:
            return self._call.priority
        priority = self._rank if self._admission.by_rank else self._call.priority
        return priority * LEVELS_PER_RANK + self._level().is_over_share

    def _level(self) -> Level:
        return self._admission.level(self._rank, self._call.workspace_name)
