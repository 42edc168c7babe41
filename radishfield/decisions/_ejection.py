"""Ejects failing and slow targets for a limited time, then readmits them.

One target of thirty may become ten times slower without reporting it, or fail each
request that reaches it.  Since every answer passes through several targets, a
single bad one spoils a large part of all answers, and least-in-flight routing keeps
sending it requests because it fails fast.

- Consecutive failures eject a target; how many depends on how strongly this kind of
  failure indicates a fault of the target.
- Slowness is judged by the fastest answers that passed through a target: a healthy
  target has fast answers among the slow ones of its bad neighbours, a slow one
  has none.  It is compared with the median target, so that a fleet that is loaded
  as a whole is not taken for slow.
- Only a limited fraction of the targets is ejected for slowness at a time, since
  ejecting all by mistake would be worse than any slow target.
- A readmitted target starts with a small weight; one more failure ejects it for
  twice as long.
"""

import statistics
from collections.abc import Sequence
from dataclasses import dataclass

from radishfield.decisions._data import FailureKind

FAILURES_TO_EJECT = {
    FailureKind.CONNECT: 2,
    FailureKind.BROKEN: 2,
    FailureKind.SILENT: 4,
    FailureKind.BAD_RECEIPT: 3,
    FailureKind.ERROR: 5,
}
"""Consecutive failures that eject a target.  A refused connection is the strongest
evidence.  Silence may be the fault of the path and not of the target, so the path
is retried first; an error may be the fault of the request."""

FIRST_EJECTION_S = 2.0
MAX_EJECTION_S = 60.0
"""Two seconds covers the restart of a path; a minute keeps probes of a dead target
under one in a thousand requests."""

MAX_SLOW_FRACTION = 0.2
"""Fraction of the targets that may be ejected for slowness at a time."""

SLOW_RATIO = 1.6
"""Multiple of the median target's answer time from which a target is slow.  With
four stages, one stage three times slower makes an answer 1.5 times slower."""

MIN_SAMPLES = 4
"""Minimum number of answers before slowness is judged."""

SMOOTHING_UP = 0.08
SMOOTHING_DOWN = 0.5
"""A fast answer counts at once and slow ones over a dozen answers, so the smoothed
ratio follows a low quantile."""


@dataclass(slots=True)
class Health:
    """Failures, ejections and relative answer time of one target."""

    failures: int = 0
    ejections: int = 0
    ejected_until: float | None = None
    slow: bool = False
    ratio: float = 1.0
    samples: int = 0


class Ejector:
    """Health of all targets of a pool."""

    __slots__ = ("_health_by_id",)

    def __init__(self):
        self._health_by_id: dict[str, Health] = {}

    def keep_only(self, target_ids: set[str]) -> None:
        """Forget targets that left the fleet."""
        for target_id in self._health_by_id.keys() - target_ids:
            del self._health_by_id[target_id]

    def failed(self, target_id: str, kind: FailureKind, now: float) -> bool:
        """Count a failure; return whether it ejects the target."""
        needed = FAILURES_TO_EJECT.get(kind)
        if needed is None:
            return False
        health = self._health(target_id)
        health.failures += 1
        on_trial = health.ejections > 0 and health.ejected_until is None
        if health.ejected_until is not None:
            return False
        if health.failures < needed and not on_trial:
            return False
        self._eject(health, now)
        return True

    def answered(self, target_id: str, ratio: float) -> None:
        """Record an answer's time divided by the expected time of its route."""
        health = self._health(target_id)
        health.failures = 0
        health.samples += 1
        smoothing = SMOOTHING_DOWN if ratio < health.ratio else SMOOTHING_UP
        if health.samples == 1:
            smoothing = 1.0
        health.ratio += smoothing * (ratio - health.ratio)

    def succeeded(self, target_id: str) -> None:
        """Record a complete answer; it ends the trial of a target that is not slow."""
        health = self._health(target_id)
        health.failures = 0
        if health.ejected_until is None and not health.slow:
            health.ejections = 0

    def eject_slow(self, target_ids: list[str], now: float) -> list[str]:
        """Eject the slowest targets, up to the allowed fraction; return their ids."""
        judged = [
            (health.ratio, target_id)
            for target_id in target_ids
            if (health := self._health(target_id)).samples >= _min_samples(health)
        ]
        if len(judged) < 3:
            return []
        median = statistics.median(ratio for ratio, _ in judged)
        allowed = max(1, int(MAX_SLOW_FRACTION * len(target_ids)))
        allowed -= sum(self._health(t).ejected_until is not None for t in target_ids)
        ejected = []
        for ratio, target_id in sorted(judged, reverse=True):
            health = self._health(target_id)
            if ratio < SLOW_RATIO * median:
                health.slow = False
            elif len(ejected) < allowed and health.ejected_until is None:
                health.slow = True
                self._eject(health, now)
                ejected.append(target_id)
        return ejected

    def readmit(self, now: float) -> list[str]:
        """Readmit targets on trial once their ejection is over; return their ids."""
        readmitted = [
            target_id
            for target_id, health in self._health_by_id.items()
            if health.ejected_until is not None and health.ejected_until <= now
        ]
        self.release(readmitted)
        return readmitted

    def release(self, target_ids: Sequence[str]) -> None:
        """End the ejection of targets and put them on trial."""
        for target_id in target_ids:
            health = self._health(target_id)
            health.ejected_until = None
            health.failures = 0
            health.samples = 0

    def next_readmission(self) -> float | None:
        """Return when the next ejection ends, or None if no target is ejected."""
        times = [
            health.ejected_until
            for health in self._health_by_id.values()
            if health.ejected_until is not None
        ]
        return min(times, default=None)

    def _health(self, target_id: str) -> Health:
        return self._health_by_id.setdefault(target_id, Health())

    def _eject(self, health: Health, now: float) -> None:
        duration_s = min(MAX_EJECTION_S, FIRST_EJECTION_S * 2**health.ejections)
        health.ejections += 1
        health.failures = 0
        health.ejected_until = now + duration_s


def _min_samples(health: Health) -> int:
    """Return the minimum number of answers; after an ejection for slowness, one."""
    return 1 if health.slow else MIN_SAMPLES
