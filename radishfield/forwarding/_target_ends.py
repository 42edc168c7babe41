"""Distinguishes the crash of a target from the loss of a connection to it.

A connection to its address shows whether any process listens there, and its report
shows which incarnation that is.  A refused connection may also be due to this host's
own link, so another host has to confirm that no process listens.
"""

import enum

import trio

from radishfield.core import ResultCode
from radishfield.crashes import is_listening
from radishfield.forwarding._targets import Targets
from radishfield.relay import TargetDialer
from radishfield.routing import TargetRecord
from radishfield.telemetry import log_event
from radishfield.web import split_address

CONFIRMATION_LIMITS_S = (0.2, 0.5, 1.0)
"""Times for which other hosts are asked about a target that refuses this one, in turn.
A host that is busy for a moment answers late, and the crash would count for nothing."""
CONFIRMATION_PAUSE_S = 0.2


class TargetState(enum.StrEnum):
    """Result of probing a target's address after a connection to it broke."""

    ENDED = "ended"
    ALIVE = "alive"
    UNKNOWN = "unknown"


class TargetProbe:
    """Probes whether targets have ended; concurrent requests share a probe."""

    __slots__ = ("_dialer", "_probe_by_incarnation", "_targets")

    def __init__(self, targets: Targets, dialer: TargetDialer):
        self._dialer = dialer
        self._targets = targets
        self._probe_by_incarnation: dict[tuple[str, int], _RunningProbe] = {}

    async def state(self, record: TargetRecord) -> TargetState:
        """Return whether this incarnation of a target has ended."""
        probe = self._probe_by_incarnation.get(record.incarnation)
        if probe is not None:
            await probe.done.wait()
            return probe.state
        probe = self._probe_by_incarnation[record.incarnation] = _RunningProbe()
        try:
            probe.state = await self._probe(record)
        finally:
            del self._probe_by_incarnation[record.incarnation]
            probe.done.set()
        log_event("target.checked", target=record.id, state=str(probe.state))
        return probe.state

    async def _probe(self, record: TargetRecord) -> TargetState:
        is_open = await self._is_open(record.address)
        if is_open is None:
            return TargetState.UNKNOWN
        # A target that only refuses new connections still serves on kept ones.
        report = await self._targets.report(record)
        if report.is_ok():
            return _state_of(record.started_ms, report.ok.started_ms)
        if not is_open:
            return TargetState.ENDED
        # A target that serves requests alone has no reports and answers with an error.
        answered = report.error.code is ResultCode.MALFORMED_ANSWER
        return TargetState.ALIVE if answered else TargetState.UNKNOWN

    async def _is_open(self, address: str) -> bool | None:
        """Return whether a process listens; None if that could not be found out."""
        is_open = await is_listening(*split_address(address))
        if is_open or not self._dialer.can_ask():
            return is_open
        reached = None
        for number, limit_s in enumerate(CONFIRMATION_LIMITS_S):
            if number:
                await trio.sleep(CONFIRMATION_PAUSE_S)
            reached = await self._dialer.reaches(address, limit_s)
            if reached is not None or is_open is None:
                break
        return reached


class _RunningProbe:
    __slots__ = ("done", "state")

    def __init__(self):
        self.done = trio.Event()
        self.state = TargetState.UNKNOWN


def _state_of(listed_ms: int, reported_ms: int) -> TargetState:
    """Compare the listed and the reported start time; 0 where none is given."""
    restarted = listed_ms and reported_ms and listed_ms != reported_ms
    return TargetState.ENDED if restarted else TargetState.ALIVE
