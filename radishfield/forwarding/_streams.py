"""Streams over paths of layered targets, kept going while parts of them fail."""

from contextlib import aclosing

import msgspec
import trio
from expression import Error, Ok, Result

from radishfield.core import Fault, ResultCode, fault
from radishfield.forwarding._active_stream import ActiveStream, path_words
from radishfield.forwarding._call import Call
from radishfield.forwarding._connections import BrokenAnswerError, Exchange
from radishfield.forwarding._targets import Targets, final_fault
from radishfield.forwarding._tries import Tries, target_error
from radishfield.forwarding._view import FULL_S, LONGEST_FULL_S, RouterView
from radishfield.forwarding._watchdog import StreamWatchdog
from radishfield.routing import (
    AdmissionQueue,
    Demand,
    EngineSpec,
    EventSplitter,
    FailureRates,
    LayerSpan,
    Path,
    PathPart,
    QueueEntry,
    RouteRule,
    TargetDirectory,
    choose_target,
    event_ids,
)
from radishfield.telemetry import DeferredTelemetry, log_event

LOOK_AGAIN_S = 0.05
LOOK_BESIDE_S = 0.1
"""Pause between two looks for a path beside the line, each of which is a search."""
LATE_RETRY_SHARE = 0.5
"""Part of a usual stream's length after which a caller that ran out of time may come
back: half of those that held the places then have ended."""
RESUMED_PRIORITY = -1
"""Before the most urgent of the routes' own."""
NO_PATH_RETRY_S = 0.8
LEAVING_RETRY_S = 0.1
"""A new connection reaches another host at once."""
MORE_REFUSALS = 3
MORE_RESUMES = 2
"""Resumes beside the attempts of the route where the earlier target was lost."""
OK_STATUS = 200
WHOLE_MODEL = LayerSpan(0, 0)
"""The span of a target that is sent no path: it runs whatever it has."""
NO_FAILURES = FailureRates()
"""Streams that fail go on elsewhere; their targets are judged by the watchdog."""


class _WholeFailure(msgspec.Struct, frozen=True):
    """A target's own answer that is no stream."""

    status: int
    headers: list
    body: bytes


class _StreamTries(Tries):
    """The attempts of one stream; keeps the first targets that broke one.

    Attributes
    ----------
    excluded : set of str
        First targets that broke an attempt.
    unreached_zones : set of str
        Other zones of which a target could not be reached.
    """

    __slots__ = ("excluded", "unreached_zones")

    def __init__(self):
        super().__init__(NO_PATH_RETRY_S)
        self.excluded: set[str] = set()
        self.unreached_zones: set[str] = set()

    def leave_zone(self, zone: str) -> None:
        """Keep to other zones from now on.

        Load pattern: a zone is cut off that holds the fastest targets.  Each path
        that was cheapest begins at another one of them, and a stream that tries one
        after the other is refused although its own zone could serve it.
        """
        self.unreached_zones.add(zone)

    def take(self, result: Result["_WholeFailure", Fault], first_id: str) -> None:
        """Note an attempt that failed, with the first target of its path."""
        failed = target_error(result.ok.status) if result.is_ok() else result.error
        self.count(failed)
        # A target that refused for want of room may have some in a moment.
        if self.problem.code is not ResultCode.TARGET_REFUSED:
            self.excluded.add(first_id)

    def over(self, call: Call, now: float) -> bool:
        """Return whether no further attempt is made.

        Refusals end a stream that has begun only once its caller leaves: nothing ran,
        and the caller has no use for half an answer.
        """
        route = call.route
        if self.runs and not route.repeatable:
            return True
        most_runs = route.max_attempts
        if self.problem.code is not ResultCode.TARGET_ERROR:
            most_runs += MORE_RESUMES
        if self.runs >= most_runs:
            return True
        if self.refusals <= MORE_REFUSALS:
            return False
        return not call.responder.started or now >= call.caller_leaves_at

    def pause_s(self) -> float:
        """Return the pause before the next attempt, longer after many refusals.

        Each of them is a repeat that another stream lacks.
        """
        more = self.refusals - MORE_REFUSALS
        return min(LONGEST_FULL_S, FULL_S * 2 ** (more - 1)) if more > 0 else 0.0

    def allows_another(self, route: RouteRule) -> bool:
        """Return whether an attempt that runs may be followed by another one."""
        return route.repeatable and self.runs + 1 < route.max_attempts + MORE_RESUMES


def _firsts_left(call: Call, directory: TargetDirectory) -> set[str] | None:
    """Return the only targets that may see the request; None for any.

    A stream whose later parts fail may be sent on several times, but the route
    limits how many targets see it.  Once so many have, it goes again to one of
    them; those that ended meanwhile do not count.
    """
    live = {name for name in call.ran_at if directory.find(name) is not None}
    return live if len(live) >= call.route.max_attempts else None


class StreamForwarder:
    """Serves calls whose answer is a stream of events."""

    __slots__ = ("_watchdog", "_targets", "_telemetry", "_view")

    def __init__(
        self,
        targets: Targets,
        watchdog: StreamWatchdog,
        view: RouterView,
        telemetry: DeferredTelemetry,
    ):
        self._targets = targets
        self._watchdog = watchdog
        self._view = view
        self._telemetry = telemetry

    async def serve(self, call: Call) -> None:
        """Answer a call."""
        progress = _Progress(call)
        with trio.move_on_after(call.deadline_at - self._view.clock.now()):
            try:
                problem = await self._until_ended(call, progress)
            finally:
                self._targets.release_repeat(call)
            if problem is not None:
                await call.responder.refuse(problem)
            return
        code = ResultCode.DEADLINE_PASSED
        if not call.may_have_run:
            code = ResultCode.EXPIRED_IN_QUEUE
        queue = self._view.admission_queue(call.service.name)
        retry_s = LATE_RETRY_SHARE * queue.usual_stream_s
        await call.responder.refuse(fault(code, "", retry_s))

    async def _until_ended(self, call: Call, progress: "_Progress") -> Fault | None:
        """Try paths until the stream is whole; return why it is not."""
        engine = call.service.engine
        tries = _StreamTries()
        while True:
            stop = self._targets.check(call)
            if stop is not None:
                return final_fault(call, stop, NO_PATH_RETRY_S)
            placed = await self._find_path(call, engine, progress, tries)
            if placed.is_error():
                return final_fault(call, placed.error, NO_PATH_RETRY_S)
            # It may have waited: its key or its route may be gone by now.
            stop = self._targets.check(call)
            if stop is not None:
                return final_fault(call, stop, NO_PATH_RETRY_S)
            if call.sent and not self._targets.may_repeat(call, tries.problem):
                if await self._repeat_is_freed(call):
                    continue
                return final_fault(call, tries.problem, NO_PATH_RETRY_S)
            result = await self._attempt(call, engine, placed.ok, progress, tries)
            if result.is_ok() and result.ok is None:
                return None
            self._note_unreached(tries, result, placed.ok[0].target_id)
            tries.take(result, placed.ok[0].target_id)
            if not tries.over(call, self._view.clock.now()):
                await trio.sleep(tries.pause_s())
                continue
            if result.is_error():
                return final_fault(call, tries.problem, NO_PATH_RETRY_S)
            if call.responder.started:
                return tries.problem
            # The target's own failure, with its signature.
            answer = result.ok
            await call.responder.whole(answer.status, answer.headers, answer.body)
            return None

    async def _repeat_is_freed(self, call: Call) -> bool:
        """Wait for a repeat for as long as the caller of a begun stream waits.

        Load pattern: a zone is cut off, all hosts repeat at once, and the allowance is
        spent for some tenths of a second.  Ended then, each of their streams would
        reach its caller in half.
        """
        if not call.responder.started:
            return False
        while self._view.clock.now() < call.caller_leaves_at:
            await trio.sleep(LOOK_AGAIN_S)
            if self._targets.reserve_repeat(call):
                return True
        return False

    def _obstacle(
        self,
        call: Call,
        engine: EngineSpec | None,
        progress: "_Progress",
        tries: _StreamTries,
        first_id: str,
    ) -> str:
        """Return what keeps a stream from going on at another path; empty if nothing.

        One that has not begun may always end: its caller gets an answer that says so.
        """
        if not call.responder.started:
            return ""
        if not tries.allows_another(call.route):
            return "no attempt left"
        stop = self._targets.check(call)
        if stop is not None:
            return stop.detail or stop.code.name.lower()
        if not self._has_way_around(call, engine, first_id):
            return "no other path"
        if not self._targets.reserve_repeat(call):
            return "no repeat left"
        return ""

    def _has_way_around(
        self, call: Call, engine: EngineSpec | None, first_id: str
    ) -> bool:
        """Return whether there are targets for a path that begins elsewhere.

        Their room is not asked for: some of it is what the attempt itself holds, and
        all streams that wait for the same lost target hold theirs.
        """
        view, service = self._view, call.service.name
        usable = view.directory.usable(service, view.clock.now())
        others = [record for record in usable if record.id != first_id]
        allowed = _firsts_left(call, view.directory)
        if allowed is not None:
            return any(record.id in allowed for record in others)
        return bool(others) if engine is None else _covered(others, engine)

    def _note_unreached(
        self,
        tries: _StreamTries,
        result: Result[_WholeFailure | None, Fault],
        first_id: str,
    ) -> None:
        """Note the zone of a first target that could not be reached."""
        if result.is_ok() or result.error.code is not ResultCode.CONNECT_FAILED:
            return
        record = self._view.directory.find(first_id)
        if record is not None and record.zone != self._view.zone:
            tries.leave_zone(record.zone)

    async def _find_path(
        self,
        call: Call,
        engine: EngineSpec | None,
        progress: "_Progress",
        tries: _StreamTries,
    ) -> Result[Path, Fault]:
        """Return a path, standing in line where all of them are full."""
        if engine is None:
            return self._single_target(call, tries)
        found = await self._stand_in_line(call, engine, progress, tries)
        if found.is_error() and progress.begun:
            return await self._wait_beside(call, engine, progress, tries, found.error)
        return found

    async def _wait_beside(
        self,
        call: Call,
        engine: EngineSpec,
        progress: "_Progress",
        tries: _StreamTries,
        problem: Fault,
    ) -> Result[Path, Fault]:
        """Look for a path of a begun stream until its caller leaves.

        It stands beside the line: those in it may find paths that this one can't use.
        """
        view, service = self._view, call.service.name
        while view.clock.now() < call.caller_leaves_at and not view.ends_waits():
            if not _covered(view.directory.listed(service), engine):
                break
            await trio.sleep(LOOK_BESIDE_S)
            path = self._path_now(call, engine, progress, tries)
            if path is not None:
                return Ok(path)
        return Error(problem)

    async def _stand_in_line(
        self,
        call: Call,
        engine: EngineSpec,
        progress: "_Progress",
        tries: _StreamTries,
    ) -> Result[Path, Fault]:
        view = self._view
        queue = view.admission_queue(call.service.name)
        path = None if len(queue) else self._path_now(call, engine, progress, tries)
        if path is not None:
            return Ok(path)
        # The caller of a stream that has begun is waiting for its next event.
        priority = RESUMED_PRIORITY if progress.begun else call.priority
        entry = queue.join(
            priority,
            call.workspace_name,
            view.clock.now(),
            call.route.caller_patience_s,
        )
        try:
            if queue.is_hopeless(entry, view.clock.now()) and not progress.begun:
                return Error(self._full(queue, entry))
            while True:
                if not self._is_covered(call, engine):
                    detail = "layers are missing"
                    return Error(fault(ResultCode.NO_TARGET, detail, NO_PATH_RETRY_S))
                if queue.may_try(entry):
                    path = self._path_now(call, engine, progress, tries)
                if path is not None:
                    return Ok(path)
                if view.ends_waits():
                    code = ResultCode.DRAINING
                    return Error(fault(code, "host leaves", LEAVING_RETRY_S))
                if queue.has_expired(entry, view.clock.now()):
                    return Error(self._full(queue, entry))
                with trio.move_on_after(LOOK_AGAIN_S):
                    await view.room_freed.wait()
        finally:
            queue.leave(entry)
            call.times.queued_s += view.clock.now() - entry.since

    def _single_target(self, call: Call, tries: _StreamTries) -> Result[Path, Fault]:
        """Return a path of one target, for a service whose targets serve alone."""
        view = self._view
        firsts = _firsts_left(call, view.directory)
        usable = view.directory.usable(call.service.name, view.clock.now())
        record = choose_target(
            [item for item in usable if firsts is None or item.id in firsts],
            view.load,
            NO_FAILURES,
            view.zone,
            tries.excluded if firsts is None else (),
            view.chance,
        )
        if record is None:
            return Error(fault(ResultCode.NO_TARGET, "", NO_PATH_RETRY_S))
        return Ok((PathPart(record.id, record.address, WHOLE_MODEL),))

    def _path_now(
        self,
        call: Call,
        engine: EngineSpec | None,
        progress: "_Progress",
        tries: _StreamTries,
    ) -> Path | None:
        roomy = self._view.usable_with_room(call.service.name)
        firsts = _firsts_left(call, self._view.directory)
        # A first target whose attempt broke may be sound: a later part was not.
        excluded = tries.excluded - (firsts or set())
        pool = [record for record in roomy if record.id not in excluded]
        finder = self._view.path_finder(call.service.name, engine)
        reached = [item for item in pool if item.zone not in tries.unreached_zones]
        pools = [reached] if len(reached) == len(pool) else [reached, pool]
        for records in pools:
            path = finder.find(
                records,
                progress.demand(engine),
                pace_by_id=self._view.paces.by_id(),
                first_ids=firsts,
            )
            if path is not None:
                return path
        return None

    def _is_covered(self, call: Call, engine: EngineSpec) -> bool:
        now = self._view.clock.now()
        records = self._view.directory.usable(call.service.name, now)
        return _covered(records, engine)

    def _full(self, queue: AdmissionQueue, entry: QueueEntry) -> Fault:
        now = self._view.clock.now()
        detail = f"full, {len(queue)} in queue, waited {now - entry.since:.2f} s"
        retry_s = queue.return_after_s(entry, now)
        return fault(ResultCode.DEADLINE_UNREACHABLE, detail, retry_s)

    async def _attempt(
        self,
        call: Call,
        engine: EngineSpec | None,
        path: Path,
        progress: "_Progress",
        tries: _StreamTries,
    ) -> Result[_WholeFailure | None, Fault]:
        record = self._view.directory.find(path[0].target_id)
        if record is None:
            return Error(fault(ResultCode.TARGET_REFUSED, "left before the send"))
        now = self._view.clock.now()
        stream = ActiveStream(
            call,
            engine,
            progress.demand(engine),
            path,
            now,
            lambda: self._obstacle(call, engine, progress, tries, record.id),
        )
        stream.may_resume = call.route.repeatable
        queue = self._view.admission_queue(call.service.name)
        queue.started(call.workspace_name)
        self._watchdog.add(stream)
        if engine is not None:
            self._view.note_crossings(engine, path, stream.demand.prompt)
        log_event(
            "attempt.sent",
            request=call.facts.request_id,
            path=path_words(path),
            resumed_after=progress.last_id,
            directory_version=self._view.directory.version,
        )
        result = Error(fault(ResultCode.STREAM_SILENT))
        try:
            with stream.scope:
                result = await self._relay(call, record, stream, progress)
            if call.responder.finished:
                # Given up in the turn in which its end was passed on.
                result = Ok(None)
            elif stream.scope.cancelled_caught:
                result = Error(fault(ResultCode.STREAM_SILENT, stream.given_up))
        finally:
            ended_at = self._view.clock.now()
            queue.ended(call.workspace_name, ended_at, ended_at - now)
            self._watchdog.remove(stream)
        if result.is_error():
            log_event(
                "attempt.ended",
                request=call.facts.request_id,
                code=int(result.error.code),
                detail=result.error.detail,
                after_event=progress.last_id,
            )
        return result

    async def _relay(
        self, call: Call, record, stream: ActiveStream, progress: "_Progress"
    ) -> Result[_WholeFailure | None, Fault]:
        sent = await self._targets.send(
            call,
            record,
            () if stream.engine is None else stream.path,
            progress.resume_after(),
        )
        if sent.is_error():
            return sent
        exchange = sent.ok
        whole = False
        try:
            if exchange.facts.status != OK_STATUS:
                body = await exchange.read()
                whole = body.is_ok()
                return body.map(
                    lambda text: _WholeFailure(
                        exchange.facts.status, exchange.headers, text
                    )
                )
            result = await self._pass_events(call, exchange, stream, progress)
            whole = result.is_ok()
            return result
        finally:
            await exchange.close(reusable=whole)

    async def _pass_events(
        self,
        call: Call,
        exchange: Exchange,
        stream: ActiveStream,
        progress: "_Progress",
    ) -> Result[None, Fault]:
        splitter = EventSplitter()
        try:
            async with aclosing(exchange.chunks()) as chunks:
                async for chunk in chunks:
                    events = splitter.feed(chunk)
                    if not events:
                        continue
                    if not progress.follows(events):
                        detail = f"event out of order after {progress.last_id}"
                        return Error(fault(ResultCode.MALFORMED_ANSWER, detail))
                    await self._pass_on(call, exchange, stream, events)
                    count = progress.passed(events)
                    call.times.passed(count, call.arrived_at, stream.heard_at)
        except BrokenAnswerError as problem:
            return Error(fault(ResultCode.STREAM_BROKEN, str(problem)))
        if splitter.torn:
            return Error(fault(ResultCode.ANSWER_TRUNCATED, "ended within an event"))
        if not stream.has_events:
            # Resumed after its last event, a stream has nothing left to send.
            if not (progress.resume_after() and exchange.facts.framed):
                return Error(fault(ResultCode.ANSWER_TRUNCATED, "ended without events"))
            await self._start(call, exchange)
        await call.responder.end_stream()
        return Ok(None)

    async def _start(self, call: Call, exchange: Exchange) -> None:
        if not call.responder.started:
            status = exchange.facts.status
            await call.responder.start_stream(status, exchange.headers)

    async def _pass_on(
        self, call: Call, exchange: Exchange, stream: ActiveStream, events: bytes
    ) -> None:
        stream.heard(self._view.clock.now())
        if call.responder.started:
            await call.responder.events(events)
            return
        # The head waits for the first event: until then another target can take
        # over without the caller having seen anything.  Neither goes out alone.
        await trio.lowlevel.checkpoint_if_cancelled()
        self._telemetry.first_token(stream.heard_at - call.arrived_at)
        with trio.CancelScope(shield=True):
            await self._start(call, exchange)
            await call.responder.events(events)


class _Progress:
    """What of a stream the caller has."""

    __slots__ = ("_call", "_events", "last_id")

    def __init__(self, call: Call):
        given = call.facts.last_event_id.strip()
        self._call = call
        self._events = 0
        self.last_id: int | None = int(given) if given.isdigit() else None

    @property
    def begun(self) -> bool:
        """Return whether the caller has any event of this answer."""
        return self._events > 0

    def resume_after(self) -> bytes:
        """Return the id after which a target is to go on; empty for the start."""
        if self._events == 0:
            return self._call.facts.last_event_id
        return b"" if self.last_id is None else str(self.last_id).encode()

    def follows(self, events: bytes) -> bool:
        """Return whether events go on right after what the caller has."""
        expected = self.last_id
        for event_id in event_ids(events):
            if expected is not None and event_id != expected + 1:
                return False
            expected = event_id
        return True

    def passed(self, events: bytes) -> int:
        """Note events that went out to the caller; return how many."""
        ids = event_ids(events)
        self._events += len(ids)
        if ids:
            self.last_id = ids[-1]
        return len(ids)

    def demand(self, engine: EngineSpec | None) -> Demand:
        """Return what the request will fill at each target of its path."""
        facts = self._call.facts
        if engine is None:
            return Demand(facts.prompt_tokens, facts.likely_answer_tokens)
        answer = facts.likely_answer_tokens or engine.usual_answer
        if facts.most_answer_tokens:
            answer = min(answer, facts.most_answer_tokens)
        return Demand(facts.prompt_tokens or engine.usual_prompt, answer)


def _covered(records, engine: EngineSpec) -> bool:
    """Return whether the targets hold every layer, whatever room they have."""
    spans = sorted(
        (record.span.first, record.span.end)
        for record in records
        if record.span is not None
    )
    reached = 0
    for first, end in spans:
        if first > reached:
            return False
        reached = max(reached, end)
    return reached >= engine.layers
