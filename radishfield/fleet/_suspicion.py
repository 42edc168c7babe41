"""Timeout for a suspect member to refute, after Lifeguard: pure.

Hosts are busy in bursts.  With a fixed timeout, either busy hosts are declared
dead in each burst, or dead ones are noticed late.  So the timeout is long for a
suspicion that no other host shares, and gets shorter with each host that reaches
it independently.
"""

import math

SUSPICION_FACTOR = 3.0
"""Times log10 of the fleet size, in probe periods; 3 to 5 is typical for SWIM."""

UNCONFIRMED_FACTOR = 3.0
"""A suspicion that no other host shares has a timeout three times as long."""

CONFIRMATIONS = 3
"""Further accusers after which the shortest timeout holds (Lifeguard's k)."""


def suspicion_s(members: int, accusers: int, period_s: float) -> float:
    """Return how long a suspicion with so many accusers lasts in a fleet."""
    shortest = SUSPICION_FACTOR * max(1.0, math.log10(members)) * period_s
    longest = shortest * UNCONFIRMED_FACTOR
    # A fleet too small for so many accusers needs fewer.
    needed = min(CONFIRMATIONS, members - 2)
    if needed < 1:
        return shortest
    shared = math.log(max(1, accusers)) / math.log(needed + 1)
    return max(shortest, longest - (longest - shortest) * shared)
