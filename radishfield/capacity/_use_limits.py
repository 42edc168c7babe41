"""How much a plain target may hold at once, found from its answer times.

Load: a target answers several times slower once its last slots are in use, and the
others have room.  No field of its entry says so, and its mean answer time hides it:
most answers come from before.  As gradient limits do, the time of answers that were
sent at high use is compared with that at low use.
"""

from collections import deque

import msgspec

from radishfield.capacity._answer_times import Incarnation

COMPARED_S = 4.0
"""Answers of the last seconds that are compared: older ones may come from another
condition of the target."""

MAX_SAMPLES = 256
"""Answers kept for each target."""

MIN_SAMPLES = 8
"""Answers at low and at high use from which a limit is found: their means scatter by
less than a third."""

SLOWED = 1.8
"""Times by which answers at high use take longer than at low use where the target is
slowed by it.  Below, more requests at once are worth their time."""

LOW_USE = 0.5
"""Share of a target's slots up to which its use is low, and below which no limit is
set: a false one leaves half of the target."""

LIMIT_LIFE_S = 10.0
"""Time for which a limit holds: then a few requests find out whether it still does."""

TOLD_LIFE_S = 1.5
"""Age from which a limit that another host told counts for nothing."""


class UseLimit(msgspec.Struct, frozen=True):
    """A limit that was found, and by what.

    Attributes
    ----------
    held : int
        Requests that the target should hold at most, from all hosts.
    low_s, high_s : float
        Mean answer times at low use and beyond the limit.
    until : float
        When it ends.
    """

    held: int
    low_s: float
    high_s: float
    until: float


class UseLimits(msgspec.Struct):
    """Limits by incarnation of plain targets."""

    _samples: dict[Incarnation, deque[tuple[float, int, float]]] = msgspec.field(
        default_factory=dict
    )
    _limit_by_target: dict[Incarnation, UseLimit] = msgspec.field(default_factory=dict)

    def answered(
        self, target: Incarnation, slots: int, held: int, taken_s: float, now: float
    ) -> UseLimit | None:
        """Record an answer; return the limit if it was found by this one.

        Parameters
        ----------
        held : int
            Requests that the target held when this one was sent, itself included.
        """
        samples = self._samples.setdefault(target, deque(maxlen=MAX_SAMPLES))
        samples.append((now, held, taken_s))
        while samples[0][0] <= now - COMPARED_S:
            samples.popleft()
        if self._current(target, now) is not None:
            return None
        found = find_limit(
            [(held, taken_s) for _, held, taken_s in samples], slots, now
        )
        if found is not None:
            self._limit_by_target[target] = found
        return found

    def learn(self, target: Incarnation, held: int, now: float) -> None:
        """Adopt a limit that another host found; it ends when nobody tells it."""
        if held > 0 and not self.own(target, now):
            limit = UseLimit(held, 0.0, 0.0, now + TOLD_LIFE_S)
            self._limit_by_target[target] = limit

    def limit(self, target: Incarnation, slots: int, now: float) -> int | None:
        """Return the requests that a target should hold; None if any number."""
        found = self._current(target, now)
        return None if found is None else max(found.held, low_use(slots))

    def own(self, target: Incarnation, now: float) -> int:
        """Return the limit that this host found itself; 0 if none."""
        found = self._current(target, now)
        return found.held if found is not None and found.high_s else 0

    def expire(self, now: float) -> None:
        """Forget targets that sent no answer for a while, and limits that ended."""
        for target, samples in list(self._samples.items()):
            if samples[-1][0] <= now - COMPARED_S:
                del self._samples[target]
        for target in list(self._limit_by_target):
            self._current(target, now)

    def _current(self, target: Incarnation, now: float) -> UseLimit | None:
        found = self._limit_by_target.get(target)
        if found is not None and now >= found.until:
            del self._limit_by_target[target]
            return None
        return found


def low_use(slots: int) -> int:
    """Return up to how many requests a target's use is low."""
    return max(1, int(slots * LOW_USE))


def find_limit(
    samples: list[tuple[int, float]], slots: int, now: float
) -> UseLimit | None:
    """Return the largest use at which a target is not slowed; None if it never is.

    Parameters
    ----------
    samples : list of tuple
        Requests held and answer time, of each answer.
    """
    least = low_use(slots)
    low = [taken_s for held, taken_s in samples if held <= least]
    if len(low) < MIN_SAMPLES or slots <= 1:
        return None
    low_s = sum(low) / len(low)
    for held in range(least, slots):
        high = [taken_s for used, taken_s in samples if used == held + 1]
        if len(high) >= MIN_SAMPLES and sum(high) / len(high) > SLOWED * low_s:
            return UseLimit(held, low_s, sum(high) / len(high), now + LIMIT_LIFE_S)
    return None
