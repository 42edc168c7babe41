"""Records of the idempotency claims known to one host, bounded in count and bytes.

No I/O here.  A record is never dropped before it expires to free capacity: the
host could no longer report how the run behind it went.  A full book refuses new
records instead, and the caller gets a refusal with a retry time.  Stored answers
may be dropped; a retry is then answered that the first run finished, without the
answer.
"""

import enum
from collections import OrderedDict
from dataclasses import dataclass, replace

# At the expected load, 0.5 keyed requests per second and host kept for 11 minutes
# are 330 records; the rest is headroom for bursts.
MAX_RECORDS = 20_000
# An answer of 400 tokens is about 3 KB; larger ones are rarely worth the memory.
MAX_ANSWER_BYTES = 64 * 1024
MAX_TOTAL_ANSWER_BYTES = 8 << 20
PURGE_INTERVAL_S = 5.0


class ClaimState(enum.StrEnum):
    """State of the run behind a claim."""

    CLAIMED = "claimed"
    FINISHED = "finished"
    UNKNOWN = "unknown"
    RELEASED = "released"


@dataclass(slots=True, frozen=True)
class ClaimRecord:
    """One claim; ``expires_at`` is on the clock of the host that holds it.

    Attributes
    ----------
    place : str
        Digest of workspace and key; no two active claims may share one.
    claim_id : str
        Identifies a single attempt to claim; a request id would not, as a
        caller may send the same one with a request and its retry.
    """

    place: str
    digest: str
    claim_id: str
    host_id: str
    expires_at: float
    state: ClaimState = ClaimState.CLAIMED
    answer: bytes | None = None


class ClaimBook:
    """Active claims by place."""

    __slots__ = (
        "_record_by_place",
        "_answer_size_by_place",
        "_total_answer_bytes",
        "_next_purge",
        "_max_records",
    )

    def __init__(self, max_records: int = MAX_RECORDS):
        self._record_by_place: dict[str, ClaimRecord] = {}
        self._answer_size_by_place: OrderedDict[str, int] = OrderedDict()
        self._total_answer_bytes = 0
        self._next_purge = 0.0
        self._max_records = max_records

    def __len__(self) -> int:
        return len(self._record_by_place)

    def find(self, place: str, now: float) -> ClaimRecord | None:
        """Return the active claim of a place, if there is one."""
        record = self._record_by_place.get(place)
        if record is None or record.expires_at <= now:
            return None
        return record

    def put(self, record: ClaimRecord, now: float) -> bool:
        """Store a record, replacing an older one; False if the book is full."""
        self._purge(now)
        is_new = record.place not in self._record_by_place
        if is_new and len(self._record_by_place) >= self._max_records:
            return False
        self._drop_answer(record.place)
        self._record_by_place[record.place] = replace(record, answer=None)
        self._keep_answer(record.place, record.answer)
        return True

    def settle(
        self,
        record: ClaimRecord,
        state: ClaimState,
        answer: bytes | None,
        now: float,
    ) -> ClaimRecord | None:
        """Record how a claim's run ended; None if the claim is not active."""
        held = self.find(record.place, now)
        if held is None or held.claim_id != record.claim_id:
            return None
        self._drop_answer(record.place)
        self._record_by_place[record.place] = replace(held, state=state, answer=None)
        self._keep_answer(record.place, answer)
        return self._record_by_place[record.place]

    def _keep_answer(self, place: str, answer: bytes | None) -> None:
        if answer is None or len(answer) > MAX_ANSWER_BYTES:
            return
        record = self._record_by_place[place]
        self._record_by_place[place] = replace(record, answer=answer)
        self._answer_size_by_place[place] = len(answer)
        self._total_answer_bytes += len(answer)
        while self._total_answer_bytes > MAX_TOTAL_ANSWER_BYTES:
            self._drop_answer(next(iter(self._answer_size_by_place)))

    def _drop_answer(self, place: str) -> None:
        size = self._answer_size_by_place.pop(place, None)
        if size is None:
            return
        self._total_answer_bytes -= size
        record = self._record_by_place[place]
        self._record_by_place[place] = replace(record, answer=None)

    def _purge(self, now: float) -> None:
        if now < self._next_purge:
            return
        self._next_purge = now + PURGE_INTERVAL_S
        expired = [
            place
            for place, record in self._record_by_place.items()
            if record.expires_at <= now
        ]
        for place in expired:
            self._drop_answer(place)
            del self._record_by_place[place]
