"""Paths for streams: found at once, in line, or by a begun stream beside it."""

import trio
from expression import Error, Ok, Result

from radishfield.core import Fault, ResultCode, fault
from radishfield.forwarding._call import Call
from radishfield.forwarding._stream_progress import StreamProgress
from radishfield.forwarding._stream_tries import NO_PATH_RETRY_S, StreamTries
from radishfield.forwarding._view import RouterView
from radishfield.routing import (
    AdmissionQueue,
    EngineSpec,
    FailureRates,
    LayerSpan,
    Path,
    PathPart,
    QueueEntry,
    TargetDirectory,
    choose_target,
)

LOOK_AGAIN_S = 0.05
LOOK_BESIDE_S = 0.1
"""Pause between two looks for a path beside the line, each of which is a search."""
RESUMED_PRIORITY = -1
"""Before the most urgent of the routes' own."""
LEAVING_RETRY_S = 0.1
"""A new connection reaches another host at once."""
WHOLE_MODEL = LayerSpan(0, 0)
"""The span of a target that is sent no path: it runs whatever it has."""
NO_FAILURES = FailureRates()
"""Streams that fail go on elsewhere; their targets are judged by the watchdog."""


class StreamPaths:
    """Finds the paths of streams over the targets as this host sees them."""

    __slots__ = ("_view",)

    def __init__(self, view: RouterView):
        self._view = view

    async def find(
        self,
        call: Call,
        engine: EngineSpec | None,
        progress: StreamProgress,
        tries: StreamTries,
    ) -> Result[Path, Fault]:
        """Return a path, standing in line where all of them are full."""
        if engine is None:
            found = self._single_target(call, tries)
        else:
            found = await self._stand_in_line(call, engine, progress, tries)
        if found.is_error() and progress.begun:
            return await self._wait_beside(call, engine, progress, tries, found.error)
        return found

    async def _wait_beside(
        self,
        call: Call,
        engine: EngineSpec | None,
        progress: StreamProgress,
        tries: StreamTries,
        problem: Fault,
    ) -> Result[Path, Fault]:
        """Look for a path of a begun stream until its caller leaves.

        It stands beside the line: those in it may find paths that this one can't use.
        A target that broke an attempt is tried again, since no other one is left.
        """
        view, service = self._view, call.service.name
        tries.excluded.clear()
        while view.clock.now() < call.caller_leaves_at and not view.ends_waits():
            listed = view.directory.listed(service)
            if engine is not None and not _covered(listed, engine):
                break
            await trio.sleep(LOOK_BESIDE_S)
            refusal = view.crash_refusal(call)
            if refusal is not None:
                return Error(refusal)
            if engine is None:
                found = self._single_target(call, tries)
            else:
                found = self._path_now(call, engine, progress, tries)
                found = Error(problem) if found is None else Ok(found)
            if found.is_ok():
                return found
        return Error(problem)

    async def _stand_in_line(
        self,
        call: Call,
        engine: EngineSpec,
        progress: StreamProgress,
        tries: StreamTries,
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
                refusal = view.crash_refusal(call)
                if refusal is not None:
                    return Error(refusal)
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

    def _single_target(self, call: Call, tries: StreamTries) -> Result[Path, Fault]:
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
        progress: StreamProgress,
        tries: StreamTries,
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

    def leads_around(
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


def _firsts_left(call: Call, directory: TargetDirectory) -> set[str] | None:
    """Return the only targets that may see the request; None for any.

    A stream whose later parts fail may be sent on several times, but the route
    limits how many targets see it.  Once so many have, it goes again to one of
    them; those that ended meanwhile do not count.
    """
    live = {name for name in call.ran_at if directory.find(name) is not None}
    return live if len(live) >= call.route.max_attempts else None


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
