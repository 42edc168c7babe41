"""The scenarios of load, each played for every policy."""

from collections.abc import Sequence

from bench._fleets import even_targets, mixed_targets, uneven_links
from bench._hosts import Record
from bench._load import Ask, Pattern, draw
from bench._runs import (
    OURS,
    POLICIES,
    Result,
    admitted,
    bound_tps,
    goodput,
    new_world,
    part_on_time,
    percentile,
)

ALL = tuple(POLICIES)
LOAD_SEED = 7
LOAD_SEEDS = (7, 8, 9)
"""One seed's figure scatters by 0.02 under saturation; three's mean by half."""
WAVE_S = 20.0


def saturation(
    until_s: float = 120.0,
    policies: Sequence[str] = ALL,
    seeds: Sequence[int] = LOAD_SEEDS,
) -> Result:
    """Play a tenth more load than mixed accelerators and uneven links carry."""
    targets, links = mixed_targets(), uneven_links()
    bound = bound_tps(targets, links)
    parts = {}
    for policy in policies:
        rates = []
        for seed in seeds:
            asks = draw(Pattern(bound * 1.1, until_s=until_s), seed)
            records = new_world(targets, links, policy).play(asks, until_s)
            rates.append(goodput(records, until_s / 2, until_s))
        parts[policy] = sum(rates) / len(rates) / bound
    return Result("saturation", parts[OURS], parts, 0.90, details={"bound_tps": bound})


def overload(
    factor: float, until_s: float = 120.0, policies: Sequence[str] = ALL
) -> Result:
    """Play waves of several times the bound, between waves of just as much."""
    targets, links = mixed_targets(), uneven_links()
    bound = bound_tps(targets, links)
    parts = {}
    late = 0.0
    for policy in policies:
        plain = _waves(bound, 1.0, until_s)
        base = new_world(targets, links, policy).play(plain, until_s)
        world = new_world(targets, links, policy)
        world.asks_again = 2
        records = world.play(_waves(bound, factor, until_s), until_s)
        window = until_s / 3, until_s
        parts[policy] = goodput(records, *window) / goodput(base, *window)
        if policy == OURS:
            late = _p95_of_deadline(records)
            on_time = part_on_time(admitted(records))
    details = {"p95_of_deadline": late, "admitted_on_time": on_time}
    return Result(f"overload_{factor:.0f}x", parts[OURS], parts, 0.95, details=details)


def heavy_workspaces(until_s: float = 120.0, policies: Sequence[str] = ALL) -> Result:
    """Play two workspaces that send nine tenths of 1.5 times the bound.

    Every policy is held against the others' work alone under the scheduler.
    """
    targets, links = mixed_targets(), uneven_links()
    bound = bound_tps(targets, links)
    few = Pattern(bound * 0.15, until_s=until_s, name="few")
    many = Pattern(
        bound * 1.35, until_s=until_s, shares=(0.5, 0.5), name="many", who="heavy"
    )
    alone = new_world(targets, links, OURS).play(draw(few, 3), until_s)
    p95s = {}
    details = {"alone_p95_s": _p95(alone)}
    for policy in policies:
        both = draw(few, 3) + draw(many, 4)
        mixed = new_world(targets, links, policy).play(both, until_s)
        others = [r for r in mixed if r.ask.work.request_id.startswith("few")]
        p95s[policy] = _p95(others) / _p95(alone)
        if policy == OURS:
            waits = [r.started_at - r.ask.work.arrived for r in admitted(others)]
            details["wait_p95_s"] = percentile(waits, 0.95)
            ended = [r for r in others if r.outcome != "open"]
            details["others_on_time"] = part_on_time(ended)
    return Result("heavy_workspaces", p95s[OURS], p95s, 1.2, False, details)


def long_among_short(until_s: float = 400.0, policies: Sequence[str] = ALL) -> Result:
    """Play one request in twenty fifty times longer, at 70% load.

    ``same_load_all_short`` is the scheduler's figure when the long work is
    replaced by as many tokens of short work: what fuller batches cost anyway.
    """
    targets, links = even_targets(per_stage=1), uneven_links()
    bound = bound_tps(targets, links)
    short_tps, long_tps = bound * 0.7 * 19 / 69, bound * 0.7 * 50 / 69
    short = Pattern(short_tps, until_s=until_s, mean_tokens=20, deadline_s=30.0)
    long = Pattern(
        long_tps, until_s=until_s, mean_tokens=1000, deadline_s=600.0, name="long"
    )
    more = Pattern(
        long_tps, until_s=until_s, mean_tokens=20, deadline_s=30.0, name="more"
    )
    alone = _short_p95(targets, links, OURS, draw(short, 3), until_s)
    full = _short_p95(targets, links, OURS, draw(short, 3) + draw(more, 4), until_s)
    ratios = {}
    for policy in policies:
        both = draw(short, 3) + draw(long, 4)
        ratios[policy] = _short_p95(targets, links, policy, both, until_s) / alone
    details = {"same_load_all_short": full / alone, "alone_p95_s": alone}
    return Result("long_among_short", ratios[OURS], ratios, 1.3, False, details)


def _short_p95(targets, links, policy: str, asks: list[Ask], until_s: float) -> float:
    records = new_world(targets, links, policy).play(asks, until_s)
    short = [r for r in records if r.ask.work.request_id.startswith("r")]
    return _p95([r for r in short if r.ask.work.arrived >= until_s / 2])


def _waves(bound: float, factor: float, until_s: float) -> list[Ask]:
    asks: list[Ask] = []
    start, index = 0.0, 0
    while start < until_s:
        tps = bound * (factor if index % 2 == 0 else 1.0)
        wave = Pattern(tps, start, start + WAVE_S, name=f"w{index}")
        asks += draw(wave, LOAD_SEED + index)
        start += WAVE_S
        index += 1
    return asks


def _p95(records: Sequence[Record]) -> float:
    """Return the 95th percentile; what was cut or given up counts as late twice."""
    seconds = [
        (
            r.seconds
            if r.outcome == "finished"
            else 2 * (r.ask.work.deadline - r.ask.work.arrived)
        )
        for r in records
        if r.outcome != "open" and (r.attempts or r.outcome == "EXPIRED_IN_QUEUE")
    ]
    return percentile(seconds, 0.95)


def _p95_of_deadline(records: Sequence[Record]) -> float:
    parts = [
        record.seconds / (record.ask.work.deadline - record.ask.work.arrived)
        for record in admitted(records)
    ]
    return percentile(parts, 0.95)
