"""Load scenarios, each run with every policy."""

from collections.abc import Sequence

from bench._fleets import even_targets, mixed_targets, uneven_links
from bench._hosts import Record
from bench._load import LoadRequest, Pattern, draw
from bench._runs import (
    OURS,
    POLICIES,
    Result,
    admitted,
    bound_tps,
    goodput,
    new_world,
    percentile,
    share_on_time,
)

ALL_POLICIES = tuple(POLICIES)
LOAD_SEED = 7
LOAD_SEEDS = (7, 8, 9)
"""Under saturation, figures vary by 0.02 between seeds, means of three by half that."""
WAVE_S = 20.0


def saturation(
    until_s: float = 120.0,
    policies: Sequence[str] = ALL_POLICIES,
    seeds: Sequence[int] = LOAD_SEEDS,
) -> Result:
    """Simulate 10% more load than mixed accelerators and uneven links can carry."""
    targets, links = mixed_targets(), uneven_links()
    bound = bound_tps(targets, links)
    ratio_by_policy = {}
    for policy in policies:
        rates = []
        for seed in seeds:
            requests = draw(Pattern(bound * 1.1, until_s=until_s), seed)
            records = new_world(targets, links, policy).run(requests, until_s)
            rates.append(goodput(records, until_s / 2, until_s))
        ratio_by_policy[policy] = sum(rates) / len(rates) / bound
    return Result(
        "saturation",
        ratio_by_policy[OURS],
        ratio_by_policy,
        0.90,
        details={"bound_tps": bound},
    )


def overload(
    factor: float, until_s: float = 120.0, policies: Sequence[str] = ALL_POLICIES
) -> Result:
    """Simulate load that alternates between `factor` times the bound and the bound."""
    targets, links = mixed_targets(), uneven_links()
    bound = bound_tps(targets, links)
    ratio_by_policy = {}
    p95_share = 0.0
    for policy in policies:
        base_load = _waves(bound, 1.0, until_s)
        base_records = new_world(targets, links, policy).run(base_load, until_s)
        world = new_world(targets, links, policy)
        world.max_caller_retries = 2
        records = world.run(_waves(bound, factor, until_s), until_s)
        window = until_s / 3, until_s
        ratio_by_policy[policy] = goodput(records, *window) / goodput(
            base_records, *window
        )
        if policy == OURS:
            p95_share = _p95_of_deadline(records)
            on_time = share_on_time(admitted(records))
    details = {"p95_of_deadline": p95_share, "admitted_on_time": on_time}
    return Result(
        f"overload_{factor:.0f}x",
        ratio_by_policy[OURS],
        ratio_by_policy,
        0.95,
        details=details,
    )


def heavy_workspaces(
    until_s: float = 120.0, policies: Sequence[str] = ALL_POLICIES
) -> Result:
    """Simulate two workspaces that send 90% of a load of 1.5 times the bound.

    Every policy is compared with the scheduler serving only the other workspaces.
    """
    targets, links = mixed_targets(), uneven_links()
    bound = bound_tps(targets, links)
    few = Pattern(bound * 0.15, until_s=until_s, id_prefix="few")
    many = Pattern(
        bound * 1.35,
        until_s=until_s,
        shares=(0.5, 0.5),
        id_prefix="many",
        workspace_prefix="heavy",
    )
    alone = new_world(targets, links, OURS).run(draw(few, 3), until_s)
    p95_by_policy = {}
    details = {"alone_p95_s": _p95(alone)}
    for policy in policies:
        both = draw(few, 3) + draw(many, 4)
        mixed = new_world(targets, links, policy).run(both, until_s)
        others = [r for r in mixed if r.request.work.request_id.startswith("few")]
        p95_by_policy[policy] = _p95(others) / _p95(alone)
        if policy == OURS:
            waits = [r.started_at - r.request.work.arrived for r in admitted(others)]
            details["wait_p95_s"] = percentile(waits, 0.95)
            ended = [r for r in others if r.outcome != "open"]
            details["others_on_time"] = share_on_time(ended)
    return Result(
        "heavy_workspaces", p95_by_policy[OURS], p95_by_policy, 1.2, False, details
    )


def long_among_short(
    until_s: float = 400.0, policies: Sequence[str] = ALL_POLICIES
) -> Result:
    """Simulate 70% load in which one request in twenty is fifty times longer.

    ``same_load_all_short`` is the scheduler's figure when the long requests are
    replaced by short ones with as many tokens, which shows the cost of fuller batches.
    """
    targets, links = even_targets(per_stage=1), uneven_links()
    bound = bound_tps(targets, links)
    short_tps, long_tps = bound * 0.7 * 19 / 69, bound * 0.7 * 50 / 69
    short = Pattern(short_tps, until_s=until_s, mean_tokens=20, deadline_s=30.0)
    long = Pattern(
        long_tps, until_s=until_s, mean_tokens=1000, deadline_s=600.0, id_prefix="long"
    )
    more = Pattern(
        long_tps, until_s=until_s, mean_tokens=20, deadline_s=30.0, id_prefix="more"
    )
    alone = _short_p95(targets, links, OURS, draw(short, 3), until_s)
    full = _short_p95(targets, links, OURS, draw(short, 3) + draw(more, 4), until_s)
    ratio_by_policy = {}
    for policy in policies:
        both = draw(short, 3) + draw(long, 4)
        ratio_by_policy[policy] = (
            _short_p95(targets, links, policy, both, until_s) / alone
        )
    details = {"same_load_all_short": full / alone, "alone_p95_s": alone}
    return Result(
        "long_among_short", ratio_by_policy[OURS], ratio_by_policy, 1.3, False, details
    )


def _short_p95(
    targets, links, policy: str, requests: list[LoadRequest], until_s: float
) -> float:
    records = new_world(targets, links, policy).run(requests, until_s)
    short = [r for r in records if r.request.work.request_id.startswith("r")]
    return _p95([r for r in short if r.request.work.arrived >= until_s / 2])


def _waves(bound: float, factor: float, until_s: float) -> list[LoadRequest]:
    requests: list[LoadRequest] = []
    start, index = 0.0, 0
    while start < until_s:
        tps = bound * (factor if index % 2 == 0 else 1.0)
        wave = Pattern(tps, start, start + WAVE_S, id_prefix=f"w{index}")
        requests += draw(wave, LOAD_SEED + index)
        start += WAVE_S
        index += 1
    return requests


def _p95(records: Sequence[Record]) -> float:
    """Return the 95th percentile; unfinished requests count as twice their deadline."""
    seconds = [
        (
            r.seconds
            if r.outcome == "finished"
            else 2 * (r.request.work.deadline - r.request.work.arrived)
        )
        for r in records
        if r.outcome != "open" and (r.attempts or r.outcome == "EXPIRED_IN_QUEUE")
    ]
    return percentile(seconds, 0.95)


def _p95_of_deadline(records: Sequence[Record]) -> float:
    deadline_shares = [
        record.seconds / (record.request.work.deadline - record.request.work.arrived)
        for record in admitted(records)
    ]
    return percentile(deadline_shares, 0.95)
