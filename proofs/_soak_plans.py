"""What a soak plays: the kinds of its faults, its callers and its routers' settings."""

from dataclasses import dataclass, field

from standins.routed_config import KEY
from standins.router_process import USUAL_PROMISES

SECOND_KEY = "second-key-of-w2"
"""A key of callers that is taken away and given back."""


@dataclass(slots=True, frozen=True)
class Plan:
    """One way to play the soak.

    Attributes
    ----------
    kinds : tuple of str
        Faults, one of which begins at a time; a kind that is named twice comes twice
        as often.
    calls : tuple of str
        Kinds of request, drawn alike.
    keys : tuple of str
        Keys of the callers, in turn.
    most_calls : int
        Requests that a caller sends on one connection at the most.
    events, gap_s
        Events of a stream, and the pause before each.
    timeout_ms : float
        Timeout of the stream's route.
    promises : str
        Lines of the routers' settings.
    spares : int
        Further targets of each kind: what requests that crash targets leave.
    link_mbps : tuple of float
        Bounds of the bandwidth of each router's link; empty for no bound.
    """

    kinds: tuple[str, ...]
    calls: tuple[str, ...] = ("read", "post", "post", "stream")
    keys: tuple[str, ...] = (KEY,)
    callers: int = 6
    most_calls: int = 5
    events: int = 12
    gap_s: float = 0.02
    deadline_s: float = 5.0
    timeout_ms: float = 4000.0
    promises: str = USUAL_PROMISES
    spares: int = 0
    link_mbps: tuple[float, ...] = field(default=())


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
    most_calls=20,
    events=30,
    gap_s=0.04,
    # Far longer than any read of a configuration may take: no stream is cut for it.
    deadline_s=12.0,
    timeout_ms=12000.0,
    # Three repeats in ten seconds for three routers together, and none for six, each
    # of which has to leave the others theirs: nothing fails, so none is needed.
    promises="retry_slack = 4\nretry_ratio = 0.02\n",
    link_mbps=(5.0, 20.0),
)
"""Nothing fails: only the configuration changes, and each router's link is slow."""

CRASHES = Plan(
    kinds=("crash", "crash", "crash", "relay", "reset", "kill", "stop", "hup", "term"),
    spares=4,
)
"""Requests that crash targets, beside faults that look like crashes and are none."""

PLANS = {"faults": FAULTS, "changes": CHANGES, "crashes": CRASHES}
