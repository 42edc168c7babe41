"""Runs one policy on one fleet and computes figures from the records."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from bench._baselines import (
    LeastInFlight,
    LeastInFlightInZone,
    RandomOfTwo,
    RoundRobin,
)
from bench._fleets import ZONES
from bench._hosts import Record, World
from radishfield.core import Link, Target
from radishfield.decisions import Scheduler
from radishfield.decisions._flow import plan_flow

OURS = "scheduler"
POLICIES: dict[str, Callable] = {
    OURS: lambda seed: Scheduler(),
    "round-robin": RoundRobin,
    "least-in-flight": LeastInFlight,
    "random-of-two": RandomOfTwo,
    "least-in-zone": LeastInFlightInZone,
}
HOST_ZONES = ZONES * 3
SEED = 1


@dataclass(slots=True)
class Result:
    """One scenario's figures.

    Attributes
    ----------
    metric : float
        The scheduler's figure.
    by_policy : dict
        The same figure for every policy of the run.
    aim : float
        The value that the figure should reach.
    higher_is_better : bool
        Whether a higher figure is better.
    details : dict
        Further figures by name.
    """

    name: str
    metric: float
    by_policy: dict[str, float]
    aim: float
    higher_is_better: bool = True
    details: dict[str, float] = field(default_factory=dict)

    @property
    def baseline(self) -> float | None:
        """Return the best baseline's figure, or None without baselines."""
        others = [v for name, v in self.by_policy.items() if name != OURS]
        if not others:
            return None
        return max(others) if self.higher_is_better else min(others)

    def line(self) -> str:
        """Return the scenario's line of output."""
        more = "".join(f" {name}={value:.4g}" for name, value in self.details.items())
        baseline = "none" if self.baseline is None else f"{self.baseline:.4g}"
        return (
            f"bench {self.name} metric={self.metric:.4g} "
            f"baseline={baseline} bound={self.aim:.4g}{more}"
        )


def bound_tps(targets: Sequence[Target], links: Sequence[Link]) -> float:
    """Return the maximum flow of a fleet in tokens per second."""
    return plan_flow(targets, links, ZONES[0], {}).bound_tps


def new_world(targets: Sequence[Target], links: Sequence[Link], policy: str) -> World:
    """Return a simulation with nine entry hosts."""
    return World(targets, links, HOST_ZONES, POLICIES[policy], SEED)


def goodput(records: Sequence[Record], from_s: float, until_s: float) -> float:
    """Return tokens per second of answers that finished on time in a window."""
    tokens = sum(
        record.tokens
        for record in records
        if record.on_time and from_s <= record.ended_at < until_s
    )
    return tokens / (until_s - from_s)


def admitted(records: Sequence[Record]) -> list[Record]:
    """Return the requests that were dispatched and have ended."""
    return [r for r in records if r.attempts and r.outcome != "open"]


def share_on_time(records: Sequence[Record]) -> float:
    """Return the share of requests that finished on time."""
    return sum(r.on_time for r in records) / max(1, len(records))


def percentile(values: Sequence[float], fraction: float) -> float:
    """Return the value at a fraction, from 0 to 1, of the sorted values."""
    ordered = sorted(values)
    if not ordered:
        return float("nan")
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]
