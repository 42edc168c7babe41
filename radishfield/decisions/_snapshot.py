"""Snapshots of queues and targets, for status pages and metrics."""

from collections.abc import Mapping
from dataclasses import dataclass

from radishfield.core import TargetKind
from radishfield.decisions._pool import Pool
from radishfield.decisions._queues import WorkQueue


@dataclass(slots=True, frozen=True)
class TargetView:
    """One target as this entry host sees it."""

    target_id: str
    in_flight: int
    reported_in_flight: int
    limit: float
    share: float
    weight_tps: float
    usable: bool
    ejected: bool


@dataclass(slots=True, frozen=True)
class PoolView:
    """One model or service: its queue, and the rates that the hardware allows."""

    kind: TargetKind
    model: str
    queued: int
    backlog_tokens: float
    bound_tps: float
    drain_tps: float
    token_s: float
    targets: tuple[TargetView, ...]


@dataclass(slots=True, frozen=True)
class Snapshot:
    """All waiting and running work at this entry host."""

    running: int
    pools: tuple[PoolView, ...]


def build_snapshot(
    pools_by_key: Mapping[tuple[TargetKind, str], Pool],
    queues_by_key: Mapping[tuple[TargetKind, str], WorkQueue],
    running: int,
) -> Snapshot:
    """Return the current state."""
    views = [
        _pool_view(key, pool, queues_by_key.get(key))
        for key, pool in pools_by_key.items()
    ]
    return Snapshot(running, tuple(views))


def _pool_view(
    key: tuple[TargetKind, str], pool: Pool, queue: WorkQueue | None
) -> PoolView:
    targets = tuple(
        TargetView(
            load.target.id,
            load.own,
            load.reported,
            load.limit,
            load.share,
            load.weight,
            load.usable,
            load.ejected,
        )
        for load in pool.loads_by_id.values()
    )
    return PoolView(
        key[0],
        key[1],
        len(queue) if queue is not None else 0,
        queue.backlog() if queue is not None else 0.0,
        pool.bound_tps,
        pool.drain_tps,
        pool.token_times.overall.mean_s,
        targets,
    )
