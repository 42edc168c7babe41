"""How streams resume after a stage died, and how many resume at once.

When a stage dies in the middle of a token under load, every stream through it
needs its cache again.  A rebuild runs the prompt and all committed tokens
through the model once more.  An import copies the cache from stages that still
hold it.  When a zone dies, a third of all streams need their cache at the same
time.  If all of them are rebuilt at once, they take the whole fleet from the
streams that still run, these miss their deadlines too, and nothing finishes.

Therefore the method that is expected to be faster is chosen, and a bucket
limits rebuilds so that most of the fleet is left to running work.
"""

from dataclasses import dataclass

from radishfield.decisions._lengths import PROMPT_TOKEN_COST

IMPORT_SETUP_S = 0.02
"""An export and an import take two calls and their connections."""

IMPORT_POSITIONS_PER_S = 5000.0
"""Positions per second for the stages' caches on a link between zones.  The port
forwards the cache through the entry host, so it is slower than the link."""

REBUILD_SHARE = 0.4
"""Fraction of this host's share of the fleet that rebuilds may take."""

REBUILD_BURST_S = 1.0
"""Seconds of that fraction that may start at once, so that the streams of a
single dead stage resume without delay."""

MAX_DELAY_SHARE = 0.5
"""Fraction of the time left before its deadline that a stream may wait."""


@dataclass(slots=True, frozen=True)
class Resumption:
    """How a stream gets its cache back, and the seconds until it runs again."""

    by_import: bool
    seconds: float


def choose_resumption(
    prompt_tokens: int, committed: int, step_s: float, holders_alive: bool
) -> Resumption:
    """Return the method that is expected to be faster.

    Parameters
    ----------
    step_s : float
        Seconds that one token takes through the new route.
    holders_alive : bool
        Whether every layer of the cache is held by a target that still answers.
    """
    positions = prompt_tokens + committed
    rebuild_s = rebuild_cost(prompt_tokens, committed) * step_s
    import_s = IMPORT_SETUP_S + positions / IMPORT_POSITIONS_PER_S
    if holders_alive and import_s < rebuild_s:
        return Resumption(True, import_s)
    return Resumption(False, rebuild_s)


def rebuild_cost(prompt_tokens: int, committed: int) -> float:
    """Return the cost of a rebuild in generated tokens."""
    return (prompt_tokens + committed) * PROMPT_TOKEN_COST


class RebuildPacer:
    """A leaky bucket of rebuild work; rebuilds that exceed it have to wait."""

    __slots__ = ("_level", "_updated_at")

    def __init__(self):
        self._level = 0.0
        self._updated_at = 0.0

    def reserve(
        self, cost: float, share_tps: float, left_s: float, now: float
    ) -> float:
        """Add a rebuild's cost and return the seconds to wait before it starts.

        Parameters
        ----------
        part_tps : float
            This host's share of the fleet, in tokens per second.
        left_s : float
            Seconds until the request's deadline.
        """
        rate = max(share_tps * REBUILD_SHARE, 1.0)
        self._level = max(0.0, self._level - (now - self._updated_at) * rate)
        self._updated_at = now
        wait_s = max(0.0, self._level / rate - REBUILD_BURST_S)
        self._level += cost
        return min(wait_s, left_s * MAX_DELAY_SHARE)
