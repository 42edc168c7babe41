"""The fair share of a workspace in room that is too small for all.

Load: one workspace asks for many times its usual, through one host or all.  Max-min
fairness gives everybody what they ask for up to one level, and only those above it
less: a workspace that asks for little loses nothing to one that asks for much.
"""

import math
from collections.abc import Sequence

from radishfield.capacity._data import RankDemand, WorkspaceUse

EXCESS_FACTOR = 3.0
"""Multiple of its share that a workspace has to ask for to be held to it: what a small
one asks for in two seconds scatters by as much."""


def fair_share(
    uses: Sequence[WorkspaceUse],
    ranks: Sequence[RankDemand],
    room: float,
    stream_s: float,
) -> float:
    """Return the most streams that a workspace may hold; infinite if all fit.

    Parameters
    ----------
    uses : sequence of WorkspaceUse
        The heaviest workspaces over all hosts.
    ranks : sequence of RankDemand
        All work by rank, that of other workspaces included.
    room : float
        Streams of typical size that the targets carry.
    stream_s : float
        Seconds for which a typical stream holds its room.
    """
    asked = sorted(max(use.running, use.starts_per_s * stream_s) for use in uses)
    everything = sum(
        max(float(item.running), item.starts_per_s * stream_s) for item in ranks
    )
    rest = max(0.0, everything - sum(asked))
    # What runs scatters by its root; without slack, those who ask for little would wait
    # whenever some of them ask for a little more.
    left = room - math.sqrt(max(0.0, room)) - rest
    if sum(asked) <= left:
        return math.inf
    for index, amount in enumerate(asked):
        level = max(0.0, left) / (len(asked) - index)
        if amount > level:
            return max(1.0, level)
        left -= amount
    return math.inf


def workspaces_over_share(
    uses: Sequence[WorkspaceUse], level: float, stream_s: float
) -> dict[str, WorkspaceUse]:
    """Return the workspaces that hold their fair share and ask for much more, by name.

    One that holds a little more than its share for a moment, and asks for no more than
    that, is left alone: what small workspaces hold scatters around what they ask for.
    """
    if math.isinf(level):
        return {}
    return {
        use.workspace: use
        for use in uses
        if use.running >= level and use.starts_per_s * stream_s >= EXCESS_FACTOR * level
    }
