"""What an entry host keeps of claims for the whole fleet, and how it votes."""

import secrets
from collections.abc import Sequence
from dataclasses import dataclass, field, replace

from expression import Error, Ok, Result

from radishfield.core import Clock, Fault, PeerPort, ResultCode, fault
from radishfield.fleet._claims_book import (
    MAX_RECORDS,
    ClaimBook,
    ClaimRecord,
    ClaimState,
)
from radishfield.fleet._claims_keepers import KEEPERS, KnownHost, Universe
from radishfield.fleet._claims_votes import gives_way
from radishfield.fleet._claims_wire import (
    BookPage,
    RecordAnswer,
    RecordAsk,
    decode_ask,
    decode_book_ask,
    decode_page,
    decode_record,
    encode_answer,
    encode_book_ask,
    encode_page,
)

RECORD_TOPIC = "claims-record"
SETTLE_TOPIC = "claims-settle"
BOOK_TOPIC = "claims-book"
# A page of records stays well under the largest message.
PAGE_RECORDS = 200
MAX_PAGES = MAX_RECORDS // PAGE_RECORDS + 1
BOOK_TIMEOUT_S = 2.0
# In a larger fleet few hosts are young at a time, and are simply waited for;
# reading every book would cost more than it gives.
MAX_HOSTS_TO_READ = 32


@dataclass(slots=True, frozen=True)
class ClaimTimes:
    """How long claims live, in seconds.

    Attributes
    ----------
    lifetime_s : float
        The longest that a key is remembered.  All hosts must agree on it.
    margin_s : float
        Added where one host counts another's time: the spread of news about
        hosts, and pauses of a process.
    """

    lifetime_s: float = 600.0
    margin_s: float = 30.0

    @property
    def memory_s(self) -> float:
        """Return how long a keeper must have been up to vouch."""
        return self.lifetime_s + self.margin_s


@dataclass(slots=True, frozen=True)
class KeeperStart:
    """Which host this is, and since when it keeps claims.

    Attributes
    ----------
    number : int
        Random, so that no two starts share it.  A counter would be lost with
        the host's memory, and a start that carried an earlier one's number
        would take its claims for its own, and so for released.
    """

    host: KnownHost
    incarnation: int
    started: float
    number: int = field(default_factory=lambda: secrets.randbits(63))


class Keeper:
    """Answers other hosts' questions about claims, and this host's own."""

    __slots__ = ("universe", "_clock", "_start", "_memory_s", "_kept", "_remembers_all")

    def __init__(
        self, peers: PeerPort, clock: Clock, start: KeeperStart, memory_s: float
    ):
        self.universe = Universe(memory_s)
        self.universe.add([start.host])
        self._clock = clock
        self._start = start
        self._memory_s = memory_s
        self._kept = ClaimBook()
        self._remembers_all = False
        peers.answer(BOOK_TOPIC, self._on_book)
        peers.answer(RECORD_TOPIC, self._on_record)
        peers.answer(SETTLE_TOPIC, self._on_settle)

    def become_founder(self, founders: Sequence[KnownHost]) -> None:
        """Vouch from now on: no claim was granted before all founders stood."""
        self.universe.add(founders)
        self._remembers_all = True

    async def read_memory(self, peers: PeerPort) -> bool:
        """Copy the books of the other keepers; vouch if enough were read.

        A claim in force is missing from fewer than a majority of the books
        that vouch.  Whoever has read a majority of such books has seen it, and
        has been asked itself about all later ones.
        """
        if self._vouches(self._clock.now()):
            return True
        others = [
            host.id for host in self.universe.hosts() if host.id != self._start.host.id
        ]
        if len(others) >= MAX_HOSTS_TO_READ:
            return False
        read = 0
        for host_id in others:
            read += await self._read_book(peers, host_id)
        voters = min(len(others) + 1, KEEPERS)
        missing = len(others) - read
        allowed = voters - 1 - (voters // 2 + 1)
        self._remembers_all = missing <= allowed
        return self._remembers_all

    async def _read_book(self, peers: PeerPort, host_id: str) -> bool:
        after = ("", "")
        for _ in range(MAX_PAGES):
            answer = await peers.ask(
                host_id, BOOK_TOPIC, encode_book_ask(after), BOOK_TIMEOUT_S
            )
            now = self._clock.now()
            match answer.bind(lambda payload, now=now: decode_page(payload, now)):
                case Result(tag="error"):
                    return False
                case Result(ok=page):
                    pass
            if not all(self._kept.merge(record, now) for record in page.records):
                return False
            if page.is_last or not page.records:
                return page.vouches
            after = page.records[-1].place
        return False

    def vote(self, ask: RecordAsk) -> RecordAnswer:
        """Record a claim, or name the one that stands in its way."""
        now = self._clock.now()
        known = ()
        if ask.known_digest != self.universe.digest:
            known = tuple(self.universe.hosts())
        vouches = self._vouches(now)
        held = self._kept.find(ask.record.place, now)
        if held is not None and not gives_way(held, ask):
            return RecordAnswer(False, vouches, held, known)
        return RecordAnswer(self._kept.put(ask.record, now), vouches, None, known)

    def settle(self, record: ClaimRecord, state: ClaimState) -> None:
        """Note how a run of this host ended; its answer is kept elsewhere."""
        now = self._clock.now()
        self._kept.settle(record.place, record.claim_id, state, None, now)

    def _vouches(self, now: float) -> bool:
        is_old = now - self._start.started >= self._memory_s
        return self._remembers_all or is_old

    async def _on_record(self, member_id: str, payload: bytes) -> Result[bytes, Fault]:
        now = self._clock.now()
        asked = decode_ask(payload, now).bind(lambda ask: _from(member_id, ask))
        return asked.map(lambda ask: encode_answer(self.vote(ask), now))

    async def _on_book(self, member_id: str, payload: bytes) -> Result[bytes, Fault]:
        now = self._clock.now()
        return decode_book_ask(payload).map(
            lambda after: encode_page(self._page(after, now), now)
        )

    def _page(self, after: tuple[str, str], now: float) -> BookPage:
        records = self._kept.page(after, PAGE_RECORDS, now)
        return BookPage(self._vouches(now), len(records) < PAGE_RECORDS, records)

    async def _on_settle(self, member_id: str, payload: bytes) -> Result[bytes, Fault]:
        now = self._clock.now()
        match decode_record(payload, now):
            case Result(tag="error", error=problem):
                return Error(problem)
            case Result(ok=record):
                if record.host_id == member_id:
                    self._keep_settled(record, now)
                return Ok(b"")

    def _keep_settled(self, record: ClaimRecord, now: float) -> None:
        # A claim that ran was granted, so another one in its place was not.
        if record.state is not ClaimState.RELEASED:
            self._kept.put(replace(record, answer=None), now)
        self._kept.settle(
            record.place, record.claim_id, record.state, record.answer, now
        )


def _from(member_id: str, ask: RecordAsk) -> Result[RecordAsk, Fault]:
    if ask.record.host_id == member_id:
        return Ok(ask)
    return Error(fault(ResultCode.BAD_FRAME, "a claim on behalf of another host"))
