"""Finds targets that are slow but not down, from the streams that use them."""

from collections.abc import Iterable

import trio

from radishfield.forwarding._active_stream import ActiveStream
from radishfield.forwarding._targets import Targets
from radishfield.forwarding._view import RouterView
from radishfield.routing import MAX_NORMAL_SLOWDOWN, TargetReport, path_ms
from radishfield.telemetry import log_event

CHECK_INTERVAL_S = 0.25
"""Interval between checks: a stream has five events in it, and a slow target is found
within a second."""
QUERY_INTERVAL_S = 1.0
"""Interval between queries for the slowdown factor of one target."""
MIN_PATH_S = 1e-4


class SlowTargets:
    """Queries the targets of slow streams for their slowdown factors and keeps them."""

    __slots__ = (
        "_queried_at_by_id",
        "_next_check_at",
        "_targets",
        "_view",
        "found_count",
    )

    def __init__(self, targets: Targets, view: RouterView):
        self._targets = targets
        self._view = view
        self._queried_at_by_id: dict[str, float] = {}
        self._next_check_at = 0.0
        self.found_count = 0

    def check(self, streams: Iterable[ActiveStream], nursery: trio.Nursery) -> None:
        """Query a target of the streams that are slower than their paths explain.

        Only one target is queried per check: when all streams are slow, the cause is
        load and not a target, and the queries of hundreds of hosts would be useless.
        """
        now, slowdowns = self._view.clock.now(), self._view.slowdowns
        if now < self._next_check_at:
            return
        self._next_check_at = now + CHECK_INTERVAL_S
        slowdowns.expire(now)
        wanted = self._targets_of_slow(streams)
        if self._view.watch_duty.on_duty:
            wanted += slowdowns.to_ask(now)
        due = [target_id for target_id in set(wanted) if self._is_due(target_id, now)]
        if due:
            # Hosts with the same slow path query different stages of it.
            target_id = self._view.rng.choice(due)
            self._queried_at_by_id[target_id] = now
            nursery.start_soon(
                self._view.boundary.run,
                "slow.query",
                target_id,
                self._query,
                target_id,
            )

    def note(self, target_id: str, report: TargetReport) -> None:
        """Record a target's slowdown factor; log it if it became slow or healthy."""
        if not self._view.slowdowns.note(
            target_id, report.pace, self._view.clock.now()
        ):
            return
        is_slow = report.pace > MAX_NORMAL_SLOWDOWN
        self.found_count += is_slow
        log_event(
            "target.slow" if is_slow else "target.well",
            target=target_id,
            pace=round(report.pace, 2),
            running=report.running,
        )

    def _targets_of_slow(self, streams: Iterable[ActiveStream]) -> list[str]:
        slowdowns = self._view.slowdowns
        found: list[str] = []
        for stream in streams:
            if stream.engine is None or not stream.typical_gap_s or stream.moving:
                continue
            path_s = self._path_s(stream)
            if slowdowns.is_slow(stream.typical_gap_s, path_s):
                found += [stage.target_id for stage in stream.path]
            else:
                slowdowns.learn(stream.typical_gap_s, path_s)
        return found

    def _is_due(self, target_id: str, now: float) -> bool:
        known_ago_s = self._view.slowdowns.age_s(target_id, now)
        last_query_age_s = now - self._queried_at_by_id.get(target_id, -1e9)
        return min(known_ago_s, last_query_age_s) >= QUERY_INTERVAL_S

    def _path_s(self, stream: ActiveStream) -> float:
        """Return the expected time of a token over a stream's path, in seconds."""
        directory = self._view.directory
        records = {
            stage.target_id: record
            for stage in stream.path
            if (record := directory.find(stage.target_id)) is not None
        }
        expected_ms = path_ms(stream.engine, records, self._view.load, stream.path)
        return max(MIN_PATH_S, expected_ms / 1e3)

    async def _query(self, target_id: str) -> None:
        record = self._view.directory.find(target_id)
        if record is None or self._view.rests.is_resting(
            record, self._view.clock.now()
        ):
            return
        report = await self._targets.report(record)
        if report.is_ok():
            self.note(target_id, report.ok)
