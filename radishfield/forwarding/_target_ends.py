"""Tells the end of a target from the end of a connection to it.

A process that has ended listens no more, and its host refuses new connections at once.
A connection that was only reset leaves a target that answers; behind a link that is cut
nothing answers at all, which proves nothing.
"""

import enum

import trio

from radishfield.core import ResultCode
from radishfield.forwarding._targets import Targets
from radishfield.routing import TargetRecord
from radishfield.telemetry import log_event
from radishfield.web import split_address

LISTEN_TIMEOUT_S = 0.4
"""A host of the region accepts or refuses a connection within milliseconds."""


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
        log_event("target.looked_at", target=record.id, state=str(look.state))
        return look.state

    async def _look(self, record: TargetRecord) -> TargetState:
        listens = await _listens(record.address)
        if listens is None:
            return TargetState.UNKNOWN
        if not listens:
            return TargetState.ENDED
        report = await self._targets.report(record)
        if report.is_error():
            # A target that serves alone knows no reports, and says so.
            answered = report.error.code is ResultCode.MALFORMED_ANSWER
            return TargetState.ALIVE if answered else TargetState.UNKNOWN
        if report.ok.started_ms != record.started_ms:
            return TargetState.ENDED
        return TargetState.ALIVE


class _Look:
    __slots__ = ("done", "state")

    def __init__(self):
        self.done = trio.Event()
        self.state = TargetState.UNKNOWN


async def _listens(address: str) -> bool | None:
    """Return whether anybody listens; None where nobody answers in time."""
    with trio.move_on_after(LISTEN_TIMEOUT_S), trio.socket.socket() as sock:
        try:
            await sock.connect(split_address(address))
        except ConnectionRefusedError:
            return False
        except OSError:
            return None
        return True
    return None
