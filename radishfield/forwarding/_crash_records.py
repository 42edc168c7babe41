"""Keeps records of refused requests in the platform's store.

Hosts report crashes of targets to each other at once.  The store is for hosts that no
report reaches: a host whose neighbours were all killed with it, and a zone that is
partitioned from the others.  It is written once per refused request and read at
start, and when a second target has crashed under a request.

Whoever reads a record can't know whether requests have survived since.  The record is
therefore removed when one has, and it counts the trials that hosts make which know of
a refusal from it alone, so that a request that does crash targets gets few of them.
"""

import enum
import time
from typing import Annotated

import msgspec
from expression import Result

from radishfield.core import UNREADABLE_ERRORS, Fault, ResultCode
from radishfield.crashes import REFUSED_S, CrashReport, TargetCrashEntry
from radishfield.forwarding._view import RouterView
from radishfield.platform import ObjectStore, StoredValue
from radishfield.telemetry import log_event

CRASHES_KIND = "radishfield-crashes"
MIN_READ_INTERVAL_S = 1.0
"""Minimum interval between reads: one read returns what all hosts wrote."""
TRIAL_INTERVAL_S = 5.0
"""Time after which a trial whose outcome is not known may be repeated."""
MAX_TRIALS = 3
"""Trials of one record by all hosts, each of which may cost a target."""
ERA_SETTLE_S = 5.0
"""Time after the store's return in which a missing record may yet be written again."""


class TrialClaim(enum.Enum):
    """What a host may do about a refusal that it knows from a record alone."""

    GRANTED = enum.auto()
    LATER = enum.auto()
    LIFTED = enum.auto()
    """The record is gone: a survival has cleared the request."""
    PROVEN = enum.auto()
    """A trial crashed its target as well, or no further one is allowed."""


class _StoredCrash(msgspec.Struct):
    target: str
    started_ms: Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]
    told_by: str
    unix_s: float


class _RecordBody(msgspec.Struct, omit_defaults=True):
    """Why a request is refused.

    Attributes
    ----------
    trials : int
        Trials that hosts have begun.
    tried_unix_s : float
        When the last one began, in seconds of the writer's time of day.
    proven : bool
        A target crashed in a trial.
    """

    ends: list[_StoredCrash]
    trials: Annotated[int, msgspec.Meta(ge=0, le=1 << 30)] = 0
    tried_unix_s: float = 0.0
    proven: bool = False

    def ages_s(self, unix_s: float) -> list[float]:
        """Return the ages of the crashes, in seconds."""
        return [max(0.0, unix_s - end.unix_s) for end in self.ends]

    def is_expired(self, unix_s: float) -> bool:
        """Return whether all crashes are too long ago to count."""
        return min(self.ages_s(unix_s), default=REFUSED_S) >= REFUSED_S

    def keys(self) -> set[tuple[str, int]]:
        """Return the keys of the targets that crashed."""
        return {(end.target, end.started_ms) for end in self.ends}


class CrashRecords:
    """Writes, reads and removes the records of refused requests."""

    __slots__ = ("_read_at", "_store", "_view")

    def __init__(self, store: ObjectStore, view: RouterView):
        self._store = store
        self._view = view
        self._read_at = -MIN_READ_INTERVAL_S

    async def write(self, digest: str) -> bool:
        """Record why a request is refused; return whether the store has the record."""
        report = self._view.crashes.report(digest)
        unix_s = time.time()
        body = _RecordBody(
            [
                _StoredCrash(
                    end.target_id, end.started_ms, end.told_by, unix_s - end.age_s
                )
                for end in report.ends
            ]
        )
        written = await self._store.create(
            CRASHES_KIND, digest, msgspec.to_builtins(body)
        )
        if _conflicts(written):
            written = await self._replace(digest, body, unix_s)
        if written.is_ok() or _conflicts(written):
            return True
        _log_fault("crashes.unwritten", written.error, digest)
        return False

    async def _replace(
        self, digest: str, body: _RecordBody, unix_s: float
    ) -> Result[object, Fault]:
        """Overwrite an earlier record; a crash after a trial is proof."""
        read = await self._store.read(CRASHES_KIND, digest)
        if read.is_error():
            return read
        before = _decode(read.ok)
        if before is not None and not before.is_expired(unix_s):
            body.trials, body.tried_unix_s = before.trials, before.tried_unix_s
            crashed_since = bool(body.keys() - before.keys())
            body.proven = before.proven or (before.trials > 0 and crashed_since)
        return await self._put(read.ok, body)

    async def _put(self, value: StoredValue, body: _RecordBody):
        return await self._store.replace(
            CRASHES_KIND, value.name, msgspec.to_builtins(body), value.position
        )

    async def remove(self, digest: str) -> bool:
        """Remove the record of a request that survived; return whether that is done.

        A record with crashes since the survival stays.
        """
        read = await self._store.read(CRASHES_KIND, digest)
        if read.is_error():
            return read.error.code is ResultCode.OBJECT_NOT_FOUND
        body = _decode(read.ok)
        if body is not None and not self._is_cleared(digest, body, time.time()):
            return True
        return await self._remove(read.ok)

    async def _remove(self, value: StoredValue) -> bool:
        removed = await self._store.remove(CRASHES_KIND, value.name, value.position)
        if removed.is_error():
            _log_fault("crashes.unremoved", removed.error, value.name)
            return removed.error.code is ResultCode.OBJECT_NOT_FOUND
        log_event("crashes.removed", digest=value.name)
        return True

    def _is_cleared(self, digest: str, body: _RecordBody, unix_s: float) -> bool:
        crashed_at = self._view.clock.now() - min(body.ages_s(unix_s), default=0.0)
        return self._view.crashes.is_cleared(digest, crashed_at)

    async def claim_trial(self, digest: str) -> TrialClaim:
        """Claim the next trial of a request that is refused by its record alone."""
        read = await self._store.read(CRASHES_KIND, digest)
        if read.is_error():
            is_gone = read.error.code is ResultCode.OBJECT_NOT_FOUND
            if is_gone and self._view.eras.changed_s() >= ERA_SETTLE_S:
                return TrialClaim.LIFTED
            return TrialClaim.LATER
        body, unix_s = _decode(read.ok), time.time()
        if body is None:
            return TrialClaim.LATER
        if body.proven or body.trials >= MAX_TRIALS:
            return TrialClaim.PROVEN
        if abs(unix_s - body.tried_unix_s) < TRIAL_INTERVAL_S:
            return TrialClaim.LATER
        body.trials += 1
        body.tried_unix_s = unix_s
        written = await self._put(read.ok, body)
        if written.is_error():
            _log_fault("crashes.unclaimed", written.error, digest)
            return TrialClaim.LATER
        return TrialClaim.GRANTED

    async def read(self) -> bool:
        """Merge the records into the crash guard; return whether the store answered."""
        now = self._view.clock.now()
        if now - self._read_at < MIN_READ_INTERVAL_S:
            return True
        self._read_at = now
        listing = await self._store.list(CRASHES_KIND)
        if listing.is_error():
            _log_fault("crashes.unread", listing.error)
            self._read_at = -MIN_READ_INTERVAL_S
            return False
        for value in listing.ok.values:
            with self._view.boundary.contain("crashes.merge", value.name):
                await self._merge_record(value)
        return True

    async def _merge_record(self, value: StoredValue) -> None:
        body, unix_s = _decode(value), time.time()
        if body is None:
            return
        if body.is_expired(unix_s) or self._is_cleared(value.name, body, unix_s):
            await self._remove(value)
            return
        ends = [
            TargetCrashEntry(
                end.target, end.started_ms, end.told_by, age_s, not body.proven
            )
            for end, age_s in zip(body.ends, body.ages_s(unix_s), strict=True)
        ]
        self._view.crashes.learn([CrashReport(value.name, ends)], "store")


def _decode(value: StoredValue) -> _RecordBody | None:
    """Return the content of a record; None, with a log line, if it can't be read."""
    try:
        return msgspec.convert(value.spec, _RecordBody)
    except UNREADABLE_ERRORS as problem:
        log_event("crashes.unreadable", digest=value.name, detail=str(problem))
        return None


def _conflicts(written: Result[object, Fault]) -> bool:
    return written.is_error() and written.error.code is ResultCode.PLATFORM_CONFLICT


def _log_fault(event: str, problem: Fault, digest: str = "") -> None:
    log_event(event, digest=digest, code=int(problem.code), detail=problem.detail)
