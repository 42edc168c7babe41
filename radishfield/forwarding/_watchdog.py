"""Watchdog that detects stalled streams and moves them to other paths."""

import msgspec
import trio
from expression import Result

from radishfield.core import (
    UNREADABLE_ERRORS,
    Clock,
    Fault,
    ResultCode,
    until_tick_s,
)
from radishfield.forwarding._active_stream import ActiveStream, format_path
from radishfield.forwarding._questions import TargetProber
from radishfield.forwarding._slow_targets import SlowTargets
from radishfield.forwarding._targets import REPORT_TIMEOUT_S, Targets, order_status
from radishfield.forwarding._view import RouterView
from radishfield.platform import encode_repath_order
from radishfield.routing import (
    Ask,
    GiveUp,
    Path,
    StreamSilence,
    TargetRecord,
    TargetReport,
    next_check_s,
    next_step,
    targets_to_probe,
)
from radishfield.telemetry import log_event

MIN_TICK_S = 0.03
"""Minimum pause between checks: half of the shortest silence that is acted on."""
MAX_TICK_S = 0.1
"""Maximum pause between checks: a stream that starts right after a check is not silent
for longer than this before the next, and unreachable targets are queried as often."""
LATE_TICK_S = 0.05
"""A check that is this late shows that this process was blocked: events are unread in
its sockets, and every stream would seem silent."""
MIN_LATENESS_S = 0.005
"""Lateness of a check from which on it is taken off the silence of the streams.  The
timers of an idle host are late by less."""
PASSES_PER_LATENESS = 2.0
"""Length of a pass of the event loop as a multiple of a timer's lateness: a timer that
is due at a random moment of a pass is late by half of it on average."""
PROBE_INTERVAL_S = 0.1
"""Pause between two probes of a target that answers."""
MEASURE_ZONE_S = 10.0
"""Age of a zone's last answer after which one of its targets is queried, so that the
typical answer time is known when it is needed."""
MEASURE_INTERVAL_S = 1.0
"""Pause between two checks for such zones."""
REPATH_ATTEMPTS = 3
MAX_QUERIES = 3
"""Unreachable targets that are queried in one check: a host that is disconnected from
all targets must not spend its time on queries."""
DELEGATED_S = 3.0
"""Time for which an unreachable target is left to the hosts of the zone that follow the
store, which query it and report its answer.  If each of two hundred hosts queries them
once a second, the targets of a partitioned zone get eight thousand queries a second."""
REPATHED_STATUSES = (200, 202)


class StreamWatchdog:
    """Checks every stream several times a second."""

    __slots__ = (
        "_queried_at_by_id",
        "_clock",
        "_measure_at",
        "_nursery",
        "_probed_at_by_id",
        "_prober",
        "_slow_targets",
        "_streams",
        "_targets",
        "_view",
        "held_up_s",
        "unheard",
    )

    def __init__(self, targets: Targets, view: RouterView):
        self._targets = targets
        self._view = view
        self._clock: Clock = view.clock
        self._streams: set[ActiveStream] = set()
        self._prober = TargetProber(targets, view, self._has_event_since)
        self.unheard = 0
        self.held_up_s = 0.0
        self._queried_at_by_id: dict[str, float] = {}
        self._probed_at_by_id: dict[str, float] = {}
        self._measure_at = 0.0
        self._slow_targets = SlowTargets(targets, view)
        self._nursery: trio.Nursery | None = None

    @property
    def slow_found(self) -> int:
        """Return how often a target was found slower than others of its kind."""
        return self._slow_targets.found_count

    def add(self, stream: ActiveStream) -> None:
        """Watch a stream and add its load to the targets of its path."""
        self._streams.add(stream)
        self._count(stream, stream.path, self._view.load.started)

    def remove(self, stream: ActiveStream) -> None:
        """Stop watching a stream."""
        self._streams.discard(stream)
        self._count(stream, stream.path, self._view.load.ended)
        self._view.notify_capacity_freed()

    async def run(self, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED):
        """Watch until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            pause_s = MIN_TICK_S
            while True:
                checked_at = self._clock.now()
                await trio.sleep(pause_s)
                interval_s = self._clock.now() - checked_at
                late_s = interval_s - pause_s
                with self._view.boundary.contain("streams.check"):
                    if late_s >= MIN_LATENESS_S:
                        held_up_s = min(interval_s, PASSES_PER_LATENESS * late_s)
                        self._note_lateness(held_up_s)
                    if late_s >= LATE_TICK_S:
                        continue
                    pause_s = MAX_TICK_S
                    pause_s = self._check_all(nursery)

    def _check_all(self, nursery: trio.Nursery) -> float:
        """Check all streams and zones; return the pause until the next check."""
        silence_by_stream = self._silences()
        self._check_streams(silence_by_stream)
        self._probe_silent(silence_by_stream)
        has_more_due = self._query_unreachable()
        self._measure_zones()
        self._slow_targets.check(self._streams, nursery)
        silences = silence_by_stream.values()
        pause_s = next_check_s(silences, MIN_TICK_S, MAX_TICK_S)
        if has_more_due:
            return MIN_TICK_S
        return until_tick_s(MAX_TICK_S) if pause_s >= MAX_TICK_S else pause_s

    def _start(self, work: str, target_id: str, function, *arguments) -> None:
        """Start work for a target, whose defects end this work only."""
        self._nursery.start_soon(
            self._view.boundary.run, work, target_id, function, *arguments
        )

    def _note_lateness(self, held_up_s: float) -> None:
        now = self._clock.now()
        self.held_up_s += held_up_s
        for stream in self._streams:
            stream.note_lateness(held_up_s, now)

    def _silences(self) -> dict[ActiveStream, StreamSilence]:
        """Return the state of each stream whose path is not being changed."""
        now = self._clock.now()
        return {
            stream: stream.silence(now) for stream in self._streams if not stream.moving
        }

    def _probe_silent(
        self, silence_by_stream: dict[ActiveStream, StreamSilence]
    ) -> None:
        """Probe the targets whose streams are all silent."""
        now = self._clock.now()
        silences = [
            silence
            for stream, silence in silence_by_stream.items()
            if stream.engine is not None
        ]
        for target_id in targets_to_probe(silences):
            if now - self._probed_at_by_id.get(target_id, -1e9) < PROBE_INTERVAL_S:
                continue
            record = self._view.directory.find(target_id)
            if record is not None and self._view.target_links.is_down(record.address):
                self._replace_lost_connections(record, now, connection_lost=False)
            if self._prober.is_probing(target_id):
                # More probes of a target that is late only make everything later.
                continue
            if not self._view.directory.suspected(target_id, now):
                self._probed_at_by_id[target_id] = now
                self._start("target.probe", target_id, self._probe, target_id)

    def _measure_zones(self) -> None:
        """Query one target of each zone without a recent answer."""
        now = self._clock.now()
        if now < self._measure_at:
            return
        self._measure_at = now + MEASURE_INTERVAL_S
        due = {
            record.zone: record
            for record in self._view.directory.all_records()
            if record.span is not None
            and self._prober.last_answer_age_s(record.zone) > MEASURE_ZONE_S
            and not self._view.directory.suspected(record.id, now)
        }
        for zone, record in due.items():
            self._prober.note_query(zone)
            self._start("target.measure", record.id, self._measure, record)

    async def _measure(self, record: TargetRecord) -> None:
        if not self._has_room(record):
            return
        sent_at = self._clock.now()
        report = await self._targets.report(record)
        if report.is_ok():
            answer_s = self._clock.now() - sent_at
            self._prober.note_answer(record.zone, answer_s)

    async def _probe(self, target_id: str) -> None:
        """Probe a target; move its streams to other targets if it does not answer."""
        record = self._view.directory.find(target_id)
        if record is None or not self._has_room(record):
            return
        sent_at = self._clock.now()
        limit_s = self._prober.probe_limit_s(record.zone)
        outcome = await self._prober.probe(record, limit_s, self._nursery)
        waited_s = self._clock.now() - sent_at
        report = outcome.report
        self._replace_lost_connections(record, sent_at, outcome.connection_lost)
        if report is None:
            self._log_no_verdict(target_id, waited_s)
        elif report.is_ok():
            self._prober.note_answer(record.zone, waited_s)
            self._handle_report(target_id, report.ok)
        elif not _answered(report.error):
            self._drop_first_target(
                target_id, f"probe: {report.error.detail}", waited_s
            )
            self._avoid_stage(record.address)

    def _has_event_since(self, target_id: str, sent_at: float) -> bool:
        """Return whether an event arrived through a target after a query was sent."""
        return any(
            stream.has_events and stream.last_progress_at > sent_at
            for stream in self._streams
            if any(stage.target_id == target_id for stage in stream.path)
        )

    def _log_no_verdict(self, target_id: str, waited_s: float) -> None:
        self.unheard += 1
        log_event(
            "target.unheard",
            target=target_id,
            waited_s=round(waited_s, 3),
            held_up_s=round(self.held_up_s, 2),
        )

    def _query_unreachable(self) -> bool:
        """Query excluded targets to find those that answer again.

        Returns
        -------
        bool
            Whether more targets are due than are queried in one check.
        """
        now = self._clock.now()
        min_age_s = 0.0 if self._view.watch_duty.on_duty else DELEGATED_S
        due = self._view.directory.to_ask(now, min_age_s)
        for target_id in due[:MAX_QUERIES]:
            self._view.directory.asked(target_id, now)
            self._start("target.ask", target_id, self._ask, target_id)
        return len(due) > MAX_QUERIES

    def _check_streams(
        self, silence_by_stream: dict[ActiveStream, StreamSilence]
    ) -> None:
        now = self._clock.now()
        for stream, silence in silence_by_stream.items():
            first_id = stream.path[0].target_id
            last_query_age_s = now - self._queried_at_by_id.get(first_id, -1e9)
            match next_step(silence, last_query_age_s, stream.may_resume):
                case Ask() if stream.engine is not None:
                    self._queried_at_by_id[first_id] = now
                    self._start("target.ask", first_id, self._ask, first_id)
                case GiveUp() if self._abandon(stream, "silent"):
                    log_event(
                        "stream.silent",
                        request=stream.call.facts.request_id,
                        silent_s=round(silence.silent_s, 2),
                        held_up_s=round(stream.held_up_s, 2),
                        events=stream.has_events,
                        path=format_path(stream.path),
                    )

    async def _ask(self, first_id: str) -> None:
        record, sent_at = self._view.directory.find(first_id), self._clock.now()
        if record is None:
            # A delisted target finishes its streams, or its connections break.
            return
        if not self._has_room(record):
            return
        if self._view.directory.found_unreachable(first_id):
            # The target is excluded already, so only an answer is new information.
            report = await self._targets.report(record)
        else:
            outcome = await self._prober.probe(record, REPORT_TIMEOUT_S, self._nursery)
            report = outcome.report
            self._replace_lost_connections(record, sent_at, outcome.connection_lost)
        waited_s = self._clock.now() - sent_at
        if report is None:
            self._log_no_verdict(first_id, waited_s)
            return
        if report.is_error() and _answered(report.error):
            self._view.directory.answered(first_id, self._clock.now())
            return
        if report.is_error():
            self._drop_first_target(first_id, report.error.detail, waited_s)
            return
        self._view.directory.answered(first_id, self._clock.now())
        self._handle_report(first_id, report.ok)

    def _handle_report(self, first_id: str, report: TargetReport) -> None:
        """Move streams around the stages that they wait for."""
        self._slow_targets.note(first_id, report)
        stalled_by_id = dict(report.stalled)
        addresses = {
            stalled_by_id.get(stream.call.facts.request_id): None
            for stream in self._streams
            if stream.path[0].target_id == first_id
        }
        for address in addresses:
            if address:
                self._avoid_stage(address)

    def _drop_first_target(self, first_id: str, detail: str, waited_s: float) -> None:
        """Abandon the streams whose first target does not answer."""
        left_out_s = self._view.directory.suspect(
            first_id, self._clock.now(), until_answered=True
        )
        log_event(
            "target.silent",
            target=first_id,
            detail=detail,
            waited_s=round(waited_s, 3),
            held_up_s=round(self.held_up_s, 2),
            left_out_s=round(left_out_s, 2),
            directory_version=self._view.directory.version,
        )
        for stream in list(self._streams):
            silent_s = self._clock.now() - stream.last_progress_at
            if stream.path[0].target_id == first_id and silent_s > MIN_TICK_S * 2:
                self._abandon(stream, "first target silent", target_unreachable=True)

    def _replace_lost_connections(
        self, record: TargetRecord, sent_at: float, connection_lost: bool
    ) -> None:
        """Resume the streams whose connections to a live target are lost.

        Parameters
        ----------
        connection_lost : bool
            A connection that was open at ``sent_at`` is silent, and a new one is not.
        """
        lost_before = sent_at if connection_lost else None
        if lost_before is None:
            lost_before = self._view.target_links.down_since(record.address)
        if lost_before is None:
            return
        now = self._clock.now()
        for stream in list(self._streams):
            silence = stream.silence(now)
            if (
                stream.path[0].target_id == record.id
                and stream.started_at < lost_before
                and silence.silent_s >= silence.probe_after_s
                and not stream.moving
                and stream.abandon_connection(now)
            ):
                log_event(
                    "stream.connection_lost",
                    request=stream.call.facts.request_id,
                    target=record.id,
                    silent_s=round(silence.silent_s, 2),
                )

    def _avoid_stage(self, address: str) -> None:
        """Move every stream that uses a crashed stage around it."""
        record = self._view.directory.at_address(address)
        movers = 0
        if record is not None:
            movers = self._view.load.held(record.id).requests
            left_out_s = self._view.directory.suspect(
                record.id, self._clock.now(), until_answered=True
            )
            log_event(
                "target.stalled",
                target=record.id,
                left_out_s=round(left_out_s, 2),
                directory_version=self._view.directory.version,
            )
        for stream in list(self._streams):
            # The first stage of a path can't be changed.
            addresses = [stage.address for stage in stream.path[1:]]
            if address in addresses and not stream.moving:
                stream.moving = True
                self._nursery.start_soon(self._repath, stream, address, movers)

    async def _repath(self, stream: ActiveStream, address: str, movers: int) -> None:
        """Change a stream's path in place; abandon the attempt if that fails."""
        started_at = self._clock.now()
        moved = False
        try:
            with self._view.boundary.contain("stream.move", address):
                moved = await self._try_repath(stream, {address}, movers)
            if not moved and stream.last_progress_at <= started_at:
                with self._view.boundary.contain("stream.abandon", address):
                    self._abandon(stream, "no other path", target_unreachable=True)
        finally:
            stream.moving = False

    async def _try_repath(
        self, stream: ActiveStream, bad_addresses: set[str], movers: int
    ) -> bool:
        first = self._view.directory.find(stream.path[0].target_id)
        if first is None or first.address in bad_addresses:
            return False
        for _ in range(REPATH_ATTEMPTS):
            if stream not in self._streams:
                return True
            path = self._alternative_path(stream, bad_addresses, movers)
            if path is None:
                return False
            if not self._take_room(stream, path):
                return False
            order = encode_repath_order(stream.call.facts.request_id, path)
            answer = await self._targets.order(first, order)
            status = order_status(answer)
            log_event(
                "stream.moved",
                request=stream.call.facts.request_id,
                around=",".join(sorted(bad_addresses)),
                status=status,
                path=format_path(path),
            )
            if status in REPATHED_STATUSES:
                self._apply_path(stream, path)
                return True
            if status != 409:
                return False
            bad_addresses.add(_blocked_address(answer) or path[-1].address)
        return False

    def _take_room(self, stream: ActiveStream, path: Path) -> bool:
        """Use the tokens of the limited targets that a stream has not passed yet."""
        known_ids = {stage.target_id for stage in stream.path}
        records = [
            self._view.directory.find(stage.target_id)
            for stage in path
            if stage.target_id not in known_ids
        ]
        found = [record for record in records if record is not None]
        return self._view.limits.take(found, self._clock.now())

    def _has_room(self, record: TargetRecord) -> bool:
        """Return whether a target's limit or rest has room for a query."""
        now = self._clock.now()
        has_token = self._view.limits.has_room(record, now)
        return has_token and self._view.rests.allows_probe(record, now)

    def _alternative_path(
        self, stream: ActiveStream, bad_addresses: set[str], movers: int
    ) -> Path | None:
        """Return a path that keeps the first stage and avoids the bad addresses.

        All hosts move the streams of an unreachable target at the same moment, and each
        stream processes its prompt again.  Without a limit they fill the links between
        zones for seconds, and none of them is served.
        """
        now = self._clock.now()
        service = stream.call.service.name
        current_ids = {stage.target_id for stage in stream.path}
        healthy = [
            item
            for item in self._view.directory.usable(service, now)
            if item.address not in bad_addresses
            and (item.id in current_ids or self._takes_parts(item, now))
        ]
        finder = self._view.path_finder(service, stream.engine, movers)
        return finder.find(
            healthy,
            stream.demand,
            stream.path[0],
            self._view.slowdowns.by_id(),
            current_ids,
        )

    def _takes_parts(self, record: TargetRecord, now: float) -> bool:
        """Return whether a stream may move to a target that it has not passed yet."""
        rests = self._view.rests.is_resting(record, now)
        return not rests and self._view.limits.has_room(record, now)

    def _apply_path(self, stream: ActiveStream, path: Path) -> None:
        if stream not in self._streams:
            return
        self._count(stream, stream.path, self._view.load.ended)
        stream.path = path
        stream.call.times.moved += 1
        self._count(stream, path, self._view.load.started)
        self._view.note_crossings(stream.engine, path, stream.demand.prompt)
        # The new stages process the prompt again before the next event.
        stream.last_progress_at = max(
            stream.last_progress_at, self._clock.now() - MIN_TICK_S
        )

    def _abandon(
        self, stream: ActiveStream, reason: str, target_unreachable: bool = False
    ) -> bool:
        if stream not in self._streams:
            return False
        return stream.abandon(reason, self._clock.now(), target_unreachable)

    def _count(self, stream: ActiveStream, path: Path, change) -> None:
        for index, stage in enumerate(path):
            token_layers = stream.demand.tokens * len(stage.span)
            change(stage.target_id, token_layers, first=index == 0)


def _answered(problem: Fault) -> bool:
    """Return whether a target answered; those that serve alone send no reports."""
    return problem.code is ResultCode.MALFORMED_ANSWER


class _Blocked(msgspec.Struct):
    addr: str = ""


def _blocked_address(answer: Result[object, Fault]) -> str:
    try:
        return msgspec.json.decode(answer.ok.body, type=_Blocked).addr
    except UNREADABLE_ERRORS:
        return ""
