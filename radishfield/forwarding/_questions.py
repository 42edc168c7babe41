"""Probes of targets, and when a missing answer counts as a failure."""

from collections.abc import Callable

import trio
from expression import Error, Result

from radishfield.core import Fault, ResultCode, fault
from radishfield.forwarding._connections import CONNECT_TIMEOUT_S
from radishfield.forwarding._targets import REPORT_TIMEOUT_S, Targets
from radishfield.forwarding._view import RouterView
from radishfield.forwarding._witness_probe import WitnessProbe
from radishfield.routing import TargetRecord, TargetReport

WITNESS_TIMEOUT_S = REPORT_TIMEOUT_S
"""Extra time to wait for a late answer while other targets are probed."""
MIN_PROBE_S = 0.02
"""Minimum timeout of a probe: a live target of the zone answers in two milliseconds,
and a busy host reads the answer somewhat later."""
PROBE_LIMIT_FACTOR = 5.0
"""Timeout of a probe as a multiple of the typical answer time of the zone."""
ANSWER_HISTORY_WEIGHT = 0.8
"""Weight of earlier answers in the moving average of a zone's answer times."""


class TargetProber:
    """Requests reports from targets and judges those that do not answer in time.

    Parameters
    ----------
    has_event_since : callable
        Returns whether an event arrived through a target after a given time.
    """

    __slots__ = (
        "_answer_s_by_zone",
        "_answered_at_by_zone",
        "_probed_ids",
        "_clock",
        "_has_event_since",
        "_targets",
        "_witness",
    )

    def __init__(
        self,
        targets: Targets,
        view: RouterView,
        has_event_since: Callable[[str, float], bool],
    ):
        self._targets = targets
        self._clock = view.clock
        self._has_event_since = has_event_since
        self._witness = WitnessProbe(targets, view)
        self._probed_ids: set[str] = set()
        self._answer_s_by_zone: dict[str, float] = {}
        self._answered_at_by_zone: dict[str, float] = {}

    def last_answer_age_s(self, zone: str) -> float:
        """Return the time since a target of a zone last answered or was queried."""
        return self._clock.now() - self._answered_at_by_zone.get(zone, -1e9)

    def note_query(self, zone: str) -> None:
        """Record a query to a target of a zone, so that no other one is queried."""
        self._answered_at_by_zone[zone] = self._clock.now()

    def note_answer(self, zone: str, answer_s: float) -> None:
        """Add an answer time to the moving average of the zone."""
        before_s = self._answer_s_by_zone.get(zone, answer_s)
        typical_s = (
            ANSWER_HISTORY_WEIGHT * before_s + (1 - ANSWER_HISTORY_WEIGHT) * answer_s
        )
        self._answer_s_by_zone[zone] = typical_s
        self._answered_at_by_zone[zone] = self._clock.now()

    def probe_limit_s(self, zone: str) -> float:
        """Return the timeout for a probe of a target in a zone."""
        typical_s = self._answer_s_by_zone.get(zone)
        if typical_s is None:
            return REPORT_TIMEOUT_S
        return min(REPORT_TIMEOUT_S, max(MIN_PROBE_S, PROBE_LIMIT_FACTOR * typical_s))

    async def probe(
        self, record: TargetRecord, limit_s: float, witnesses: trio.Nursery
    ) -> Result[TargetReport, Fault] | None:
        """Probe a target; return its report, its failure, or None for no verdict.

        A late answer is a failure only if this host receives others in time.

        Parameters
        ----------
        witnesses : trio.Nursery
            Runs the probes of other targets; outlives this probe.
        """
        sent_at = self._clock.now()
        answer = _Answer()
        self._probed_ids.add(record.id)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._report_into, record, answer)
                with trio.move_on_after(limit_s):
                    await answer.arrived.wait()
                if answer.failed_or_late(self._clock.now() - sent_at, limit_s):
                    await self._judge_late(record, sent_at, answer, witnesses)
                nursery.cancel_scope.cancel()
        finally:
            self._probed_ids.discard(record.id)
        return answer.result

    async def _report_into(self, record: TargetRecord, answer: "_Answer") -> None:
        limit_s = REPORT_TIMEOUT_S + WITNESS_TIMEOUT_S
        answer.result = await self._targets.report(record, limit_s)
        answer.arrived.set()

    async def _judge_late(
        self,
        record: TargetRecord,
        sent_at: float,
        answer: "_Answer",
        witnesses: trio.Nursery,
    ) -> None:
        """Wait for a late answer, or for one of another target that proves it late."""
        another_answered = await self._witness.another_answers(
            record.id, sent_at, self._probed_ids, witnesses
        )
        if another_answered and answer.result is None:
            # A new connection takes a round trip more than the witness's reused one.
            with trio.move_on_after(self.probe_limit_s(record.zone)):
                await answer.arrived.wait()
        if answer.result is not None and answer.result.is_ok():
            return
        if not another_answered or self._has_event_since(record.id, sent_at):
            answer.result = None
        elif answer.result is None:
            detail = f"no answer in {self._clock.now() - sent_at:.3f} s"
            answer.result = Error(fault(ResultCode.STREAM_SILENT, detail))


class _Answer:
    """Holds the answer of a target once it has arrived."""

    __slots__ = ("arrived", "result")

    def __init__(self):
        self.arrived = trio.Event()
        self.result: Result[TargetReport, Fault] | None = None

    def failed_or_late(self, waited_s: float, limit_s: float) -> bool:
        """Return whether the only evidence is that no answer came in time.

        A refused or reset connection is immediate evidence of a failure.  A connection
        that could not be opened in time counts as a missing answer.
        """
        if self.result is None:
            return True
        return self.result.is_error() and waited_s >= min(limit_s, CONNECT_TIMEOUT_S)
