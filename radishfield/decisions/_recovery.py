"""How a pipeline goes on after one of its stages died, and how many at once.

Load pattern: a stage dies in the middle of a token under load, and every stream
through it needs its cache again.  A rebuild runs the prompt and all committed
tokens through the model once more; an import copies the cache from stages that
still hold it.  When a zone dies, a third of all streams need it in the same
instant; all rebuilt at once, they take the whole fleet from the streams that
still run, these miss their deadlines too, and nothing finishes.

So the way that is expected to be sooner is taken, and rebuilds pass a bucket
that leaves most of the fleet to running work.
"""

from dataclasses import dataclass

from radishfield.decisions._lengths import PROMPT_TOKEN_COST

IMPORT_SETUP_S = 0.02
"""An export and an import are two calls and their connections."""

IMPORT_POSITIONS_PER_S = 5000.0
"""Positions a second for the stages' caches on a link between zones; the port
hands the cache through the entry host, so it is slower than the link."""

REBUILD_PART = 0.4
"""Part of this host's share of the fleet that rebuilds may take."""

REBUILD_BURST_S = 1.0
"""Seconds of that part that may start at once: a single dead stage's streams
go on without delay."""

MAX_DELAY_PART = 0.5
"""Part of the time left before its deadline that a stream may wait."""


@dataclass(slots=True, frozen=True)
class Resumption:
    """How a stream gets its cache back, and the seconds until it runs again."""

    by_import: bool
    seconds: float


def choose_resumption(
    prompt_tokens: int, committed: int, step_s: float, holders_alive: bool
) -> Resumption:
    """Return the way that is expected to be sooner.

    Parameters
    ----------
    step_s : float
        Seconds that one token takes through the new route.
    holders_alive : bool
        Whether every layer of the cache stands on a target that still answers.
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
    """A bucket of rebuild work; what it lacks is waited for."""

    __slots__ = ("_level", "_at")

    def __init__(self):
        self._level = 0.0
        self._at = 0.0

    def reserve(self, cost: float, part_tps: float, left_s: float, now: float) -> float:
        """Take a rebuild's cost out and return the seconds to wait first.

        Parameters
        ----------
        part_tps : float
            This host's part of the fleet, in tokens per second.
        left_s : float
            Seconds until the request's deadline.
        """
        rate = max(part_tps * REBUILD_PART, 1.0)
        self._level = max(0.0, self._level - (now - self._at) * rate)
        self._at = now
        wait_s = max(0.0, self._level / rate - REBUILD_BURST_S)
        self._level += cost
        return min(wait_s, left_s * MAX_DELAY_PART)
