"""Whether a request to a plain service can still be answered within its deadline.

Load: all targets of a service answer several times slower than callers wait.  Each
request would take a slot for an answer that nobody reads, and its caller would learn of
it at the deadline only.

Only what fresh answers show counts: where one target is unknown, or one answer came in
time, the request is sent.  Some are sent all the same, since nothing else would show
when a target is fast again.
"""

import math
from collections.abc import Sequence

import msgspec

from radishfield.capacity._answer_times import KnownTimes

MIN_FRESH_ANSWERS = 8
"""Answers of each target in the last second without which nothing is refused: answer
times scatter fivefold."""

TRY_INTERVAL_S = 0.25
"""Interval at which a host sends a request of a service all the same: its answer shows
when the targets are fast again."""

COMEBACK_S = 1.0
"""When a caller may come back: until then all hosts learn of a target that is fast."""

REACHED_SHARE = 0.97
"""Share of the time that is left, from which an answer is as good as late.  Requests
that were given up at their deadline have waited this long at least."""


class Unreachable(msgspec.Struct, frozen=True):
    """Why no target can answer in time.

    Attributes
    ----------
    left_s, fastest_s : float
        Time that is left, and the fastest answer of all targets.
    answers : int
        Answers that show it.
    """

    left_s: float
    fastest_s: float
    answers: int


class DeadlineGate(msgspec.Struct):
    """Refuses requests that are late for sure, but for some that try the targets."""

    _tried_at_by_service: dict[str, float] = msgspec.field(default_factory=dict)

    def refuse(
        self, service: str, known: Sequence[KnownTimes], left_s: float, now: float
    ) -> Unreachable | None:
        """Return why a request is refused; None if it is to be sent."""
        reason = unreachable(known, left_s)
        if reason is None:
            return None
        if now - self._tried_at_by_service.get(service, -math.inf) >= TRY_INTERVAL_S:
            self._tried_at_by_service[service] = now
            return None
        return reason


def unreachable(known: Sequence[KnownTimes], left_s: float) -> Unreachable | None:
    """Return why no target can answer within ``left_s``; None if one may.

    Parameters
    ----------
    known : sequence
        What is known of each target that could be sent the request.
    """
    enough_s = REACHED_SHARE * left_s
    answers = [_late_answers(times, enough_s) for times in known]
    if not answers or min(answers) < MIN_FRESH_ANSWERS:
        return None
    fastest_s = min(
        times.fastest_s if times.fresh else times.waited_s for times in known
    )
    return Unreachable(left_s, fastest_s, sum(answers))


def _late_answers(times: KnownTimes, enough_s: float) -> int:
    """Return how many answers show a target to be late; 0 if one was in time."""
    if times.fresh and times.fastest_s < enough_s:
        return 0
    # A shorter wait shows nothing: its answer may have come in time.
    return times.fresh + (times.waits if times.waited_s >= enough_s else 0)
