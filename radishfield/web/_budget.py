"""How often the platform may be called again: pure, time is an argument.

Pattern of load: the platform fails or slows down and every host asks again at
once.  Without a bound the retries alone pass the platform's rate limit, which
does not grow with the fleet, and keep it from coming back.  Each host therefore
has a budget of calls, and waits longer, at random, after each failure.
"""

import random

import msgspec

CALLS_PER_S = 5.0
"""A host's steady calls: 340 hosts together stay below the 2,000 reads."""

BURST_CALLS = 40.0
"""Enough for a start (some lists) and a handful of operators' changes."""

FIRST_BACKOFF_S = 0.1
LONGEST_BACKOFF_S = 5.0


class CallBudget(msgspec.Struct):
    """A token bucket; a call that finds it empty is refused, not queued."""

    calls_per_s: float = CALLS_PER_S
    burst: float = BURST_CALLS
    level: float = BURST_CALLS
    filled_at: float = 0.0

    def take(self, now: float) -> bool:
        """Take one call out; False if the budget is spent."""
        refill = (now - self.filled_at) * self.calls_per_s
        self.level = min(self.burst, self.level + max(0.0, refill))
        self.filled_at = now
        if self.level < 1.0:
            return False
        self.level -= 1.0
        return True

    def next_call_in_s(self) -> float:
        """Return the seconds until the next call fits the budget."""
        return max(0.0, (1.0 - self.level) / self.calls_per_s)


def backoff_s(failures: int, chance: random.Random) -> float:
    """Return how long to wait after so many failures in a row.

    Full jitter: hosts that failed together do not come back together.
    """
    ceiling = min(LONGEST_BACKOFF_S, FIRST_BACKOFF_S * 2 ** min(failures, 10))
    return chance.uniform(ceiling / 4, ceiling)
