"""Plans of a soak: the kinds of its faults, its callers and its routers' settings."""

import random
from dataclasses import dataclass, field

from standins.routed_config import KEY
from standins.router_process import TYPICAL_PROMISES

SECOND_KEY = "second-key-of-w2"
"""A key of callers that is removed and restored."""
MIN_PAUSE_S, MAX_PAUSE_S = 0.3, 1.2
"""Bounds of the pause between the starts of two faults."""


@dataclass(slots=True, frozen=True)
class Plan:
    """One way to run the soak.

    Attributes
    ----------
    kinds : tuple of str
        Kinds of fault, one of which is started at a time; a kind that is listed twice
        is drawn twice as often.
    calls : tuple of str
        Kinds of request, drawn with the same weight for each entry.
    keys : tuple of str
        Keys, assigned to the callers in turn.
    max_calls : int
        Maximum number of requests that a caller sends on one connection.
    events, gap_s
        Events of a stream, and the pause before each.
    timeout_ms : float
        Timeout of the stream's route.
    promises : str
        Lines in the section of this name of the routers' settings.
    spares : int
        Additional targets of each kind, so that some remain after crashing requests.
    link_mbps : tuple of float
        Bounds of the bandwidth of each router's link; empty for no bound.
    stutters : bool
        Targets can stutter, and each of their bodies names its request.
    """

    kinds: tuple[str, ...]
    calls: tuple[str, ...] = ("read", "post", "post", "stream")
    keys: tuple[str, ...] = (KEY,)
    callers: int = 6
    max_calls: int = 5
    events: int = 12
    gap_s: float = 0.02
    deadline_s: float = 5.0
    timeout_ms: float = 4000.0
    promises: str = TYPICAL_PROMISES
    spares: int = 0
    link_mbps: tuple[float, ...] = field(default=())
    stutters: bool = False


FAULTS = Plan(
    kinds=(
        "relay",
        "relay",
        "reset",
        "stop",
        "kill",
        "term",
        "hup",
        "leave",
        "config",
    )
)
"""Relays, the store, routers and targets fail."""

CHANGES = Plan(
    kinds=("large", "large", "others", "used", "used", "link"),
    calls=("read", "post", "stream", "stream", "stream"),
    keys=(KEY, SECOND_KEY),
    callers=12,
    max_calls=20,
    events=30,
    gap_s=0.04,
    # Far longer than any read of a configuration may take, so none aborts a stream.
    deadline_s=12.0,
    timeout_ms=12000.0,
    # Three retries in ten seconds for three routers together, and none for six, each
    # of which has to leave the others theirs.  Nothing fails, so none is needed.
    promises="retry_slack = 4\nretry_ratio = 0.02\n",
    link_mbps=(5.0, 20.0),
)
"""Nothing fails: only the configuration changes, and each router's link is slow."""

CRASHES = Plan(
    kinds=("crash", "crash", "crash", "relay", "reset", "kill", "stop", "hup", "term"),
    spares=4,
)
"""Requests that crash targets, and faults that only look like crashes."""

PARTS = Plan(
    kinds=("part", "part", "part", "relay", "reset", "kill", "stop", "hup", "term"),
    spares=4,
)
"""Requests that share a part which crashes targets, and faults that look like it."""

LIMITS = Plan(
    kinds=("limit", "limit", "limit", "kill", "term", "stop", "reset", "hup"),
    callers=18,
)
"""Targets name limits while hosts are stopped, killed and started again."""

NOTICES = Plan(
    kinds=("rest", "rest", "word", "kill", "term", "stop", "reset", "hup"),
    calls=("read", "post", "stream", "stream"),
    callers=12,
    spares=2,
)
"""Targets ask for rest, or say that they leave, while hosts stop and start."""


DRILLS = Plan(
    kinds=("drill", "drill", "config", "used", "leave", "kill", "term", "stop", "hup"),
    keys=(KEY, SECOND_KEY),
    callers=9,
)
"""The store comes back from older copies while hosts stop and versions change."""

STUTTER = Plan(
    kinds=(
        "stutter",
        "stutter",
        "stutter",
        "stutter",
        "reset",
        "relay",
        "kill",
        "term",
        "stop",
        "hup",
    ),
    calls=("read", "read", "read", "post", "stream"),
    callers=12,
    max_calls=20,
    spares=2,
    stutters=True,
)
"""Targets answer twice on kept connections while hosts stop and start."""


@dataclass(slots=True, frozen=True)
class ScheduledFault:
    """A fault, when it starts, and the seed of its own draws."""

    at_s: float
    kind: str
    seed: int


def draw_faults(plan: Plan, seconds: float, seed: int) -> list[ScheduledFault]:
    """Draw the faults of a run, so that they depend on its seed and not its timing."""
    rng = random.Random(seed)
    faults: list[ScheduledFault] = []
    at_s = 0.0
    while at_s < seconds:
        faults.append(ScheduledFault(at_s, rng.choice(plan.kinds), rng.getrandbits(32)))
        at_s += rng.uniform(MIN_PAUSE_S, MAX_PAUSE_S)
    return faults


PLANS = {
    "faults": FAULTS,
    "changes": CHANGES,
    "crashes": CRASHES,
    "parts": PARTS,
    "limits": LIMITS,
    "notices": NOTICES,
    "drills": DRILLS,
    "stutter": STUTTER,
}
