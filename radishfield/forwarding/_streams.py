"""Forwards streams over paths of layered targets and resumes them when stages fail."""

from contextlib import aclosing

import trio
from expression import Error, Ok, Result

from radishfield.core import Fault, ResultCode, fault, sleep_to_tick
from radishfield.forwarding._active_stream import ActiveStream, format_path
from radishfield.forwarding._call import Call
from radishfield.forwarding._connections import BrokenAnswerError, Exchange
from radishfield.forwarding._crash_watch import CrashWatch
from radishfield.forwarding._stream_paths import RECHECK_S, StreamPaths
from radishfield.forwarding._stream_progress import StreamProgress
from radishfield.forwarding._stream_tries import (
    NO_PATH_RETRY_S,
    StreamAttempts,
    TargetFailure,
)
from radishfield.forwarding._targets import Targets, final_fault
from radishfield.forwarding._view import RouterView
from radishfield.forwarding._watchdog import StreamWatchdog
from radishfield.routing import (
    MAX_EVENT_BYTES,
    EngineSpec,
    EventSplitter,
    Path,
    TargetRecord,
    event_ids,
    read_pause_s,
)
from radishfield.telemetry import DeferredTelemetry, log_event

LATE_RETRY_SHARE = 0.5
"""Share of a typical stream's duration after which a caller whose deadline passed may
retry: by then, half of the streams that held the capacity have ended."""
OK_STATUS = 200
FAILED_START_CODES = (
    ResultCode.STREAM_BROKEN,
    ResultCode.ANSWER_TRUNCATED,
    ResultCode.MALFORMED_ANSWER,
    ResultCode.ANSWER_TOO_LARGE,
)
"""Ends of an attempt that a first target is answerable for if no event arrived."""


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
        admission = self._view.admission_by_service.get(call.service.name)
        if admission is not None:
            now = self._view.clock.now()
            admission.meter.arrived(call.rank, call.workspace_name, now)
        with trio.move_on_after(call.deadline_at - self._view.clock.now()):
            try:
                problem = await self._run_attempts(call, progress)
            finally:
                self._targets.release_retry(call)
            if problem is not None:
                await call.responder.refuse(problem)
            return
        code = ResultCode.DEADLINE_PASSED
        if not call.may_have_run:
            code = ResultCode.EXPIRED_IN_QUEUE
        queue = self._view.admission_queue(call.service.name)
        retry_s = LATE_RETRY_SHARE * queue.typical_stream_s
        await call.responder.refuse(fault(code, "", retry_s))

    async def _run_attempts(self, call: Call, progress: StreamProgress) -> Fault | None:
        """Try paths until the stream is complete; return why it is not."""
        engine = call.service.engine
        attempts = StreamAttempts()
        while True:
            await self._view.crashes.settle(call.traits, call.deadline_at)
            stop = self._targets.check(call)
            if stop is not None:
                return final_fault(call, stop, NO_PATH_RETRY_S)
            found = await self._paths.find(call, engine, progress, attempts)
            if found.is_error():
                return final_fault(call, found.error, NO_PATH_RETRY_S)
            # The call may have waited; its key or route may be removed by now.
            stop = self._targets.check(call)
            if stop is not None:
                return final_fault(call, stop, NO_PATH_RETRY_S)
            if call.sent and not self._targets.may_retry(call, attempts.problem):
                if await self._wait_for_retry(call):
                    continue
                return final_fault(call, attempts.problem, NO_PATH_RETRY_S)
            result = await self._attempt(call, engine, found.ok, progress, attempts)
            if result.is_ok() and result.ok is None:
                return None
            first_id = found.ok[0].target_id
            self._note_unreachable(attempts, result, first_id)
            attempts.note_failure(result, first_id)
            if self._is_reached_otherwise(first_id):
                # The connection failed and not the target, which is tried again.
                attempts.excluded.discard(first_id)
            if not attempts.is_exhausted(call, self._view.clock.now()):
                await trio.sleep(attempts.pause_s())
                continue
            if result.is_error():
                await self._view.crashes.settle(call.traits, call.deadline_at)
                problem = self._view.crash_refusal(call) or attempts.problem
                return final_fault(call, problem, NO_PATH_RETRY_S)
            if call.responder.started:
                return attempts.problem
            # Forward the target's own error answer, with its signature.
            answer = result.ok
            await call.responder.send_complete(
                answer.status, answer.headers, answer.body
            )
            return None

    def _is_reached_otherwise(self, target_id: str) -> bool:
        """Return whether only this host's own link to a target is down."""
        record = self._view.directory.find(target_id)
        return record is not None and self._view.target_links.is_down(record.address)

    async def _wait_for_retry(self, call: Call) -> bool:
        """Wait for retry budget until the caller of a started stream times out.

        When a zone is partitioned, all hosts retry at once, and the retry budget is
        spent for some tenths of a second.  Streams that ended then would all reach
        their callers truncated.
        """
        if not call.responder.started:
            return False
        while self._view.clock.now() < call.caller_timeout_at:
            await trio.sleep(RECHECK_S)
            if self._targets.reserve_retry(call):
                return True
        return False

    def _prepare_successor(
        self,
        call: Call,
        engine: EngineSpec | None,
        attempts: StreamAttempts,
        stream: ActiveStream,
    ) -> str:
        """Return why a stream can't resume on another path; empty if it can.

        An attempt of a stream that has not started may always end: the caller gets an
        answer that reports the failure.
        """
        if not call.responder.started:
            return ""
        if not attempts.allows_retry(call.route):
            return "no attempt left"
        stop = self._targets.check(call)
        if stop is not None:
            return stop.detail or stop.code.name.lower()
        first_id = stream.path[0].target_id
        if not stream.connection_lost and not self._paths.has_alternative(
            call, engine, first_id
        ):
            return "no other path"
        if not self._targets.reserve_retry(call):
            return "no retry budget left"
        return ""

    def _note_unreachable(
        self,
        attempts: StreamAttempts,
        result: Result[TargetFailure | None, Fault],
        first_id: str,
    ) -> None:
        """Record the zone of a first target that could not be reached."""
        if result.is_ok() or result.error.code is not ResultCode.CONNECT_FAILED:
            return
        record = self._view.directory.find(first_id)
        if record is not None and record.zone != self._view.zone:
            attempts.avoid_zone(record.zone)

    async def _attempt(
        self,
        call: Call,
        engine: EngineSpec | None,
        path: Path,
        progress: StreamProgress,
        attempts: StreamAttempts,
    ) -> Result[TargetFailure | None, Fault]:
        record = self._view.directory.find(path[0].target_id)
        if record is None:
            return Error(
                fault(
                    ResultCode.TARGET_REFUSED, "target left before the request was sent"
                )
            )
        now = self._view.clock.now()
        stream = ActiveStream(call, engine, progress.demand(engine), path, now)
        stream.prepare_successor = lambda: self._prepare_successor(
            call, engine, attempts, stream
        )
        stream.may_resume = call.route.repeatable
        queue = self._view.admission_queue(call.service.name)
        queue.started(call.workspace_name)
        size = stream.demand.tokens / max(1, engine.usual_tokens) if engine else 1.0
        admission = self._view.admission_by_service.get(call.service.name)
        if admission is not None:
            # The workspace's priority may change while the stream runs.
            rank, workspace = call.rank, call.workspace_name
            admission.meter.runs(rank, workspace, size)
        self._watchdog.add(stream)
        if engine is not None:
            self._view.note_crossings(engine, path, stream.demand.prompt)
        log_event(
            "attempt.sent",
            request=call.facts.request_id,
            path=format_path(path),
            resumed_after=progress.last_id,
            directory_version=self._view.directory.version,
            list_age_s=round(self._view.list_age_s(), 2),
        )
        result = Error(fault(ResultCode.STREAM_SILENT))
        try:
            with stream.scope, self._view.crashes.running(call.traits, stream.stop):
                result = await self._relay(call, record, stream, progress)
            if call.responder.finished:
                # The attempt was abandoned while the end of its stream was forwarded.
                result = Ok(None)
            elif stream.scope.cancelled_caught:
                result = Error(fault(ResultCode.STREAM_SILENT, stream.abandon_reason))
        finally:
            ended_at = self._view.clock.now()
            queue.ended(call.workspace_name, ended_at, ended_at - now)
            if admission is not None:
                admission.meter.runs(rank, workspace, size, -1)
            self._watchdog.remove(stream)
        self._note_outcome(record, stream, result)
        if result.is_error():
            await self._crashes.check_failed_attempt(
                call, record, result.error, stream.outlived_start
            )
            log_event(
                "attempt.ended",
                request=call.facts.request_id,
                code=int(result.error.code),
                detail=result.error.detail,
                after_event=progress.last_id,
            )
        return result

    def _note_outcome(
        self,
        record: TargetRecord,
        stream: ActiveStream,
        result: Result[TargetFailure | None, Fault],
    ) -> None:
        """Count whether a first target's answer began, or failed before any event.

        A target that loses part of its answers is found by the share that it fails at
        all hosts.
        """
        failed = not stream.has_events and (
            result.error.code in FAILED_START_CODES
            if result.is_error()
            else result.ok is not None
        )
        if failed and self._view.target_links.is_down(record.address):
            return
        if failed or stream.has_events:
            now = self._view.clock.now()
            self._view.shared_failures.note(record.id, failed, now)

    async def _relay(
        self, call: Call, record, stream: ActiveStream, progress: StreamProgress
    ) -> Result[TargetFailure | None, Fault]:
        sent = await self._targets.send(
            call,
            record,
            () if stream.engine is None else stream.path,
            progress.resume_after(),
        )
        if sent.is_error():
            return sent
        exchange = sent.ok
        is_complete = False
        try:
            if exchange.facts.status != OK_STATUS:
                body = await exchange.read()
                is_complete = body.is_ok()
                return body.map(
                    lambda text: TargetFailure(
                        exchange.facts.status, exchange.headers, text
                    )
                )
            result = await self._forward_events(call, exchange, stream, progress)
            is_complete = result.is_ok()
            return result
        finally:
            await exchange.close(reusable=is_complete)

    async def _forward_events(
        self,
        call: Call,
        exchange: Exchange,
        stream: ActiveStream,
        progress: StreamProgress,
    ) -> Result[None, Fault]:
        splitter, waiting = EventSplitter(), bytearray()
        progress.begin_attempt()

        async def forward_waiting() -> None:
            if waiting:
                events = bytes(waiting)
                waiting.clear()
                await self._forward(call, exchange, stream, progress, events)

        async def finish_batch() -> None:
            await forward_waiting()
            if stream.has_events:
                pause_s = read_pause_s(stream.typical_gap_s, call.route.longest_gap_s)
                if pause_s:
                    await sleep_to_tick(pause_s)

        exchange.call_before_reads(finish_batch)
        try:
            async with aclosing(exchange.chunks()) as chunks:
                async for chunk in chunks:
                    events = splitter.feed(chunk)
                    if not progress.accepts(events):
                        await forward_waiting()
                        detail = f"event out of order after {progress.last_id}"
                        return Error(fault(ResultCode.MALFORMED_ANSWER, detail))
                    waiting += events
                    if splitter.is_too_long:
                        await forward_waiting()
                        detail = f"an event is over {MAX_EVENT_BYTES} bytes"
                        return Error(fault(ResultCode.ANSWER_TOO_LARGE, detail))
        except BrokenAnswerError as problem:
            await forward_waiting()
            code = ResultCode.STREAM_BROKEN
            if problem.is_malformed:
                code = ResultCode.MALFORMED_ANSWER
            return Error(fault(code, str(problem)))
        await forward_waiting()
        if splitter.has_incomplete_event:
            return Error(fault(ResultCode.ANSWER_TRUNCATED, "ended within an event"))
        if not stream.has_events:
            # A stream that is resumed after its last event has nothing left to send.
            if not (progress.resume_after() and exchange.facts.framed):
                return Error(fault(ResultCode.ANSWER_TRUNCATED, "ended without events"))
            await self._start(call, exchange)
        else:
            self._view.crashes.record_survival(call.traits, call.facts.request_id)
        await call.responder.end_stream()
        return Ok(None)

    async def _start(self, call: Call, exchange: Exchange) -> None:
        if not call.responder.started:
            status = exchange.facts.status
            await call.responder.start_stream(status, exchange.headers)

    async def _forward(
        self,
        call: Call,
        exchange: Exchange,
        stream: ActiveStream,
        progress: StreamProgress,
        events: bytes,
    ) -> None:
        """Forward complete events, and record them as sent."""
        outlived_before = stream.outlived_start
        stream.note_events(self._view.clock.now(), len(event_ids(events)))
        if stream.outlived_start and not outlived_before:
            self._view.crashes.record_survival(call.traits, call.facts.request_id)
        if call.responder.started:
            await call.responder.send_events(events)
        else:
            await self._start_with(call, exchange, events, stream.last_progress_at)
        count = progress.note_sent(events)
        call.times.note_sent(count, call.arrived_at, stream.last_progress_at)

    async def _start_with(
        self, call: Call, exchange: Exchange, events: bytes, now: float
    ) -> None:
        """Forward the head together with the first events.

        The head is held until then: before that, another target can take over unnoticed
        by the caller.
        """
        await trio.lowlevel.checkpoint_if_cancelled()
        self._telemetry.first_token(now - call.arrived_at)
        with trio.CancelScope(shield=True):
            await self._start(call, exchange)
            await call.responder.send_events(events)
