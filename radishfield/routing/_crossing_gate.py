"""Limit on the use of a link by hosts that choose it at the same moment.

When targets that many streams pass become unreachable at the same moment, all hosts see
the same link free, and choose it within the tenths of a second before any of them has
received a report from the others.  Twenty prompts then wait where three fit.  A host
estimates what the others will do from what it does itself, since callers are spread
over the hosts at random.  Each host uses a link with the probability at which all hosts
together fill its free capacity and no more.
"""

import random

import msgspec

from radishfield.routing._links import FULL_SHARE, WINDOW_S, Pair

ANNOUNCE_DELAY_S = 0.75
"""Time until most other hosts know of a prompt that was sent.  It takes the next
status, the zone total made from it, and the forwarding of that total."""


class _Draw(msgspec.Struct, frozen=True):
    """Result of a draw for a link, and the time until which it is valid."""

    valid_until: float
    is_open: bool


def free_prompt_capacity(share: float, transfer_ms: float) -> float:
    """Return how many prompts a link takes at once until it is full."""
    if transfer_ms <= 0:
        return float("inf")
    return max(0.0, FULL_SHARE - share) * WINDOW_S * 1e3 / transfer_ms


def draw(room: float, contenders: float, rng: random.Random) -> bool:
    """Return at random whether one of several contenders for a link may use it."""
    return contenders <= room or rng.random() < room / contenders


class CrossingGate(msgspec.Struct):
    """One draw for each link, which is valid until others know its effect.

    If each check of a waiting stream made a new draw, every host would get through.
    """

    _draw_by_pair: dict[Pair, _Draw] = msgspec.field(default_factory=dict)

    def is_open(
        self,
        pair: Pair,
        room: float,
        contenders: float,
        now: float,
        rng: random.Random,
    ) -> bool:
        """Return whether this host may use a link now."""
        if contenders <= room:
            return True
        current = self._draw_by_pair.get(pair)
        if current is None or now >= current.valid_until:
            current = _Draw(now + ANNOUNCE_DELAY_S, draw(room, contenders, rng))
            self._draw_by_pair[pair] = current
        return current.is_open

    def used(self, pair: Pair, now: float) -> None:
        """Record a prompt sent by this host.

        This closes its draw for ``ANNOUNCE_DELAY_S``.
        """
        self._draw_by_pair[pair] = _Draw(now + ANNOUNCE_DELAY_S, False)
