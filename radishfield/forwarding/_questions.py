"""Probes of targets, and when a missing answer counts as a failure."""

from collections.abc import Callable

import msgspec
import trio
from expression import Error, Result

from radishfield.core import Fault, ResultCode, fault
from radishfield.forwarding._targets import REPORT_TIMEOUT_S, Targets
from radishfield.forwarding._view import RouterView
from radishfield.forwarding._witness_probe import WitnessProbe
from radishfield.relay import CONNECT_TIMEOUT_S
from radishfield.routing import TargetRecord, TargetReport

WITNESS_TIMEOUT_S = REPORT_TIMEOUT_S
"""Extra time to wait for a late answer while other targets are probed."""
MIN_PROBE_S = 0.02
"""Minimum timeout of a probe: a live target of the zone answers in two milliseconds,
and a busy host reads the answer somewhat later."""
PROBE_LIMIT_FACTOR = 5.0
"""Timeout of a probe as a multiple of the typical answer time of the zone."""
BROKEN_CODES = (ResultCode.STREAM_BROKEN, ResultCode.ANSWER_TRUNCATED)
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
        "_again_by_id",
        "_answer_s_by_zone",
        "_answered_at_by_zone",
        "_probed_ids",
        "_clock",
        "_has_event_since",
        "_links",
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
        self._links = view.target_links
        self._witness = WitnessProbe(targets, view)
        self._again_by_id: dict[str, _SharedReport] = {}
        self._probed_ids: set[str] = set()
        self._answer_s_by_zone: dict[str, float] = {}
        self._answered_at_by_zone: dict[str, float] = {}

    def last_answer_age_s(self, zone: str) -> float:
        """Return the time since a target of a zone last answered or was queried."""
        return self._clock.now() - self._answered_at_by_zone.get(zone, -1e9)

    def is_probing(self, target_id: str) -> bool:
        """Return whether a probe of a target is in progress."""
        return target_id in self._probed_ids

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
    ) -> "ProbeOutcome":
        """Probe a target.

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
                    await self._judge_late(record, sent_at, answer, witnesses, nursery)
                nursery.cancel_scope.cancel()
        finally:
            self._probed_ids.discard(record.id)
        return ProbeOutcome(answer.result, answer.connection_lost)

    async def _report_into(self, record: TargetRecord, answer: "_Answer") -> None:
        limit_s = REPORT_TIMEOUT_S + WITNESS_TIMEOUT_S
        answer.result = await self._targets.report(record, limit_s)
        answer.arrived.set()
        answer.note_change()

    async def _judge_late(
        self,
        record: TargetRecord,
        sent_at: float,
        answer: "_Answer",
        witnesses: trio.Nursery,
        nursery: trio.Nursery,
    ) -> None:
        """Wait for a late answer, or for evidence of why it is late.

        An answer of another target shows that this target does not answer, unless
        several links of this host are down.  An answer of the same target over a new
        connection, which another host may relay, shows that the old one is lost.
        """
        nursery.start_soon(self._ask_another, record, sent_at, answer, witnesses)
        nursery.start_soon(self._report_again, record, answer)
        while not answer.is_decided(self._links.suspicious(self._clock.now())):
            await answer.wait_for_change()
        if answer.result is None and (answer.another_answered or answer.again_ok):
            # A new connection takes a round trip more than a reused one.
            with trio.move_on_after(self.probe_limit_s(record.zone)):
                await answer.arrived.wait()
        if answer.result is not None and answer.result.is_ok():
            return
        if answer.again_ok:
            answer.result, answer.connection_lost = answer.again, True
            return
        proved = answer.another_answered and not self._links.suspicious(
            self._clock.now()
        )
        if not proved or self._has_event_since(record.id, sent_at):
            answer.result = None
        elif answer.result is None:
            detail = f"no answer in {self._clock.now() - sent_at:.3f} s"
            answer.result = Error(fault(ResultCode.STREAM_SILENT, detail))

    async def _ask_another(
        self, record: TargetRecord, sent_at: float, answer: "_Answer", witnesses
    ) -> None:
        answer.another_answered = await self._witness.another_answers(
            record.id, sent_at, self._probed_ids, witnesses
        )
        answer.note_change()

    async def _report_again(self, record: TargetRecord, answer: "_Answer") -> None:
        again = self._again_by_id.get(record.id)
        if again is None:
            again = self._again_by_id[record.id] = _SharedReport()
            try:
                again.result = await self._targets.report(
                    record, WITNESS_TIMEOUT_S, fresh=True
                )
            finally:
                del self._again_by_id[record.id]
                again.done.set()
        else:
            await again.done.wait()
        answer.again = again.result
        answer.note_change()


class ProbeOutcome(msgspec.Struct, frozen=True):
    """What a probe showed.

    Attributes
    ----------
    report : Result or None
        The target's report, its failure, or None for no verdict.
    connection_lost : bool
        The target answers over new connections, while an older one is silent.
    """

    report: Result[TargetReport, Fault] | None
    connection_lost: bool = False


class _SharedReport:
    """A report over a new connection that several probes wait for."""

    __slots__ = ("done", "result")

    def __init__(self):
        self.done = trio.Event()
        self.result: Result[TargetReport, Fault] = Error(
            fault(ResultCode.STREAM_SILENT, "probe ended")
        )


class _Answer:
    """Holds the answers to a probe as they arrive.

    Attributes
    ----------
    result : Result or None
        The answer over the first connection.
    again : Result or None
        The answer over a new connection.
    another_answered : bool or None
        Whether another target answered; None while that is open.
    """

    __slots__ = (
        "_changed",
        "again",
        "another_answered",
        "arrived",
        "connection_lost",
        "result",
    )

    def __init__(self):
        self._changed = trio.Event()
        self.again: Result[TargetReport, Fault] | None = None
        self.another_answered: bool | None = None
        self.arrived = trio.Event()
        self.connection_lost = False
        self.result: Result[TargetReport, Fault] | None = None

    @property
    def again_ok(self) -> bool:
        """Return whether the target answered over a new connection."""
        return self.again is not None and self.again.is_ok()

    def is_decided(self, suspicious: bool) -> bool:
        """Return whether nothing more has to be waited for.

        Parameters
        ----------
        suspicious : bool
            Several links of this host are down, so that an answer of another target
            proves nothing of this one.
        """
        if self.result is not None and self.result.is_ok():
            return True
        if self.again_ok or (self.another_answered and not suspicious):
            return True
        return self.again is not None and self.another_answered is not None

    def note_change(self) -> None:
        """Wake who waits for the next answer."""
        changed, self._changed = self._changed, trio.Event()
        changed.set()

    async def wait_for_change(self) -> None:
        """Wait for the next answer."""
        await self._changed.wait()

    def failed_or_late(self, waited_s: float, limit_s: float) -> bool:
        """Return whether the only evidence is that no answer came in time.

        A connection that another host could not open either is immediate evidence of
        a failure.  One that could not be opened in time counts as a missing answer,
        and so does an open connection that broke.
        """
        if self.result is None:
            return True
        if self.result.is_ok():
            return False
        return self.result.error.code in BROKEN_CODES or waited_s >= min(
            limit_s, CONNECT_TIMEOUT_S
        )
