"""Limits the rate of calls and retries to the platform.

When the platform fails or slows down, every host retries at once.  Without a bound
the retries alone exceed the platform's rate limit, which does not grow with the
fleet, and keep the platform from recovering.  Each host therefore has a call budget
and waits for a random time that grows with each failure.  Nothing here reads the
clock: the time is an argument.
"""

import random

import msgspec

CALLS_PER_S = 5.0
"""Sustained rate of one host: 340 hosts stay below the limit of 2,000 reads."""

BURST_CALLS = 40.0
"""Enough for a start (some lists) and a few changes by operators."""

ERA_SPREAD_S = 3.0
"""Time over which the hosts of a fleet write and read their own objects again after
the platform's store came back from a copy: some hundred calls a second of 340 hosts."""

BASE_BACKOFF_S = 0.1
MAX_BACKOFF_S = 5.0


class CallBudget(msgspec.Struct):
    """A token bucket; a call that finds it empty is refused, not queued."""

    calls_per_s: float = CALLS_PER_S
    burst: float = BURST_CALLS
    level: float = BURST_CALLS
    refilled_at: float = 0.0

    def take(self, now: float) -> bool:
        """Use one call of the budget; return False if none is left."""
        refill = (now - self.refilled_at) * self.calls_per_s
        self.level = min(self.burst, self.level + max(0.0, refill))
        self.refilled_at = now
        if self.level < 1.0:
            return False
        self.level -= 1.0
        return True

    def next_call_in_s(self) -> float:
        """Return the seconds until the budget allows the next call."""
        return max(0.0, (1.0 - self.level) / self.calls_per_s)


def backoff_s(failures: int, rng: random.Random) -> float:
    """Return how long to wait after this number of failures in a row.

    The wait is random so that hosts that failed together do not retry together.
    """
    ceiling = min(MAX_BACKOFF_S, BASE_BACKOFF_S * 2 ** min(failures, 10))
    return rng.uniform(ceiling / 4, ceiling)
