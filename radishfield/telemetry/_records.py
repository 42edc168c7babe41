"""What was decided about each recent request, for ``radishfield explain``.

A bounded ring in memory: the host keeps nothing on disk, and an operator asks
about a request minutes after it, not days.
"""

import enum
from collections import OrderedDict

import msgspec

from radishfield.core import ResultCode

# About 3 KB a record at 20 events: 1,024 records stay near 3 MB.
MAX_RECORDS = 1024
# A request makes a few events for each attempt; more than this says no more.
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
        The reason, in a line for a person.
    target_ids : tuple of str
        The route's targets in order, where there is a route.
    """

    after_s: float
    kind: RecordKind
    detail: str = ""
    target_ids: tuple[str, ...] = ()
    attempt: int = 0
    code: ResultCode | None = None


class RequestRecord(msgspec.Struct, frozen=True):
    """All that is recorded of one request, in order of time."""

    request_id: str
    caller_id: str
    workspace: str
    profile: str
    events: tuple[RecordedEvent, ...]
    events_left_out: int = 0


class _Open:
    """A record that still grows."""

    __slots__ = ("caller_id", "workspace", "profile", "started", "events", "left_out")

    def __init__(self, caller_id: str, workspace: str, profile: str, started: float):
        self.caller_id = caller_id
        self.workspace = workspace
        self.profile = profile
        self.started = started
        self.events: list[RecordedEvent] = []
        self.left_out = 0


class RequestRecords:
    """The records of the last requests, by request id and by caller's id."""

    __slots__ = ("_by_request", "_request_by_caller_id", "_max_records")

    def __init__(self, max_records: int = MAX_RECORDS):
        self._by_request: OrderedDict[str, _Open] = OrderedDict()
        self._request_by_caller_id: dict[str, str] = {}
        self._max_records = max_records

    def open(
        self, request_id: str, caller_id: str, workspace: str, profile: str, now: float
    ) -> None:
        """Start a record; the oldest one makes room where the ring is full."""
        self._by_request[request_id] = _Open(caller_id, workspace, profile, now)
        self._request_by_caller_id[caller_id] = request_id
        self.note(request_id, now, RecordKind.RECEIVED)
        while len(self._by_request) > self._max_records:
            oldest, record = self._by_request.popitem(last=False)
            if self._request_by_caller_id.get(record.caller_id) == oldest:
                del self._request_by_caller_id[record.caller_id]

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
        """Add an event; an unknown or dropped request is passed over."""
        record = self._by_request.get(request_id)
        if record is None:
            return
        # The last place is kept for the end, which explains the rest.
        if len(record.events) >= MAX_EVENTS - 1 and kind is not RecordKind.ENDED:
            record.left_out += 1
            return
        after_s = round(now - record.started, 6)
        record.events.append(
            RecordedEvent(after_s, kind, detail, target_ids, attempt, code)
        )

    def find(self, id: str) -> RequestRecord | None:
        """Return a record by its request id, or the latest by the caller's id."""
        request_id = (
            id if id in self._by_request else self._request_by_caller_id.get(id)
        )
        record = self._by_request.get(request_id or "")
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
