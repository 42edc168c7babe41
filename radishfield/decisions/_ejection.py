"""Which targets are left out for a while, and how they come back.

Load pattern: one target of thirty turns ten times slower and says nothing, or
one fails each request that reaches it.  Since every answer passes through
several targets, a single bad one spoils a large part of all answers, and
least-in-flight routing keeps refilling it as it fails fast.

- Failures in a row eject; how many depends on how much the failure proves.
- Slowness is judged by the fastest answers that passed a target: a healthy
  target has fast answers among the slow ones of its bad neighbours, a slow one
  has none.  It is compared with the median target, so that a loaded fleet as a
  whole is not taken for slow.
- At most a part of the targets is out for slowness, since a wrong judgement of
  all would be worse than any slow target.
- A target returns with a small weight; one more failure sends it out for twice
  as long.
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
"""A refused connection proves most.  Silence may be the path's fault, not the
target's, so the path is tried anew first; an error may be the request's."""

FIRST_EJECTION_S = 2.0
MAX_EJECTION_S = 60.0
"""Two seconds is a restarted path; a minute keeps probes of a dead target under
one in a thousand requests."""

MAX_SLOW_PART = 0.2
"""Part of the targets that may be out for slowness at a time."""

SLOW_RATIO = 1.6
"""Answers that take this many times the median target's.  With four stages, one
stage three times slower makes an answer 1.5 times slower."""

MIN_SAMPLES = 4
"""Answers before slowness is judged."""

DECAY_UP = 0.08
DECAY_DOWN = 0.5
"""Follow a fast answer at once and slow ones over a dozen: a low quantile."""


@dataclass(slots=True)
class Health:
    """What is known of one target."""

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
        """Count a failure; True if the target is to be ejected now."""
        needed = FAILURES_TO_EJECT.get(kind)
        if needed is None:
            return False
        health = self._health(target_id)
        health.failures += 1
        returning = health.ejections > 0 and health.ejected_until is None
        if health.ejected_until is not None:
            return False
        if health.failures < needed and not returning:
            return False
        self._eject(health, now)
        return True

    def answered(self, target_id: str, ratio: float) -> None:
        """Note an answer's time over the expected time of its route."""
        health = self._health(target_id)
        health.failures = 0
        health.samples += 1
        decay = DECAY_DOWN if ratio < health.ratio else DECAY_UP
        if health.samples == 1:
            decay = 1.0
        health.ratio += decay * (ratio - health.ratio)

    def succeeded(self, target_id: str) -> None:
        """Note that a whole answer passed a target: it is trusted again."""
        health = self._health(target_id)
        health.failures = 0
        if health.ejected_until is None and not health.slow:
            health.ejections = 0

    def eject_slow(self, target_ids: list[str], now: float) -> list[str]:
        """Eject the slowest targets, within the cap; return their ids."""
        judged = [
            (health.ratio, target_id)
            for target_id in target_ids
            if (health := self._health(target_id)).samples >= _needed(health)
        ]
        if len(judged) < 3:
            return []
        median = statistics.median(ratio for ratio, _ in judged)
        room = max(1, int(MAX_SLOW_PART * len(target_ids)))
        room -= sum(self._health(t).ejected_until is not None for t in target_ids)
        ejected = []
        for ratio, target_id in sorted(judged, reverse=True):
            health = self._health(target_id)
            if ratio < SLOW_RATIO * median:
                health.slow = False
            elif len(ejected) < room and health.ejected_until is None:
                health.slow = True
                self._eject(health, now)
                ejected.append(target_id)
        return ejected

    def readmit(self, now: float) -> list[str]:
        """Return targets whose time is over; they are on trial from now."""
        returned = [
            target_id
            for target_id, health in self._health_by_id.items()
            if health.ejected_until is not None and health.ejected_until <= now
        ]
        self.release(returned)
        return returned

    def release(self, target_ids: Sequence[str]) -> None:
        """End the ejection of targets; they are on trial from now."""
        for target_id in target_ids:
            health = self._health(target_id)
            health.ejected_until = None
            health.failures = 0
            health.samples = 0

    def next_return(self) -> float | None:
        """Return when the next target comes back."""
        times = [
            health.ejected_until
            for health in self._health_by_id.values()
            if health.ejected_until is not None
        ]
        return min(times, default=None)

    def _health(self, target_id: str) -> Health:
        return self._health_by_id.setdefault(target_id, Health())

    def _eject(self, health: Health, now: float) -> None:
        lasts = min(MAX_EJECTION_S, FIRST_EJECTION_S * 2**health.ejections)
        health.ejections += 1
        health.failures = 0
        health.ejected_until = now + lasts


def _needed(health: Health) -> int:
    """Return the answers to judge by: on trial for slowness, one is enough."""
    return 1 if health.slow else MIN_SAMPLES
