"""Room that less urgent work leaves for the bursts of more urgent work.

Load: bulk work asks for more than the room, and urgent work comes in bursts.  Strict
order among those that wait does not help the urgent: when their burst begins, the room
is taken by bulk work that started a moment before, and nobody waited then.  So bulk
work starts only if what is left covers the urgent arrivals of the time that hosts need
to hear of them (trunk reservation).  From then on all room that is freed goes to the
urgent.

The reserve follows the largest rate of the last seconds: a burst is followed by
another, and room that no burst has used for that long is given back.
"""

import math
from collections import deque
from collections.abc import Sequence

import msgspec

from radishfield.capacity._data import RankDemand, StreamRoom

REACTION_S = 0.5
"""Time until most hosts know of a burst: a status, the zone's sum and its transfer."""

BURST_MEMORY_S = 10.0
"""Time for which a burst is expected again: about five typical streams, so that the
room is not given to bulk work between two bursts of one wave."""

MAX_RESERVED_SHARE = 0.25
"""Largest share of the room that is kept free for work that has not come."""


class Level(msgspec.Struct, frozen=True, order=True):
    """How urgent a stream is: its rank, and within its workspace's share first."""

    rank: int
    is_over_share: bool = False


class UrgentRates(msgspec.Struct):
    """The largest rates of arrival of the last seconds, for each rank and all above."""

    _rates: deque[tuple[float, dict[int, float]]] = msgspec.field(default_factory=deque)

    def note(self, ranks: Sequence[RankDemand], now: float) -> None:
        """Record the rates of all hosts together."""
        rate_by_rank: dict[int, float] = {}
        total = 0.0
        for item in sorted(ranks, key=lambda demand: demand.rank):
            total += item.starts_per_s
            rate_by_rank[item.rank] = total
        self._rates.append((now, rate_by_rank))
        while self._rates[0][0] < now - BURST_MEMORY_S:
            self._rates.popleft()

    def largest_up_to(self, last_rank: int) -> float:
        """Return the largest rate of work up to a rank, in streams per second."""
        return max(
            (
                max(
                    (rate for rank, rate in rates.items() if rank <= last_rank),
                    default=0,
                )
                for _, rates in self._rates
            ),
            default=0.0,
        )


def reserved_streams(
    rate_above: float, room: StreamRoom, over_share: bool = False
) -> float:
    """Return the room that must be left for more urgent work, in streams.

    Parameters
    ----------
    rate_above : float
        Streams per second, of work that goes first.
    """
    expected = rate_above * REACTION_S
    if expected <= 0.0:
        return 0.0
    reserve = math.sqrt(expected) + (expected if over_share else 0.0)
    return min(math.ceil(reserve), MAX_RESERVED_SHARE * room.total)


class StartGrant(msgspec.Struct, frozen=True):
    """Starts that a host may make until the others know of them."""

    until: float
    starts: int


def grant_starts(
    free: float, own_contenders: float, all_contenders: float, draw: float
) -> int:
    """Return how many streams this host may start until others know of them.

    All hosts see the same free room.  If each started what fits, they would together
    start many times that.  Each takes the part of its own callers in all callers.

    Parameters
    ----------
    free : float
        Streams that fit beside the reserve.
    own_contenders, all_contenders : float
        Streams that wait at, or arrive meanwhile at, this host and all hosts.
    draw : float
        A random number from 0 to 1 for the part of a stream.
    """
    if free <= 0.0:
        return 0
    part = free * min(1.0, own_contenders / max(own_contenders, all_contenders, 1e-9))
    return int(part) + (draw < part - int(part))
