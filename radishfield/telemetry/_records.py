"""Records of the decisions on recent requests, for ``radishfield explain``.

Records are kept in a bounded buffer in memory: the host stores nothing on disk, and
operators look up a request within minutes, not days.
"""

import enum
from collections import OrderedDict

import msgspec

from radishfield.core import ResultCode

# A record of 20 events takes about 3 KB, so 1,024 records take about 3 MB.
MAX_RECORDS = 1024
# A request has a few events per attempt; further ones add no information.
MAX_EVENTS = 64


class RecordKind(enum.StrEnum):
    """What happened to a request."""

    RECEIVED = "received"
    ADMITTED = "admitted"
    QUEUED = "queued"
    DISPATCHED = "dispatched"
    ATTEMPT_FAILED = "attempt-failed"
    RESUMED = "resumed"
    ENDED = "ended"


class RecordedEvent(msgspec.Struct, frozen=True):
    """One event of a request.

    Attributes
    ----------
    after_s : float
        Seconds since the request was received.
    detail : str
        The reason, as one line of readable text.
    target_ids : tuple of str
        The target or the route's targets in order; empty without either.
    """

    after_s: float
    kind: RecordKind
    detail: str = ""
    target_ids: tuple[str, ...] = ()
    attempt: int = 0
    code: ResultCode | None = None


class RequestRecord(msgspec.Struct, frozen=True):
    """All recorded events of one request, in order of time."""

    request_id: str
    caller_id: str
    workspace: str
    profile: str
    events: tuple[RecordedEvent, ...]
    events_left_out: int = 0


class _OpenRecord:
    """A record that still receives events."""

    __slots__ = ("caller_id", "workspace", "profile", "started", "events", "left_out")

    def __init__(self, caller_id: str, workspace: str, profile: str, started: float):
        self.caller_id = caller_id
        self.workspace = workspace
        self.profile = profile
        self.started = started
        self.events: list[RecordedEvent] = []
        self.left_out = 0


class RequestRecords:
    """The records of the latest requests, by request id and by caller id."""

    __slots__ = ("_record_by_request_id", "_request_id_by_caller_id", "_max_records")

    def __init__(self, max_records: int = MAX_RECORDS):
        self._record_by_request_id: OrderedDict[str, _OpenRecord] = OrderedDict()
        self._request_id_by_caller_id: dict[str, str] = {}
        self._max_records = max_records

    def open(
        self, request_id: str, caller_id: str, workspace: str, profile: str, now: float
    ) -> None:
        """Open a record; evict the oldest one if the maximum is exceeded."""
        self._record_by_request_id[request_id] = _OpenRecord(
            caller_id, workspace, profile, now
        )
        self._request_id_by_caller_id[caller_id] = request_id
        self.note(request_id, now, RecordKind.RECEIVED)
        while len(self._record_by_request_id) > self._max_records:
            oldest_id, record = self._record_by_request_id.popitem(last=False)
            if self._request_id_by_caller_id.get(record.caller_id) == oldest_id:
                del self._request_id_by_caller_id[record.caller_id]

    def note(
        self,
        request_id: str,
        now: float,
        kind: RecordKind,
        detail: str = "",
        target_ids: tuple[str, ...] = (),
        attempt: int = 0,
        code: ResultCode | None = None,
    ) -> None:
        """Add an event; ignore a request that is unknown or was evicted."""
        record = self._record_by_request_id.get(request_id)
        if record is None:
            return
        # The last slot is reserved for the end event, which explains the others.
        if len(record.events) >= MAX_EVENTS - 1 and kind is not RecordKind.ENDED:
            record.left_out += 1
            return
        after_s = round(now - record.started, 6)
        record.events.append(
            RecordedEvent(after_s, kind, detail, target_ids, attempt, code)
        )

    def find(self, id: str) -> RequestRecord | None:
        """Return a record by its request id, or the latest one by the caller id."""
        request_id = (
            id
            if id in self._record_by_request_id
            else self._request_id_by_caller_id.get(id)
        )
        record = self._record_by_request_id.get(request_id or "")
        if record is None:
            return None
        return RequestRecord(
            request_id,
            record.caller_id,
            record.workspace,
            record.profile,
            tuple(record.events),
            record.left_out,
        )
