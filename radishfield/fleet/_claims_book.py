"""What one host remembers of idempotency claims, bounded in count and bytes.

No I/O here.  A record is never dropped before its time to make room: a keeper
that forgot a claim would vouch that the key is free, and the work would run a
second time.  A full book refuses new records instead, which the caller sees as
a refusal with a time to come back.  Kept answers may be dropped; a repeat is
then told that the first run finished, without the answer.
"""

import enum
import heapq
from collections import OrderedDict
from dataclasses import dataclass, replace

# 9 keepers for 0.5 keyed requests a second and host, remembered for 10 minutes,
# come to 2,900 records of about 600 bytes at the size of the letter.
MAX_RECORDS = 20_000
# An answer of 400 tokens is about 3 KB; larger ones are rarely worth a share.
MAX_ANSWER_BYTES = 64 * 1024
MAX_ANSWERS_BYTES = 8 << 20
PURGE_EVERY_S = 5.0


class ClaimState(enum.StrEnum):
    """How far the run behind a claim has come."""

    CLAIMED = "claimed"
    FINISHED = "finished"
    UNKNOWN = "unknown"
    RELEASED = "released"


@dataclass(slots=True, frozen=True)
class ClaimRecord:
    """One claim; ``expires_at`` is on the clock of the host that holds it.

    ``claim_id`` names one try to claim, never two: a caller may send the same
    request id with both copies.
    """

    workspace: str
    key: str
    digest: str
    claim_id: str
    host_id: str
    start_number: int
    expires_at: float
    state: ClaimState = ClaimState.CLAIMED
    answer: bytes | None = None

    @property
    def place(self) -> tuple[str, str]:
        """Return what no two claims in force may share."""
        return self.workspace, self.key


class ClaimBook:
    """Claims in force by workspace and key."""

    __slots__ = (
        "_records_by_place",
        "_answer_sizes_by_place",
        "_answers_bytes",
        "_next_purge",
        "_max_records",
    )

    def __init__(self, max_records: int = MAX_RECORDS):
        self._records_by_place: dict[tuple[str, str], ClaimRecord] = {}
        self._answer_sizes_by_place: OrderedDict[tuple[str, str], int] = OrderedDict()
        self._answers_bytes = 0
        self._next_purge = 0.0
        self._max_records = max_records

    def __len__(self) -> int:
        return len(self._records_by_place)

    def find(self, place: tuple[str, str], now: float) -> ClaimRecord | None:
        """Return the claim in force, if there is one."""
        record = self._records_by_place.get(place)
        if record is None or record.expires_at <= now:
            return None
        return record

    def put(self, record: ClaimRecord, now: float) -> bool:
        """Keep a record in place of an older one; False where the book is full."""
        self._purge(now)
        is_new = record.place not in self._records_by_place
        if is_new and len(self._records_by_place) >= self._max_records:
            return False
        self._drop_answer(record.place)
        self._records_by_place[record.place] = record
        return True

    def settle(
        self,
        place: tuple[str, str],
        claim_id: str,
        state: ClaimState,
        answer: bytes | None,
        now: float,
    ) -> ClaimRecord | None:
        """Note how a claim's run ended; None if the claim is not in force."""
        record = self.find(place, now)
        if record is None or record.claim_id != claim_id:
            return None
        if answer is not None and len(answer) > MAX_ANSWER_BYTES:
            answer = None
        self._drop_answer(place)
        record = replace(record, state=state, answer=answer)
        self._records_by_place[place] = record
        if answer is not None:
            self._count_answer(place, len(answer))
        return record

    def page(
        self, after: tuple[str, str], count: int, now: float
    ) -> tuple[ClaimRecord, ...]:
        """Return the first claims in force after a place, without answers."""
        places = heapq.nsmallest(
            count,
            (
                place
                for place, record in self._records_by_place.items()
                if place > after and record.expires_at > now
            ),
        )
        return tuple(
            replace(self._records_by_place[place], answer=None) for place in places
        )

    def merge(self, record: ClaimRecord, now: float) -> bool:
        """Keep a record that another keeper has; False where it can't be kept.

        Keepers may hold different claims of one key, of which at most one was
        granted.  One whose run has ended was; between two that may still run it
        can't be told here, and the key is kept as unknown, which never gives
        way to another claim.
        """
        if record.state is ClaimState.RELEASED:
            return True
        held = self.find(record.place, now)
        if held is None or held.state is ClaimState.RELEASED:
            return self.put(record, now)
        if held.state is not ClaimState.CLAIMED:
            return True
        if held.claim_id != record.claim_id and record.state is ClaimState.CLAIMED:
            record = replace(held, state=ClaimState.UNKNOWN)
        return self.put(record, now)

    def _count_answer(self, place: tuple[str, str], size: int) -> None:
        self._answer_sizes_by_place[place] = size
        self._answers_bytes += size
        while self._answers_bytes > MAX_ANSWERS_BYTES:
            oldest = next(iter(self._answer_sizes_by_place))
            self._drop_answer(oldest)

    def _drop_answer(self, place: tuple[str, str]) -> None:
        size = self._answer_sizes_by_place.pop(place, None)
        if size is None:
            return
        self._answers_bytes -= size
        record = self._records_by_place[place]
        self._records_by_place[place] = replace(record, answer=None)

    def _purge(self, now: float) -> None:
        if now < self._next_purge:
            return
        self._next_purge = now + PURGE_EVERY_S
        expired = [
            place
            for place, record in self._records_by_place.items()
            if record.expires_at <= now
        ]
        for place in expired:
            self._drop_answer(place)
            del self._records_by_place[place]
