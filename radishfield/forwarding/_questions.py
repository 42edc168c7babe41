"""Questions to targets, and when silence is an answer."""

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
"""Time that an answer is waited for beyond its limit, while other targets are asked."""
LEAST_PROBE_S = 0.02
"""Shortest time that a probe waits: a live target of the zone answers in two
milliseconds, a busy host reads the answer some later."""
USUAL_ANSWERS = 5.0
"""Usual answer times of its zone that a probe waits for."""
ANSWER_MEMORY = 0.8
"""Weight of the past in a zone's usual answer time."""


class TargetQuestions:
    """Asks targets for reports, and judges those that do not answer in time.

    Parameters
    ----------
    heard_since : callable
        Returns whether an event came through a target after a reading of the clock.
    """

    __slots__ = (
        "_answer_s_by_zone",
        "_answered_at_by_zone",
        "_asking",
        "_clock",
        "_heard_since",
        "_targets",
        "_witness",
    )

    def __init__(
        self,
        targets: Targets,
        view: RouterView,
        heard_since: Callable[[str, float], bool],
    ):
        self._targets = targets
        self._clock = view.clock
        self._heard_since = heard_since
        self._witness = WitnessProbe(targets, view)
        self._asking: set[str] = set()
        self._answer_s_by_zone: dict[str, float] = {}
        self._answered_at_by_zone: dict[str, float] = {}

    def unanswered_s(self, zone: str) -> float:
        """Return how long ago a target of a zone answered, or was asked, last."""
        return self._clock.now() - self._answered_at_by_zone.get(zone, -1e9)

    def note_asked(self, zone: str) -> None:
        """Note that a target of a zone is being asked, so that no other one is."""
        self._answered_at_by_zone[zone] = self._clock.now()

    def note_answer(self, zone: str, answer_s: float) -> None:
        """Take an answer time into the zone's usual one."""
        before_s = self._answer_s_by_zone.get(zone, answer_s)
        usual_s = ANSWER_MEMORY * before_s + (1 - ANSWER_MEMORY) * answer_s
        self._answer_s_by_zone[zone] = usual_s
        self._answered_at_by_zone[zone] = self._clock.now()

    def probe_limit_s(self, zone: str) -> float:
        """Return how long a probe of a zone's target waits."""
        usual_s = self._answer_s_by_zone.get(zone)
        if usual_s is None:
            return REPORT_TIMEOUT_S
        return min(REPORT_TIMEOUT_S, max(LEAST_PROBE_S, USUAL_ANSWERS * usual_s))

    async def ask(
        self, record: TargetRecord, limit_s: float, witnesses: trio.Nursery
    ) -> Result[TargetReport, Fault] | None:
        """Ask a target; return its report, its failure, or None for no verdict.

        An answer that is late is a failure only if this host hears others in time.

        Parameters
        ----------
        witnesses : trio.Nursery
            Where other targets are asked; outlives this question.
        """
        asked_at = self._clock.now()
        answer = _Answer()
        self._asking.add(record.id)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._report_into, record, answer)
                with trio.move_on_after(limit_s):
                    await answer.came.wait()
                if answer.failed_or_late(self._clock.now() - asked_at, limit_s):
                    await self._judge_late(record, asked_at, answer, witnesses)
                nursery.cancel_scope.cancel()
        finally:
            self._asking.discard(record.id)
        return answer.result

    async def _report_into(self, record: TargetRecord, answer: "_Answer") -> None:
        limit_s = REPORT_TIMEOUT_S + WITNESS_TIMEOUT_S
        answer.result = await self._targets.report(record, limit_s)
        answer.came.set()

    async def _judge_late(
        self,
        record: TargetRecord,
        asked_at: float,
        answer: "_Answer",
        witnesses: trio.Nursery,
    ) -> None:
        """Wait for an answer that is late, or for another target's that proves it."""
        hears = await self._witness.hears(record.id, asked_at, self._asking, witnesses)
        if hears and answer.result is None:
            # A new connection takes one way more than the other target's kept one.
            with trio.move_on_after(self.probe_limit_s(record.zone)):
                await answer.came.wait()
        if answer.result is not None and answer.result.is_ok():
            return
        if not hears or self._heard_since(record.id, asked_at):
            answer.result = None
        elif answer.result is None:
            detail = f"no answer in {self._clock.now() - asked_at:.3f} s"
            answer.result = Error(fault(ResultCode.STREAM_SILENT, detail))


class _Answer:
    """A target's answer, once it came."""

    __slots__ = ("came", "result")

    def __init__(self):
        self.came = trio.Event()
        self.result: Result[TargetReport, Fault] | None = None

    def failed_or_late(self, waited_s: float, limit_s: float) -> bool:
        """Return whether silence is all that there is to judge by.

        A connection that is refused or reset proves something at once; one that could
        not be opened in its time is silent like any other.
        """
        if self.result is None:
            return True
        return self.result.is_error() and waited_s >= min(limit_s, CONNECT_TIMEOUT_S)
