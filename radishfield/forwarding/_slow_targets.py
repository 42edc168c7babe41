"""Looks for targets that are slow and never down, by the streams that pass them."""

from collections.abc import Iterable

import trio

from radishfield.forwarding._active_stream import ActiveStream
from radishfield.forwarding._targets import Targets
from radishfield.forwarding._view import RouterView
from radishfield.routing import NORMAL_PACE, TargetReport, path_ms
from radishfield.telemetry import log_event

LOOK_S = 0.25
"""Pause between two looks: a stream has had five events in it, and a slow target is
found within a second."""
ASK_AGAIN_S = 1.0
"""Pause between two questions for the pace of one target."""
LEAST_PATH_S = 1e-4


class SlowTargets:
    """Asks the targets of slow streams for their pace, and keeps what they say."""

    __slots__ = ("_asked_at_by_id", "_next_look_at", "_targets", "_view", "found")

    def __init__(self, targets: Targets, view: RouterView):
        self._targets = targets
        self._view = view
        self._asked_at_by_id: dict[str, float] = {}
        self._next_look_at = 0.0
        self.found = 0

    def look(self, streams: Iterable[ActiveStream], nursery: trio.Nursery) -> None:
        """Ask a target of the streams that are slower than their paths explain.

        One in each look: where all streams are slow it is the load, not a target, and
        hundreds of hosts would ask in vain.
        """
        now, paces = self._view.clock.now(), self._view.paces
        if now < self._next_look_at:
            return
        self._next_look_at = now + LOOK_S
        paces.expire(now)
        wanted = self._targets_of_slow(streams)
        if self._view.watch_duty.on_duty:
            wanted += paces.to_ask(now)
        due = [target_id for target_id in set(wanted) if self._is_due(target_id, now)]
        if due:
            # Hosts that see the same path slow ask different parts of it.
            target_id = self._view.chance.choice(due)
            self._asked_at_by_id[target_id] = now
            nursery.start_soon(self._ask, target_id)

    def note(self, target_id: str, report: TargetReport) -> None:
        """Keep a target's pace, and say so where it turned slow or well."""
        if not self._view.paces.note(target_id, report.pace, self._view.clock.now()):
            return
        is_slow = report.pace > NORMAL_PACE
        self.found += is_slow
        log_event(
            "target.slow" if is_slow else "target.well",
            target=target_id,
            pace=round(report.pace, 2),
            running=report.running,
        )

    def _targets_of_slow(self, streams: Iterable[ActiveStream]) -> list[str]:
        paces = self._view.paces
        found: list[str] = []
        for stream in streams:
            if stream.engine is None or not stream.usual_gap_s or stream.moving:
                continue
            path_s = self._path_s(stream)
            if paces.is_slow(stream.usual_gap_s, path_s):
                found += [part.target_id for part in stream.path]
            else:
                paces.learn(stream.usual_gap_s, path_s)
        return found

    def _is_due(self, target_id: str, now: float) -> bool:
        known_ago_s = self._view.paces.age_s(target_id, now)
        asked_ago_s = now - self._asked_at_by_id.get(target_id, -1e9)
        return min(known_ago_s, asked_ago_s) >= ASK_AGAIN_S

    def _path_s(self, stream: ActiveStream) -> float:
        """Return what a token over a stream's path should take, in seconds."""
        directory = self._view.directory
        records = {
            part.target_id: record
            for part in stream.path
            if (record := directory.find(part.target_id)) is not None
        }
        expected_ms = path_ms(stream.engine, records, self._view.load, stream.path)
        return max(LEAST_PATH_S, expected_ms / 1e3)

    async def _ask(self, target_id: str) -> None:
        record = self._view.directory.find(target_id)
        if record is None:
            return
        report = await self._targets.report(record)
        if report.is_ok():
            self.note(target_id, report.ok)
