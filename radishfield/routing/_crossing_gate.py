"""Whether this host may use a link at the moment, while others choose at once.

Load pattern: targets that many streams pass are lost at the same moment.  All hosts
see the same link free, and choose it within the tenths of a second in which none has
heard of the others yet: twenty prompts stand where there is room for three.  What the
others will do is guessed by what this host does itself, since callers are spread over
the hosts by chance; and each host takes a link with the chance that, with all of them,
fills its room and no more.
"""

import random

import msgspec

from radishfield.routing._links import FULL_SHARE, WINDOW_S, Pair

TELL_S = 0.75
"""Time until most others know of a prompt that was sent: their next status, a sum,
and its way on."""


class _Draw(msgspec.Struct, frozen=True):
    """What was drawn for a link, and until when it holds."""

    until: float
    is_open: bool


def room_prompts(share: float, transfer_ms: float) -> float:
    """Return how many prompts a link takes at once until it is full."""
    if transfer_ms <= 0:
        return float("inf")
    return max(0.0, FULL_SHARE - share) * WINDOW_S * 1e3 / transfer_ms


def draw(room: float, contenders: float, chance: random.Random) -> bool:
    """Return whether one of many that want a link at once may use it."""
    return contenders <= room or chance.random() < room / contenders


class CrossingGate(msgspec.Struct):
    """One draw for each link, which holds until others know what came of it.

    Drawn anew at each look of a waiting stream, every host would come through.
    """

    _draw_by_pair: dict[Pair, _Draw] = msgspec.field(default_factory=dict)

    def is_open(
        self,
        pair: Pair,
        room: float,
        contenders: float,
        now: float,
        chance: random.Random,
    ) -> bool:
        """Return whether this host may use a link now."""
        if contenders <= room:
            return True
        drawn = self._draw_by_pair.get(pair)
        if drawn is None or now >= drawn.until:
            drawn = _Draw(now + TELL_S, draw(room, contenders, chance))
            self._draw_by_pair[pair] = drawn
        return drawn.is_open

    def used(self, pair: Pair, now: float) -> None:
        """Note that this host has sent a prompt: its turn is over for the moment."""
        self._draw_by_pair[pair] = _Draw(now + TELL_S, False)
