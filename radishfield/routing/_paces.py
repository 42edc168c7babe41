"""Which targets are slower than their kind, found from the streams that pass them.

Load pattern: a target turns slow and never fails.  Its health check is good, its
streams go on, each token a little late, and of hundreds of hosts each sees a stream or
two of them: callers wait all evening and nobody sees an error.  So a host compares the
pauses of its streams with what their paths should take.  Where a stream is slower than
its host's streams usually are, the targets of its path are asked for their pace, which
names the slow one; the host tells it, and all hosts send there less, in proportion.
"""

import math
from collections.abc import Iterable, Mapping

import msgspec

SLOW_RATIO = 1.6
"""Times the usual ratio of pause to path from which on a stream's targets are asked: a
target of twice its time makes a path of four parts a quarter slower at the least, and
mostly twice as slow, since the others wait for it."""

LEAST_STREAMS = 5
"""Streams measured before a host knows what is usual."""

RATIO_MEMORY = 0.95
"""Weight of the past in the usual ratio: the last twenty streams count."""

NORMAL_PACE = 1.1
"""Pace up to which a target counts as being like its kind."""

LIFETIME_S = 5.0
"""A pace that was not confirmed for this long is forgotten, so that a target which is
well again gets its part of the work back."""

ASK_AGAIN_S = 2.0
"""Age from which on the pace of a slow target is asked again."""


class _Known(msgspec.Struct, frozen=True):
    pace: float
    at: float


class Paces(msgspec.Struct):
    """What is known of the targets' pace, first-hand or told."""

    _known_by_id: dict[str, _Known] = msgspec.field(default_factory=dict)
    _usual_ratio: float = 0.0
    _measured: int = 0

    def learn(self, pause_ms: float, path_ms: float) -> None:
        """Learn from a stream that goes its usual way."""
        ratio = pause_ms / path_ms
        if not self._measured:
            self._usual_ratio = ratio
        self._measured += 1
        weight = 1.0 - RATIO_MEMORY
        self._usual_ratio += weight * (ratio - self._usual_ratio)

    def is_slow(self, pause_ms: float, path_ms: float) -> bool:
        """Return whether a stream is slower than its path explains."""
        if self._measured < LEAST_STREAMS:
            return False
        return pause_ms / path_ms >= SLOW_RATIO * self._usual_ratio

    def note(self, target_id: str, pace: float, now: float) -> bool:
        """Take a target's pace as of ``now``; return whether it turned slow or well."""
        before = self._known_by_id.get(target_id)
        if before is not None and before.at > now:
            return False
        was_slow = before is not None and before.pace > NORMAL_PACE
        if not was_slow and pace <= NORMAL_PACE:
            return False
        self._known_by_id[target_id] = _Known(pace, now)
        return was_slow != (pace > NORMAL_PACE)

    def expire(self, now: float) -> None:
        """Forget what was not confirmed for too long."""
        self._known_by_id = {
            target_id: known
            for target_id, known in self._known_by_id.items()
            if now - known.at < LIFETIME_S
        }

    def by_id(self) -> Mapping[str, float]:
        """Return the pace of each target that is known to be slow."""
        return {
            target_id: known.pace
            for target_id, known in self._known_by_id.items()
            if known.pace > NORMAL_PACE
        }

    def known(self, now: float) -> Iterable[tuple[str, float, float]]:
        """Return target, pace and age of what others should know."""
        return [
            (target_id, known.pace, now - known.at)
            for target_id, known in self._known_by_id.items()
        ]

    def age_s(self, target_id: str, now: float) -> float:
        """Return how old what is known of a target is; infinite where nothing is."""
        known = self._known_by_id.get(target_id)
        return math.inf if known is None else now - known.at

    def to_ask(self, now: float) -> list[str]:
        """Return the slow targets whose pace is to be confirmed."""
        return [
            target_id
            for target_id, known in self._known_by_id.items()
            if known.pace > NORMAL_PACE and now - known.at >= ASK_AGAIN_S
        ]
