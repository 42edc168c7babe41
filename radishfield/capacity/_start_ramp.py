"""How much a plain target may hold while its answer times are not known yet.

Load: a target has just started, perhaps again under its id, and answers more slowly for
some seconds; or it was avoided as slow until all its answers were forgotten.  It is
idle, so that all hosts send it their next requests at once.

It may hold one request more with each answer, as a connection does in its slow start.
"""

import msgspec

from radishfield.capacity._answer_times import Incarnation

START_HELD = 1
"""Requests that a target without known answers may hold."""

RAMP_S = 2.0
"""Time from the first known answer after which a target may hold any number.  Targets
whose answers take long would else be held to the few that end while answers count."""

FORGET_S = 10.0
"""Time after which a target is forgotten that nobody asked for."""


class _Known(msgspec.Struct):
    since: float
    asked_at: float


class StartRamp(msgspec.Struct):
    """Since when answers of plain targets are known, by incarnation."""

    _known: dict[Incarnation, _Known] = msgspec.field(default_factory=dict)

    def holds_enough(
        self, target: Incarnation, held: int, answers: int, now: float
    ) -> bool:
        """Return whether a target should get no more for now.

        Parameters
        ----------
        held : int
            Requests that it holds, from all hosts.
        answers : int
            Its answers that are known.
        """
        if not answers:
            self._known.pop(target, None)
            return held >= START_HELD
        known = self._known.setdefault(target, _Known(now, now))
        known.asked_at = now
        return now - known.since < RAMP_S and held >= START_HELD + answers

    def expire(self, now: float) -> None:
        """Forget targets that nobody asked for."""
        for target, known in list(self._known.items()):
            if now - known.asked_at >= FORGET_S:
                del self._known[target]
