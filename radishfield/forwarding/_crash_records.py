"""Requests that are refused, as the platform's store keeps them.

Hosts tell each other at once what ended under which request.  The store is for those
that can't be told: a host whose neighbours were all killed with it, and a zone that is
cut off from the others.  It is written once a refused request and read at a start, and
when a second target has ended under a request.
"""

import time

import msgspec
from expression import Result

from radishfield.core import Fault, ResultCode
from radishfield.crashes import REFUSED_S, CrashReport, ToldEnd
from radishfield.forwarding._view import RouterView
from radishfield.platform import ObjectStore, StoredValue
from radishfield.telemetry import log_event

CRASHES_KIND = "radishfield-crashes"
READ_AGAIN_S = 1.0
"""Shortest pause between two reads: one of them shows what all hosts wrote."""


class _StoredEnd(msgspec.Struct):
    target: str
    started_ms: int
    told_by: str
    unix_s: float


class _Body(msgspec.Struct):
    ends: list[_StoredEnd]


class CrashRecords:
    """Writes and reads the requests that are refused."""

    __slots__ = ("_read_at", "_store", "_view")

    def __init__(self, store: ObjectStore, view: RouterView):
        self._store = store
        self._view = view
        self._read_at = -READ_AGAIN_S

    async def write(self, digest: str) -> bool:
        """Write down why a request is refused; return whether the store has it."""
        report = self._view.crashes.report(digest)
        unix_s = time.time()
        ends = [
            _StoredEnd(end.target_id, end.started_ms, end.told_by, unix_s - end.age_s)
            for end in report.ends
        ]
        body = msgspec.to_builtins(_Body(ends))
        written = await self._store.create(CRASHES_KIND, digest, body)
        if _conflicts(written):
            written = await self._replace(digest, body)
        if written.is_ok() or _conflicts(written):
            return True
        _log_fault("crashes.unwritten", written.error, digest)
        return False

    async def _replace(self, digest: str, body: object) -> Result[object, Fault]:
        """Write over what was written when the request was refused before."""
        read = await self._store.read(CRASHES_KIND, digest)
        if read.is_error():
            return read
        revision = read.ok.revision
        return await self._store.replace(CRASHES_KIND, digest, body, revision)

    async def read(self) -> bool:
        """Take in what is written; return whether the store answered."""
        now = self._view.clock.now()
        if now - self._read_at < READ_AGAIN_S:
            return True
        self._read_at = now
        listing = await self._store.list(CRASHES_KIND)
        if listing.is_error():
            _log_fault("crashes.unread", listing.error)
            self._read_at = -READ_AGAIN_S
            return False
        for value in listing.ok.values:
            await self._take(value)
        return True

    async def _take(self, value: StoredValue) -> None:
        try:
            body = msgspec.convert(value.spec, _Body)
        except msgspec.ValidationError as problem:
            log_event("crashes.unreadable", digest=value.name, detail=str(problem))
            return
        unix_s = time.time()
        ages = [max(0.0, unix_s - end.unix_s) for end in body.ends]
        if min(ages, default=REFUSED_S) >= REFUSED_S:
            removed = await self._store.remove(CRASHES_KIND, value.name, value.revision)
            if removed.is_error():
                _log_fault("crashes.unremoved", removed.error, value.name)
            return
        ends = [
            ToldEnd(end.target, end.started_ms, end.told_by, age_s)
            for end, age_s in zip(body.ends, ages, strict=True)
        ]
        self._view.crashes.learn([CrashReport(value.name, ends)], "store")


def _conflicts(written: Result[object, Fault]) -> bool:
    return written.is_error() and written.error.code is ResultCode.PLATFORM_CONFLICT


def _log_fault(event: str, problem: Fault, digest: str = "") -> None:
    log_event(event, digest=digest, code=int(problem.code), detail=problem.detail)
