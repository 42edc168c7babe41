"""Fault scenarios, each run with every policy."""

from collections.abc import Sequence

from bench._fleets import ZONES, even_targets, mixed_targets, uneven_links
from bench._hosts import DETECTION_S, World
from bench._load import Pattern, draw
from bench._runs import (
    OURS,
    POLICIES,
    Result,
    bound_tps,
    goodput,
    new_world,
    percentile,
    share_on_time,
)
from radishfield.core import Target

ALL_POLICIES = tuple(POLICIES)
LOAD_SEED = 7
LOAD_SEEDS = (7, 8, 9)
FAULT_AT_S = 60.0
FLEET_DETECTION_S = 1.0
REBUILD_S = 0.5
"""Seconds to prefill the prompt and the committed tokens through four full stages."""


def slow_target(
    until_s: float = 120.0, policies: Sequence[str] = ALL_POLICIES
) -> Result:
    """Simulate a target that becomes ten times slower but declares its old speed."""
    targets, links = mixed_targets(), uneven_links()
    slow = max(targets, key=lambda t: (t.layers.first == 20, t.speed_tps))
    healthy = [t for t in targets if t.id != slow.id]
    bound = bound_tps(healthy, links)
    ratio_by_policy = {}
    shifted = 0.0
    for policy in policies:
        world = new_world(targets, links, policy)
        fake = world.fleet.targets_by_id[slow.id]
        world.events.at(FAULT_AT_S, fake.slow_down, 10.0)
        requests = draw(Pattern(bound * 1.05, until_s=until_s), LOAD_SEED)
        records = world.run(requests, until_s)
        ratio_by_policy[policy] = goodput(records, FAULT_AT_S, until_s) / bound
        if policy == OURS:
            shifted = _seconds_until_shifted(fake.started_at, until_s)
    details = {"seconds_until_shifted": shifted}
    return Result(
        "slow_target", ratio_by_policy[OURS], ratio_by_policy, 0.90, details=details
    )


def stage_dies(
    until_s: float = 100.0,
    policies: Sequence[str] = ALL_POLICIES,
    seeds: Sequence[int] = LOAD_SEEDS,
) -> Result:
    """Simulate the crash of a stage in the middle of a token, at 80% load."""
    targets, links = mixed_targets(), uneven_links()
    bound = bound_tps(targets, links)
    victim = next(t for t in targets if t.layers.first == 20 and t.speed_tps == 200)
    p99_by_policy = {}
    details = {}
    for policy in policies:
        gaps, affected, ended = [], [], []
        for seed in seeds:
            world = new_world(targets, links, policy)
            recorder = _GapRecorder(world)
            world.events.at(FAULT_AT_S, recorder.kill, [victim])
            remaining = [t for t in targets if t.id != victim.id]
            world.events.at(
                FAULT_AT_S + FLEET_DETECTION_S, _set_targets, world, remaining
            )
            requests = draw(Pattern(bound * 0.8, until_s=until_s - 40.0), seed)
            records = world.run(requests, until_s)
            gaps += recorder.gaps
            affected += [
                r for r in records if r.request.work.request_id in recorder.affected
            ]
            ended += [r for r in records if r.outcome != "open"]
        p99_by_policy[policy] = percentile(gaps, 0.99)
        if policy == OURS:
            details = {
                "p50_s": percentile(gaps, 0.5),
                "hit": len(affected),
                "hit_on_time": share_on_time(affected),
                "on_time": share_on_time(ended),
            }
    aim = 2 * (DETECTION_S + REBUILD_S)
    return Result("stage_dies", p99_by_policy[OURS], p99_by_policy, aim, False, details)


def zone_lost(until_s: float = 90.0, policies: Sequence[str] = ALL_POLICIES) -> Result:
    """Simulate the loss of one zone of three, hosts and targets, at 60% load."""
    targets, links = even_targets(), uneven_links()
    remaining = [t for t in targets if t.zone != ZONES[2]]
    full_tps, remaining_tps = bound_tps(targets, links), bound_tps(remaining, links)
    dead = [t.id for t in targets if t.zone == ZONES[2]]
    seconds_by_policy = {}
    details = {}
    for policy in policies:
        world = new_world(targets, links, policy)
        world.events.at(FAULT_AT_S, world.kill, dead)
        world.events.at(FAULT_AT_S, world.kill_hosts, ZONES[2])
        world.events.at(FAULT_AT_S + FLEET_DETECTION_S, _set_targets, world, remaining)
        requests = draw(Pattern(full_tps * 0.6, until_s=until_s), LOAD_SEED)
        records = world.run(requests, until_s)
        wanted_tps = 0.95 * min(remaining_tps, full_tps * 0.6)
        detected = FAULT_AT_S + FLEET_DETECTION_S
        seconds_by_policy[policy] = _seconds_to_rate(
            world, detected, wanted_tps, until_s
        )
        if policy == OURS:
            ended = [r for r in records if r.outcome not in ("open", "host-lost")]
            details = {"on_time": share_on_time(ended)}
    return Result(
        "zone_lost", seconds_by_policy[OURS], seconds_by_policy, 2.0, False, details
    )


class _GapRecorder:
    """Measures the time from a crash to the next token of each interrupted stream."""

    __slots__ = ("affected", "gaps", "_world")

    def __init__(self, world: World):
        self.affected: set[str] = set()
        self.gaps: list[float] = []
        self._world = world

    def kill(self, victims: Sequence[Target]) -> None:
        """Kill the targets and start measuring the streams that used them."""
        ids = {target.id for target in victims}
        for host in self._world.hosts:
            for stream in host.streams_by_request.values():
                if any(fake.target.id in ids for fake in stream.stages):
                    self.affected.add(stream.request_id)
        waiting = set(self.affected)
        self._world.on_token = lambda stream, now: self._token(stream, now, waiting)
        self._world.kill(sorted(ids))

    def _token(self, stream, now: float, waiting: set[str]) -> None:
        if stream.request_id in waiting and stream.attempt > 1:
            waiting.discard(stream.request_id)
            self.gaps.append(now - FAULT_AT_S)


def _set_targets(world: World, remaining: Sequence[Target]) -> None:
    world.targets = list(remaining)
    world.publish_fleet()


def _seconds_until_shifted(started_at: Sequence[float], until_s: float) -> float:
    """Return the seconds until a target's new work fell to 20% of its former rate."""
    window = 5.0
    before = sum(FAULT_AT_S - 20 <= at < FAULT_AT_S for at in started_at) / 20.0
    at = FAULT_AT_S
    while at < until_s - window:
        rate = sum(at <= moment < at + window for moment in started_at) / window
        if rate <= 0.2 * before:
            return at - FAULT_AT_S
        at += 0.25
    return until_s - FAULT_AT_S


def _seconds_to_rate(
    world: World, detected: float, wanted_tps: float, until_s: float
) -> float:
    """Return the seconds from detection until a second's tokens first reach a rate."""
    index = int(detected * 4)
    while index < (until_s - 1) * 4:
        tokens = sum(world.tokens_by_slice.get(index + i, 0) for i in range(4))
        if tokens >= wanted_tps:
            return index / 4 - detected
        index += 1
    return until_s - detected
