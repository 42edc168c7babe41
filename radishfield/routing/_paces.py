"""Detection of targets that are slower than others of their kind.

A target may become slow without failing.  Its health check passes and its streams go
on, each token a little late, and of hundreds of hosts each sees a stream or two of
them.  Callers then wait all evening without any error.  So a host compares the pauses
of its streams with what their paths should take.  Where a stream is slower than is
typical at its host, the targets of its path are queried for their slowdown factor, or
pace, which identifies the slow one.  The host reports it, and all hosts send less
there, in proportion.
"""

import math
from collections.abc import Iterable, Mapping

import msgspec

SLOW_RATIO = 1.6
"""Multiple of the typical ratio of pause to path time from which a stream's targets are
queried.  A target of twice its time makes a path of four stages a quarter slower at the
least, and mostly twice as slow, since the others wait for it."""

MIN_STREAMS = 5
"""Streams measured before a host knows the typical ratio."""

RATIO_DECAY = 0.95
"""Weight of the past in the typical ratio: about the last twenty streams count."""

MAX_NORMAL_SLOWDOWN = 1.1
"""Slowdown factor up to which a target counts as being like its kind."""

LIFETIME_S = 5.0
"""A slowdown factor that was not confirmed for this long is dropped, so that a target
that has recovered gets its part of the work back."""

QUERY_AGAIN_S = 2.0
"""Age from which the slowdown factor of a slow target is queried again."""


class _Measurement(msgspec.Struct, frozen=True):
    slowdown: float
    at: float


class SlowdownTable(msgspec.Struct):
    """Slowdown factors of targets, queried by this host or reported by others."""

    _measurement_by_id: dict[str, _Measurement] = msgspec.field(default_factory=dict)
    _typical_ratio: float = 0.0
    _measured_streams: int = 0

    def learn(self, pause_ms: float, path_ms: float) -> None:
        """Update the typical ratio with a stream that runs normally."""
        ratio = pause_ms / path_ms
        if not self._measured_streams:
            self._typical_ratio = ratio
        self._measured_streams += 1
        weight = 1.0 - RATIO_DECAY
        self._typical_ratio += weight * (ratio - self._typical_ratio)

    def is_slow(self, pause_ms: float, path_ms: float) -> bool:
        """Return whether a stream is slower than its path explains."""
        if self._measured_streams < MIN_STREAMS:
            return False
        return pause_ms / path_ms >= SLOW_RATIO * self._typical_ratio

    def note(self, target_id: str, slowdown: float, now: float) -> bool:
        """Record a target's slowdown factor as of ``now``.

        Return whether the target became slow or recovered.
        """
        before = self._measurement_by_id.get(target_id)
        if before is not None and before.at > now:
            return False
        was_slow = before is not None and before.slowdown > MAX_NORMAL_SLOWDOWN
        if not was_slow and slowdown <= MAX_NORMAL_SLOWDOWN:
            return False
        self._measurement_by_id[target_id] = _Measurement(slowdown, now)
        return was_slow != (slowdown > MAX_NORMAL_SLOWDOWN)

    def expire(self, now: float) -> None:
        """Drop factors that were not confirmed for too long."""
        self._measurement_by_id = {
            target_id: known
            for target_id, known in self._measurement_by_id.items()
            if now - known.at < LIFETIME_S
        }

    def by_id(self) -> Mapping[str, float]:
        """Return the slowdown factor of each target that is known to be slow."""
        return {
            target_id: known.slowdown
            for target_id, known in self._measurement_by_id.items()
            if known.slowdown > MAX_NORMAL_SLOWDOWN
        }

    def known(self, now: float) -> Iterable[tuple[str, float, float]]:
        """Return target, slowdown factor and age of each record, for other hosts."""
        return [
            (target_id, known.slowdown, now - known.at)
            for target_id, known in self._measurement_by_id.items()
        ]

    def age_s(self, target_id: str, now: float) -> float:
        """Return the age of what is known of a target; infinite if nothing is."""
        known = self._measurement_by_id.get(target_id)
        return math.inf if known is None else now - known.at

    def to_ask(self, now: float) -> list[str]:
        """Return the slow targets whose slowdown factor is to be confirmed."""
        return [
            target_id
            for target_id, known in self._measurement_by_id.items()
            if known.slowdown > MAX_NORMAL_SLOWDOWN and now - known.at >= QUERY_AGAIN_S
        ]
