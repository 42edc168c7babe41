"""The watchdog that looks after streams in flight which fall silent."""

import msgspec
import trio
from expression import Result

from radishfield.core import Clock, Fault, ResultCode
from radishfield.forwarding._active_stream import ActiveStream, path_words
from radishfield.forwarding._questions import TargetQuestions
from radishfield.forwarding._slow_targets import SlowTargets
from radishfield.forwarding._targets import REPORT_TIMEOUT_S, Targets, order_status
from radishfield.forwarding._view import RouterView
from radishfield.platform import repath_order
from radishfield.routing import (
    Ask,
    GiveUp,
    Path,
    StreamSilence,
    TargetRecord,
    TargetReport,
    next_look_s,
    next_step,
    targets_to_probe,
)
from radishfield.telemetry import log_event

TICK_S = 0.03
"""Shortest pause between two looks: half of the shortest silence that is acted on."""
LONGEST_TICK_S = 0.1
"""A stream that begins right after a look is not silent for longer than this before
the next one; lost targets are asked as soon."""
LATE_TICK_S = 0.05
"""A look that comes this late says that this process was held up: events lie unread
in its sockets, and every stream would seem silent."""
PROBE_AGAIN_S = 0.1
"""Pause between two probes of a target that answers."""
MEASURE_ZONE_S = 10.0
"""Age of a zone's last answer after which one of its targets is asked, so that the
usual answer time is known when it is needed."""
MEASURE_LOOK_S = 1.0
"""Pause between two looks for such zones."""
REPATH_TRIES = 3
ASKED_AT_ONCE = 3
"""Lost targets that are asked in one look: a host that is cut off from all of them
must not spend its time on asking."""
LEFT_TO_OTHERS_S = 3.0
"""Time for which a lost target is left to the hosts of the zone that follow the store,
which ask it and tell of its answer.  Asked by each of two hundred hosts once a second,
the targets of a zone that is cut off get eight thousand questions a second."""
MOVED = (200, 202)


class StreamWatchdog:
    """Looks at every stream a few times a second."""

    __slots__ = (
        "_asked_at_by_id",
        "_clock",
        "_measure_at",
        "_nursery",
        "_probed_at_by_id",
        "_questions",
        "_slow_targets",
        "_streams",
        "_targets",
        "_view",
        "unheard",
    )

    def __init__(self, targets: Targets, view: RouterView):
        self._targets = targets
        self._view = view
        self._clock: Clock = view.clock
        self._streams: set[ActiveStream] = set()
        self._questions = TargetQuestions(targets, view, self._heard_since)
        self.unheard = 0
        self._asked_at_by_id: dict[str, float] = {}
        self._probed_at_by_id: dict[str, float] = {}
        self._measure_at = 0.0
        self._slow_targets = SlowTargets(targets, view)
        self._nursery: trio.Nursery | None = None

    @property
    def slow_found(self) -> int:
        """Return how often a target was found slower than its kind."""
        return self._slow_targets.found

    def add(self, stream: ActiveStream) -> None:
        """Watch a stream and count its work at the targets of its path."""
        self._streams.add(stream)
        self._count(stream, stream.path, self._view.load.started)

    def remove(self, stream: ActiveStream) -> None:
        """Stop watching a stream."""
        self._streams.discard(stream)
        self._count(stream, stream.path, self._view.load.ended)
        self._view.free_room()

    async def run(self, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED):
        """Watch until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            pause_s = TICK_S
            while True:
                looked_at = self._clock.now()
                await trio.sleep(pause_s)
                if self._clock.now() - looked_at >= pause_s + LATE_TICK_S:
                    continue
                silence_by_stream = self._silences()
                self._look(silence_by_stream)
                self._probe_quiet(silence_by_stream)
                more_lost = self._ask_lost()
                self._measure_zones()
                self._slow_targets.look(self._streams, nursery)
                silences = silence_by_stream.values()
                pause_s = next_look_s(silences, TICK_S, LONGEST_TICK_S)
                if more_lost:
                    pause_s = TICK_S

    def _silences(self) -> dict[ActiveStream, StreamSilence]:
        """Return how each stream stands whose path is not being changed."""
        now = self._clock.now()
        return {
            stream: stream.silence(now) for stream in self._streams if not stream.moving
        }

    def _probe_quiet(
        self, silence_by_stream: dict[ActiveStream, StreamSilence]
    ) -> None:
        """Probe the targets whose streams have all fallen silent."""
        now = self._clock.now()
        silences = [
            silence
            for stream, silence in silence_by_stream.items()
            if stream.engine is not None
        ]
        for target_id in targets_to_probe(silences):
            if now - self._probed_at_by_id.get(target_id, -1e9) < PROBE_AGAIN_S:
                continue
            if not self._view.directory.suspected(target_id, now):
                self._probed_at_by_id[target_id] = now
                self._nursery.start_soon(self._probe, target_id)

    def _measure_zones(self) -> None:
        """Ask one target of each zone that has not answered for a while."""
        now = self._clock.now()
        if now < self._measure_at:
            return
        self._measure_at = now + MEASURE_LOOK_S
        due = {
            record.zone: record
            for record in self._view.directory.all_records()
            if record.span is not None
            and self._questions.unanswered_s(record.zone) > MEASURE_ZONE_S
            and not self._view.directory.suspected(record.id, now)
        }
        for zone, record in due.items():
            self._questions.note_asked(zone)
            self._nursery.start_soon(self._measure, record)

    async def _measure(self, record: TargetRecord) -> None:
        asked_at = self._clock.now()
        report = await self._targets.report(record)
        if report.is_ok():
            answer_s = self._clock.now() - asked_at
            self._questions.note_answer(record.zone, answer_s)

    async def _probe(self, target_id: str) -> None:
        """Ask a target whether it lives; move its streams away if it does not."""
        record = self._view.directory.find(target_id)
        if record is None:
            return
        asked_at = self._clock.now()
        limit_s = self._questions.probe_limit_s(record.zone)
        report = await self._questions.ask(record, limit_s, self._nursery)
        waited_s = self._clock.now() - asked_at
        if report is None:
            self._log_unheard(target_id, waited_s)
        elif report.is_ok():
            self._questions.note_answer(record.zone, waited_s)
            self._take_report(target_id, report.ok)
        elif not _proves_life(report.error):
            self._lose_first(target_id, f"probe: {report.error.detail}", waited_s)
            self._lose_part(record.address)

    def _heard_since(self, target_id: str, asked_at: float) -> bool:
        """Return whether an event came through a target after it was asked."""
        return any(
            stream.has_events and stream.heard_at > asked_at
            for stream in self._streams
            if any(part.target_id == target_id for part in stream.path)
        )

    def _log_unheard(self, target_id: str, waited_s: float) -> None:
        self.unheard += 1
        log_event("target.unheard", target=target_id, waited_s=round(waited_s, 3))

    def _ask_lost(self) -> bool:
        """Ask targets that are left out whether they answer again.

        Returns
        -------
        bool
            Whether more of them are due than are asked in one look.
        """
        now = self._clock.now()
        patience_s = 0.0 if self._view.watch_duty.on_duty else LEFT_TO_OTHERS_S
        due = self._view.directory.to_ask(now, patience_s)
        for target_id in due[:ASKED_AT_ONCE]:
            self._view.directory.asked(target_id, now)
            self._nursery.start_soon(self._ask, target_id)
        return len(due) > ASKED_AT_ONCE

    def _look(self, silence_by_stream: dict[ActiveStream, StreamSilence]) -> None:
        now = self._clock.now()
        for stream, silence in silence_by_stream.items():
            first_id = stream.path[0].target_id
            asked_ago_s = now - self._asked_at_by_id.get(first_id, -1e9)
            match next_step(silence, asked_ago_s, stream.may_resume):
                case Ask() if stream.engine is not None:
                    self._asked_at_by_id[first_id] = now
                    self._nursery.start_soon(self._ask, first_id)
                case GiveUp() if self._give_up(stream, "silent"):
                    log_event(
                        "stream.silent",
                        request=stream.call.facts.request_id,
                        silent_s=round(silence.silent_s, 2),
                        events=stream.has_events,
                        path=path_words(stream.path),
                    )

    async def _ask(self, first_id: str) -> None:
        record, asked_at = self._view.directory.find(first_id), self._clock.now()
        if record is None:
            # Off the list it serves what it has to the end, or its connections break.
            return
        if self._view.directory.found_lost(first_id):
            # It is left out already: only its answer would tell anything new.
            report = await self._targets.report(record)
        else:
            report = await self._questions.ask(record, REPORT_TIMEOUT_S, self._nursery)
        waited_s = self._clock.now() - asked_at
        if report is None:
            self._log_unheard(first_id, waited_s)
            return
        if report.is_error() and _proves_life(report.error):
            self._view.directory.answered(first_id, self._clock.now())
            return
        if report.is_error():
            self._lose_first(first_id, report.error.detail, waited_s)
            return
        self._view.directory.answered(first_id, self._clock.now())
        self._take_report(first_id, report.ok)

    def _take_report(self, first_id: str, report: TargetReport) -> None:
        """Move the streams around the parts for which they wait."""
        self._slow_targets.note(first_id, report)
        stalled_by_id = dict(report.stalled)
        addresses = {
            stalled_by_id.get(stream.call.facts.request_id): None
            for stream in self._streams
            if stream.path[0].target_id == first_id
        }
        for address in addresses:
            if address:
                self._lose_part(address)

    def _lose_first(self, first_id: str, detail: str, waited_s: float) -> None:
        """Give up the streams whose first target does not answer."""
        left_out_s = self._view.directory.suspect(
            first_id, self._clock.now(), until_asked=True
        )
        log_event(
            "target.silent",
            target=first_id,
            detail=detail,
            waited_s=round(waited_s, 3),
            left_out_s=round(left_out_s, 2),
            directory_version=self._view.directory.version,
        )
        for stream in list(self._streams):
            silent_s = self._clock.now() - stream.heard_at
            if stream.path[0].target_id == first_id and silent_s > TICK_S * 2:
                self._give_up(stream, "first target silent", found_lost=True)

    def _lose_part(self, address: str) -> None:
        """Move every stream that passes a dead part around it."""
        record = self._view.directory.at_address(address)
        movers = 0
        if record is not None:
            movers = self._view.load.held(record.id).requests
            left_out_s = self._view.directory.suspect(
                record.id, self._clock.now(), until_asked=True
            )
            log_event(
                "target.stalled",
                target=record.id,
                left_out_s=round(left_out_s, 2),
                directory_version=self._view.directory.version,
            )
        for stream in list(self._streams):
            # A path can't be changed at its first part.
            parts = [part.address for part in stream.path[1:]]
            if address in parts and not stream.moving:
                stream.moving = True
                self._nursery.start_soon(self._move, stream, address, movers)

    async def _move(self, stream: ActiveStream, address: str, movers: int) -> None:
        """Change a stream's path in place; give the attempt up where that fails."""
        began_at = self._clock.now()
        try:
            moved = await self._moved(stream, {address}, movers)
            if not moved and stream.heard_at <= began_at:
                self._give_up(stream, "no other path", found_lost=True)
        finally:
            stream.moving = False

    async def _moved(self, stream: ActiveStream, bad: set[str], movers: int) -> bool:
        first = self._view.directory.find(stream.path[0].target_id)
        if first is None or first.address in bad:
            return False
        for _ in range(REPATH_TRIES):
            if stream not in self._streams:
                return True
            path = self._other_path(stream, bad, movers)
            if path is None:
                return False
            order = repath_order(stream.call.facts.request_id, path)
            answer = await self._targets.order(first, order)
            status = order_status(answer)
            log_event(
                "stream.moved",
                request=stream.call.facts.request_id,
                around=",".join(sorted(bad)),
                status=status,
                path=path_words(path),
            )
            if status in MOVED:
                self._take_path(stream, path)
                return True
            if status != 409:
                return False
            bad.add(_named_address(answer) or path[-1].address)
        return False

    def _other_path(
        self, stream: ActiveStream, bad: set[str], movers: int
    ) -> Path | None:
        """Return a path that keeps the first part and avoids the bad ones.

        All hosts move the streams that passed a lost target at the same moment, and
        each of them reads its prompt again: unlimited, they fill the links between
        zones for seconds, and none of them is served.
        """
        now = self._clock.now()
        service = stream.call.service.name
        records = self._view.directory.usable(service, now)
        sound = [item for item in records if item.address not in bad]
        finder = self._view.path_finder(service, stream.engine, movers)
        held = {part.target_id for part in stream.path}
        return finder.find(
            sound, stream.demand, stream.path[0], self._view.paces.by_id(), held
        )

    def _take_path(self, stream: ActiveStream, path: Path) -> None:
        if stream not in self._streams:
            return
        self._count(stream, stream.path, self._view.load.ended)
        stream.path = path
        stream.call.times.moved += 1
        self._count(stream, path, self._view.load.started)
        self._view.note_crossings(stream.engine, path, stream.demand.prompt)
        # The new parts read the prompt again before the next event.
        stream.heard_at = max(stream.heard_at, self._clock.now() - TICK_S)

    def _give_up(
        self, stream: ActiveStream, reason: str, found_lost: bool = False
    ) -> bool:
        if stream not in self._streams:
            return False
        return stream.give_up(reason, self._clock.now(), found_lost)

    def _count(self, stream: ActiveStream, path: Path, change) -> None:
        for index, part in enumerate(path):
            token_layers = stream.demand.tokens * len(part.span)
            change(part.target_id, token_layers, first=index == 0)


def _proves_life(problem: Fault) -> bool:
    """Return whether a target answered; those that serve alone know no reports."""
    return problem.code is ResultCode.MALFORMED_ANSWER


class _Blocked(msgspec.Struct):
    addr: str = ""


def _named_address(answer: Result[object, Fault]) -> str:
    try:
        return msgspec.json.decode(answer.ok.body, type=_Blocked).addr
    except (msgspec.DecodeError, UnicodeDecodeError):
        return ""
