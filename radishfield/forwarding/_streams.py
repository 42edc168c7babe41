"""Streams over paths of layered targets, kept going while parts of them fail."""

from contextlib import aclosing

import trio
from expression import Error, Ok, Result

from radishfield.core import Fault, ResultCode, fault
from radishfield.forwarding._active_stream import ActiveStream, path_words
from radishfield.forwarding._call import Call
from radishfield.forwarding._connections import BrokenAnswerError, Exchange
from radishfield.forwarding._crash_watch import CrashWatch
from radishfield.forwarding._stream_paths import LOOK_AGAIN_S, StreamPaths
from radishfield.forwarding._stream_progress import StreamProgress
from radishfield.forwarding._stream_tries import (
    NO_PATH_RETRY_S,
    StreamTries,
    WholeFailure,
)
from radishfield.forwarding._targets import Targets, final_fault
from radishfield.forwarding._view import RouterView
from radishfield.forwarding._watchdog import StreamWatchdog
from radishfield.routing import (
    EngineSpec,
    EventSplitter,
    Path,
)
from radishfield.telemetry import DeferredTelemetry, log_event

LATE_RETRY_SHARE = 0.5
"""Part of a usual stream's length after which a caller that ran out of time may come
back: half of those that held the places then have ended."""
OK_STATUS = 200


class StreamForwarder:
    """Serves calls whose answer is a stream of events."""

    __slots__ = (
        "_crashes",
        "_paths",
        "_targets",
        "_telemetry",
        "_view",
        "_watchdog",
    )

    def __init__(
        self,
        targets: Targets,
        watchdog: StreamWatchdog,
        crashes: CrashWatch,
        view: RouterView,
        telemetry: DeferredTelemetry,
    ):
        self._crashes = crashes
        self._paths = StreamPaths(view)
        self._targets = targets
        self._watchdog = watchdog
        self._view = view
        self._telemetry = telemetry

    async def serve(self, call: Call) -> None:
        """Answer a call."""
        progress = StreamProgress(call)
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

    async def _until_ended(self, call: Call, progress: StreamProgress) -> Fault | None:
        """Try paths until the stream is whole; return why it is not."""
        engine = call.service.engine
        tries = StreamTries()
        while True:
            await self._view.crashes.settle(call.digest, call.deadline_at)
            stop = self._targets.check(call)
            if stop is not None:
                return final_fault(call, stop, NO_PATH_RETRY_S)
            placed = await self._paths.find(call, engine, progress, tries)
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
                await self._view.crashes.settle(call.digest, call.deadline_at)
                problem = self._view.crash_refusal(call) or tries.problem
                return final_fault(call, problem, NO_PATH_RETRY_S)
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

    def _prepare_successor(
        self,
        call: Call,
        engine: EngineSpec | None,
        progress: StreamProgress,
        tries: StreamTries,
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
        if not self._paths.leads_around(call, engine, first_id):
            return "no other path"
        if not self._targets.reserve_repeat(call):
            return "no repeat left"
        return ""

    def _note_unreached(
        self,
        tries: StreamTries,
        result: Result[WholeFailure | None, Fault],
        first_id: str,
    ) -> None:
        """Note the zone of a first target that could not be reached."""
        if result.is_ok() or result.error.code is not ResultCode.CONNECT_FAILED:
            return
        record = self._view.directory.find(first_id)
        if record is not None and record.zone != self._view.zone:
            tries.leave_zone(record.zone)

    async def _attempt(
        self,
        call: Call,
        engine: EngineSpec | None,
        path: Path,
        progress: StreamProgress,
        tries: StreamTries,
    ) -> Result[WholeFailure | None, Fault]:
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
            lambda: self._prepare_successor(call, engine, progress, tries, record.id),
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
            with stream.scope, self._view.crashes.running(call.digest, stream.stop):
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
            if not stream.outlived_start:
                await self._crashes.note_end(call, record, result.error)
            log_event(
                "attempt.ended",
                request=call.facts.request_id,
                code=int(result.error.code),
                detail=result.error.detail,
                after_event=progress.last_id,
            )
        return result

    async def _relay(
        self, call: Call, record, stream: ActiveStream, progress: StreamProgress
    ) -> Result[WholeFailure | None, Fault]:
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
                    lambda text: WholeFailure(
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
        progress: StreamProgress,
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
        else:
            self._view.crashes.outlived(call.digest, call.facts.request_id)
        await call.responder.end_stream()
        return Ok(None)

    async def _start(self, call: Call, exchange: Exchange) -> None:
        if not call.responder.started:
            status = exchange.facts.status
            await call.responder.start_stream(status, exchange.headers)

    async def _pass_on(
        self, call: Call, exchange: Exchange, stream: ActiveStream, events: bytes
    ) -> None:
        outlived_before = stream.outlived_start
        stream.heard(self._view.clock.now())
        if stream.outlived_start and not outlived_before:
            self._view.crashes.outlived(call.digest, call.facts.request_id)
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
