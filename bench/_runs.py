"""Runs of one policy on one fleet, and the figures taken from them."""

from collections.abc import Callable, Sequence

from bench._baselines import LeastInFlight, RandomOfTwo, RoundRobin
from bench._fleets import ZONES, mixed_targets, uneven_links
from bench._hosts import Record, World
from bench._load import Pattern, draw
from radishfield.decisions import Scheduler
from radishfield.decisions._flow import plan_flow

POLICIES: dict[str, Callable] = {
    "scheduler": lambda seed: Scheduler(),
    "round-robin": RoundRobin,
    "least-in-flight": LeastInFlight,
    "random-of-two": RandomOfTwo,
}
HOST_ZONES = ZONES * 3


def goodput(records: Sequence[Record], from_s: float, until_s: float) -> float:
    """Return tokens per second of answers that ended on time in a window."""
    tokens = sum(
        record.tokens
        for record in records
        if record.on_time and from_s <= record.ended_at < until_s
    )
    return tokens / (until_s - from_s)


def main() -> int:
    """Play saturation and print its line."""
    targets, links = mixed_targets(), uneven_links()
    bound = plan_flow(targets, links, ZONES[0], {}).bound_tps
    parts = {}
    for name, make in POLICIES.items():
        world = World(targets, links, HOST_ZONES, make, 1)
        asks = draw(Pattern(bound * 1.1, until_s=120.0), 7)
        parts[name] = goodput(world.play(asks, 120.0), 60.0, 120.0) / bound
    ours = parts.pop("scheduler")
    print(
        f"bench saturation metric={ours:.3f} baseline={max(parts.values()):.3f} "
        "bound=0.900"
    )
    return 0
