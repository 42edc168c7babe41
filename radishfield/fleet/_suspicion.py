"""How long a suspect member has to refute, after Lifeguard: pure.

Pattern of load: hosts are busy in waves.  With a fixed timeout either the busy
ones die in each wave, or the dead ones are noticed late.  So the wait is long
for a suspicion that nobody shares, and gets shorter with each host that found
the same by itself.
"""

import math

SUSPICION_FACTOR = 3.0
"""Times log10 of the size, in probe periods: SWIM's usual range is 3 to 5."""

LONG_SUSPICION = 3.0
"""An accusation that nobody shares gets three times as long to be refuted."""

CONFIRMATIONS = 3
"""Independent accusers after which the shortest timeout holds (Lifeguard's k)."""


def suspicion_s(members: int, accusers: int, period_s: float) -> float:
    """Return how long a suspicion lasts that so many members share."""
    shortest = SUSPICION_FACTOR * max(1.0, math.log10(members)) * period_s
    longest = shortest * LONG_SUSPICION
    # In a fleet too small for so many accusers, fewer have to do.
    needed = min(CONFIRMATIONS, members - 2)
    if needed < 1:
        return shortest
    shared = math.log(max(1, accusers)) / math.log(needed + 1)
    return max(shortest, longest - (longest - shortest) * shared)
