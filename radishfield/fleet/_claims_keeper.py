"""What an entry host keeps of claims for the whole fleet, and how it votes."""

from collections.abc import Sequence
from dataclasses import dataclass, replace

from expression import Error, Ok, Result

from radishfield.core import Clock, Fault, PeerPort, ResultCode, fault
from radishfield.fleet._claims_book import ClaimBook, ClaimRecord, ClaimState
from radishfield.fleet._claims_keepers import KnownHost, Universe
from radishfield.fleet._claims_votes import gives_way
from radishfield.fleet._claims_wire import (
    RecordAnswer,
    RecordAsk,
    decode_ask,
    decode_record,
    encode_answer,
)

RECORD_TOPIC = "claims-record"
SETTLE_TOPIC = "claims-settle"


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
    """Which host this is, and since when it keeps claims."""

    host: KnownHost
    incarnation: int
    started: float


class Keeper:
    """Answers other hosts' questions about claims, and this host's own."""

    __slots__ = ("universe", "_clock", "_start", "_memory_s", "_kept", "_is_founder")

    def __init__(
        self, peers: PeerPort, clock: Clock, start: KeeperStart, memory_s: float
    ):
        self.universe = Universe(memory_s)
        self.universe.add([start.host])
        self._clock = clock
        self._start = start
        self._memory_s = memory_s
        self._kept = ClaimBook()
        self._is_founder = False
        peers.answer(RECORD_TOPIC, self._on_record)
        peers.answer(SETTLE_TOPIC, self._on_settle)

    def become_founder(self, founders: Sequence[KnownHost]) -> None:
        """Vouch from now on: no claim was granted before all founders stood."""
        self.universe.add(founders)
        self._is_founder = True

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
        return self._is_founder or is_old

    async def _on_record(self, member_id: str, payload: bytes) -> Result[bytes, Fault]:
        now = self._clock.now()
        asked = decode_ask(payload, now).bind(lambda ask: _from(member_id, ask))
        return asked.map(lambda ask: encode_answer(self.vote(ask), now))

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
