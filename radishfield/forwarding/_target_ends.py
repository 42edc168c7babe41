"""Tells the end of a target from the end of a connection to it.

Its address tells whether anybody listens there, and its report which start does.
"""

import enum

import trio

from radishfield.core import ResultCode
from radishfield.crashes import listens
from radishfield.forwarding._targets import Targets
from radishfield.routing import TargetRecord
from radishfield.telemetry import log_event
from radishfield.web import split_address


class TargetState(enum.StrEnum):
    """What a look at a target's address shows after a connection to it broke."""

    ENDED = "ended"
    ALIVE = "alive"
    UNKNOWN = "unknown"


class TargetEnds:
    """Looks whether targets have ended; requests that ask together share a look."""

    __slots__ = ("_look_by_incarnation", "_targets")

    def __init__(self, targets: Targets):
        self._targets = targets
        self._look_by_incarnation: dict[tuple[str, int], _Look] = {}

    async def state(self, record: TargetRecord) -> TargetState:
        """Return whether this start of a target has ended."""
        look = self._look_by_incarnation.get(record.incarnation)
        if look is not None:
            await look.done.wait()
            return look.state
        look = self._look_by_incarnation[record.incarnation] = _Look()
        try:
            look.state = await self._look(record)
        finally:
            del self._look_by_incarnation[record.incarnation]
            look.done.set()
        log_event("target.checked", target=record.id, state=str(look.state))
        return look.state

    async def _look(self, record: TargetRecord) -> TargetState:
        is_open = await listens(*split_address(record.address))
        if is_open is None:
            return TargetState.UNKNOWN
        # Kept connections serve on at a target that only refuses new ones.
        report = await self._targets.report(record)
        if report.is_ok():
            return _state_of(record.started_ms, report.ok.started_ms)
        if not is_open:
            return TargetState.ENDED
        # A target that serves alone knows no reports, and says so.
        answered = report.error.code is ResultCode.MALFORMED_ANSWER
        return TargetState.ALIVE if answered else TargetState.UNKNOWN


class _Look:
    __slots__ = ("done", "state")

    def __init__(self):
        self.done = trio.Event()
        self.state = TargetState.UNKNOWN


def _state_of(listed_ms: int, reported_ms: int) -> TargetState:
    """Return what a report says of the start that is listed; 0 where it names none."""
    another = listed_ms and reported_ms and listed_ms != reported_ms
    return TargetState.ENDED if another else TargetState.ALIVE
