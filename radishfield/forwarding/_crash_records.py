"""Keeps records of refused requests in the platform's store.

Hosts report crashes of targets to each other at once.  The store is for hosts that no
report reaches: a host whose neighbours were all killed with it, and a zone that is
partitioned from the others.  It is written once per refused request and read at
start, and when a second target has crashed under a request.
"""

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


class _StoredCrash(msgspec.Struct):
    target: str
    started_ms: Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]
    told_by: str
    unix_s: float


class _RecordBody(msgspec.Struct):
    ends: list[_StoredCrash]


class CrashRecords:
    """Writes and reads the records of refused requests."""

    __slots__ = ("_read_at", "_store", "_view")

    def __init__(self, store: ObjectStore, view: RouterView):
        self._store = store
        self._view = view
        self._read_at = -MIN_READ_INTERVAL_S

    async def write(self, digest: str) -> bool:
        """Record why a request is refused; return whether the store has the record."""
        report = self._view.crashes.report(digest)
        unix_s = time.time()
        ends = [
            _StoredCrash(end.target_id, end.started_ms, end.told_by, unix_s - end.age_s)
            for end in report.ends
        ]
        body = msgspec.to_builtins(_RecordBody(ends))
        written = await self._store.create(CRASHES_KIND, digest, body)
        if _conflicts(written):
            written = await self._replace(digest, body)
        if written.is_ok() or _conflicts(written):
            return True
        _log_fault("crashes.unwritten", written.error, digest)
        return False

    async def _replace(self, digest: str, body: object) -> Result[object, Fault]:
        """Overwrite the record of an earlier refusal of the same request."""
        read = await self._store.read(CRASHES_KIND, digest)
        if read.is_error():
            return read
        position = read.ok.position
        return await self._store.replace(CRASHES_KIND, digest, body, position)

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
        try:
            body = msgspec.convert(value.spec, _RecordBody)
        except UNREADABLE_ERRORS as problem:
            log_event("crashes.unreadable", digest=value.name, detail=str(problem))
            return
        unix_s = time.time()
        ages = [max(0.0, unix_s - end.unix_s) for end in body.ends]
        if min(ages, default=REFUSED_S) >= REFUSED_S:
            removed = await self._store.remove(CRASHES_KIND, value.name, value.position)
            if removed.is_error():
                _log_fault("crashes.unremoved", removed.error, value.name)
            return
        ends = [
            TargetCrashEntry(end.target, end.started_ms, end.told_by, age_s)
            for end, age_s in zip(body.ends, ages, strict=True)
        ]
        self._view.crashes.learn([CrashReport(value.name, ends)], "store")


def _conflicts(written: Result[object, Fault]) -> bool:
    return written.is_error() and written.error.code is ResultCode.PLATFORM_CONFLICT


def _log_fault(event: str, problem: Fault, digest: str = "") -> None:
    log_event(event, digest=digest, code=int(problem.code), detail=problem.detail)
