"""Finds paths for streams: at once, in the queue, or outside it for started streams."""

import math

import trio
from expression import Error, Ok, Result

from radishfield.core import Fault, ResultCode, fault
from radishfield.forwarding._admission_ticket import AdmissionTicket
from radishfield.forwarding._call import Call
from radishfield.forwarding._stream_progress import StreamProgress
from radishfield.forwarding._stream_tries import NO_PATH_RETRY_S, StreamAttempts
from radishfield.forwarding._view import RouterView
from radishfield.routing import (
    AdmissionQueue,
    EngineSpec,
    LayerSpan,
    Path,
    PathStage,
    QueueEntry,
    TargetDirectory,
    choose_target,
)

RECHECK_S = 0.05
UNQUEUED_RECHECK_S = 0.1
"""Interval between checks for a path outside the queue, each of which is a search."""
RESUMED_PRIORITY = -1
"""Ranks before the most urgent priority of any route."""
MAX_REST_WAIT_S = 0.2
"""Time for which a request waits in the queue for targets that rest."""
LEAVING_RETRY_S = 0.1
"""A new connection immediately reaches another host."""
WHOLE_MODEL = LayerSpan(0, 0)
"""The span of a target that is sent no path and runs all layers that it has."""
"""Failed streams resume at other targets; the watchdog judges the failed targets."""


class StreamPaths:
    """Finds paths for streams over the targets known to this host."""

    __slots__ = ("_view",)

    def __init__(self, view: RouterView):
        self._view = view

    async def find(
        self,
        call: Call,
        engine: EngineSpec | None,
        progress: StreamProgress,
        attempts: StreamAttempts,
    ) -> Result[Path, Fault]:
        """Return a path; wait in the queue if all paths are full."""
        if engine is None:
            found = self._single_target(call, attempts)
        else:
            found = await self._wait_in_queue(call, engine, progress, attempts)
        if found.is_error() and progress.has_started:
            return await self._search_unqueued(
                call, engine, progress, attempts, found.error
            )
        return found

    async def _search_unqueued(
        self,
        call: Call,
        engine: EngineSpec | None,
        progress: StreamProgress,
        attempts: StreamAttempts,
        problem: Fault,
    ) -> Result[Path, Fault]:
        """Search for a path for a started stream until its caller times out.

        The stream does not wait in the queue: queued requests may find paths that it
        can't use.  Targets of failed attempts are retried, since no others are left.
        """
        view, service = self._view, call.service.name
        attempts.excluded.clear()
        while view.clock.now() < call.caller_timeout_at and not view.ends_waits():
            listed = view.directory.listed(service)
            if engine is not None and not _covered(listed, engine):
                break
            await trio.sleep(UNQUEUED_RECHECK_S)
            refusal = view.crash_refusal(call)
            if refusal is not None:
                return Error(refusal)
            if engine is None:
                found = self._single_target(call, attempts)
            else:
                found = self._find_path(call, engine, progress, attempts)
                found = Error(problem) if found is None else Ok(found)
            if found.is_ok():
                return found
        return Error(problem)

    async def _wait_in_queue(
        self,
        call: Call,
        engine: EngineSpec,
        progress: StreamProgress,
        attempts: StreamAttempts,
    ) -> Result[Path, Fault]:
        view = self._view
        queue = view.admission_queue(call.service.name)
        ticket = AdmissionTicket.for_call(view, call, progress.has_started)
        refusal = ticket.refusal()
        if refusal is not None:
            return Error(refusal)
        path = None
        if ticket.may_start() and not len(queue):
            path = self._find_path(call, engine, progress, attempts)
        if path is not None:
            ticket.note_start(progress.demand(engine).tokens / engine.usual_tokens)
            return Ok(path)
        # The caller of a started stream is waiting for its next event.
        now, priority, due_in_s = view.clock.now(), RESUMED_PRIORITY, math.inf
        if not progress.has_started:
            priority = ticket.queue_priority()
            due_in_s = max(0.0, call.arrived_at + call.route.first_event_due_s - now)
        entry = queue.join(
            priority,
            call.workspace_name,
            now,
            call.route.caller_patience_s,
            due_in_s,
        )
        ticket.begin_wait()
        try:
            if (
                queue.expects_timeout(entry, view.clock.now())
                and not progress.has_started
            ):
                return Error(self._full_fault(queue, entry))
            while True:
                if not self._is_covered(call, engine):
                    detail = "layers are missing"
                    return Error(fault(ResultCode.NO_TARGET, detail, NO_PATH_RETRY_S))
                refusal = view.crash_refusal(call)
                if refusal is not None:
                    return Error(refusal)
                if self._waits_for_tokens_in_vain(call, engine, entry, progress):
                    return Error(view.limit_fault(call.service.name))
                rest = self._rest_fault(call, engine, progress)
                if rest is not None:
                    return Error(rest)
                if queue.may_try(entry, view.clock.now()) and ticket.may_start():
                    path = self._find_path(call, engine, progress, attempts)
                if path is not None:
                    ticket.note_start(
                        progress.demand(engine).tokens / engine.usual_tokens
                    )
                    return Ok(path)
                if view.ends_waits():
                    code = ResultCode.DRAINING
                    return Error(fault(code, "host is leaving", LEAVING_RETRY_S))
                now = view.clock.now()
                if queue.has_expired(entry, now) or queue.is_hopeless(entry, now):
                    return Error(self._full_fault(queue, entry))
                with trio.move_on_after(RECHECK_S):
                    await view.capacity_freed.wait()
        finally:
            queue.leave(entry)
            ticket.end_wait()
            call.times.queued_s += view.clock.now() - entry.since

    def _rest_fault(
        self, call: Call, engine: EngineSpec, progress: StreamProgress
    ) -> Fault | None:
        """Return the refusal if rests keep layers out of reach for too long to wait."""
        if progress.has_started:
            return None
        problem = self._view.rest_fault(
            call.service.name, lambda records: _covered(records, engine)
        )
        if problem is None or problem.retry_after_s <= MAX_REST_WAIT_S:
            return None
        return problem

    def _waits_for_tokens_in_vain(
        self,
        call: Call,
        engine: EngineSpec,
        entry: QueueEntry,
        progress: StreamProgress,
    ) -> bool:
        """Return whether only limits keep layers out of reach, for too long to wait."""
        view = self._view
        if progress.has_started:
            return False
        # Targets that are suspected or full may be back sooner than a token comes.
        records = view.directory.listed(call.service.name)
        limited = [item for item in records if view.limits.limit(item) is not None]
        if not limited or _covered(view.with_room(records), engine):
            return False
        waiting = len(view.admission_queue(call.service.name)) - 1
        return view.limits.token_wait_s(limited, waiting) > entry.max_wait_s

    def _single_target(
        self, call: Call, attempts: StreamAttempts
    ) -> Result[Path, Fault]:
        """Return a single-target path, for a service whose targets serve alone."""
        view = self._view
        first_ids = _allowed_first_ids(call, view.directory)
        usable = view.directory.usable(call.service.name, view.clock.now())
        record = choose_target(
            [
                item
                for item in view.with_room(usable)
                if first_ids is None or item.id in first_ids
            ],
            view.load,
            view.failures,
            view.zone,
            attempts.excluded if first_ids is None else (),
            view.rng,
        )
        if record is None:
            problem = fault(ResultCode.NO_TARGET, "", NO_PATH_RETRY_S)
            resting = view.rest_fault(call.service.name, bool)
            return Error(view.limit_fault(call.service.name) or resting or problem)
        return Ok((PathStage(record.id, record.address, WHOLE_MODEL),))

    def _find_path(
        self,
        call: Call,
        engine: EngineSpec | None,
        progress: StreamProgress,
        attempts: StreamAttempts,
    ) -> Path | None:
        with_capacity = self._view.usable_with_capacity(call.service.name)
        first_ids = _allowed_first_ids(call, self._view.directory)
        # A first target of a failed attempt may be healthy if a later stage failed.
        excluded = attempts.excluded - (first_ids or set())
        if progress.has_started and not self._covered_without(call, engine, excluded):
            # The stream can only go on at a target whose attempt failed.
            excluded = set()
        pool = [record for record in with_capacity if record.id not in excluded]
        finder = self._view.path_finder(call.service.name, engine)
        reached = [item for item in pool if item.zone not in attempts.unreachable_zones]
        pools = [reached] if len(reached) == len(pool) else [reached, pool]
        for records in pools:
            path = finder.find(
                records,
                progress.demand(engine),
                slowdown_by_id=self._view.slowdowns.by_id(),
                first_ids=first_ids,
            )
            if path is not None:
                return path
        return None

    def _is_covered(self, call: Call, engine: EngineSpec) -> bool:
        now = self._view.clock.now()
        records = self._view.directory.usable(call.service.name, now)
        return _covered(records, engine)

    def _covered_without(
        self, call: Call, engine: EngineSpec, excluded: set[str]
    ) -> bool:
        """Return whether the targets that are not excluded hold every layer."""
        now = self._view.clock.now()
        usable = self._view.directory.usable(call.service.name, now)
        return _covered([item for item in usable if item.id not in excluded], engine)

    def _full_fault(self, queue: AdmissionQueue, entry: QueueEntry) -> Fault:
        now = self._view.clock.now()
        detail = f"full, {len(queue)} in queue, waited {now - entry.since:.2f} s"
        retry_s = queue.return_after_s(entry, now)
        return fault(ResultCode.DEADLINE_UNREACHABLE, detail, retry_s)

    def has_alternative(
        self, call: Call, engine: EngineSpec | None, first_id: str
    ) -> bool:
        """Return whether there are targets for a path with another first target.

        Their free capacity is not checked: the attempt itself holds some of it, as do
        all streams that wait for the same unreachable target.
        """
        view, service = self._view, call.service.name
        usable = view.directory.usable(service, view.clock.now())
        others = [record for record in usable if record.id != first_id]
        allowed = _allowed_first_ids(call, view.directory)
        if allowed is not None:
            return any(record.id in allowed for record in others)
        return bool(others) if engine is None else _covered(others, engine)


def _allowed_first_ids(call: Call, directory: TargetDirectory) -> set[str] | None:
    """Return the ids of targets that may still get the request; None for any.

    A stream whose later stages fail may be resumed several times, but the route
    limits how many targets see it.  At that limit the stream returns to one of
    them; targets that have ended or left the directory since do not count.
    """
    live = directory.live_ids(call.ran_at)
    return live if len(live) >= call.route.max_attempts else None


def _covered(records, engine: EngineSpec) -> bool:
    """Return whether the targets hold every layer, whatever their free capacity."""
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
