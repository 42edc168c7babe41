"""Idempotency claims: a request that may not be repeated runs at most once.

A caller's repeat carries the key of the first copy and may reach any entry
host.  Before a request is dispatched its key is claimed at keepers among the
entry hosts (`Keepers` says why a majority of them proves that the key is free).
The claiming host alone knows how the run goes; keepers only know whom to ask.
docs/CLAIMS.md weighs this against claims in the platform's store and tokens.
"""

import itertools
from collections.abc import Sequence
from dataclasses import dataclass, replace

import trio
from expression import Error, Ok, Result

from radishfield.core import Clock, Fault, PeerPort, PlatformPort, ResultCode, fault
from radishfield.fleet._claims_book import ClaimBook, ClaimRecord, ClaimState
from radishfield.fleet._claims_founding import Founder, join_founding
from radishfield.fleet._claims_keepers import KnownHost, Universe
from radishfield.fleet._claims_votes import (
    Claimed,
    Replay,
    answer_to_repeat,
    as_unknown,
    gives_way,
    is_won,
    rivals_of,
    unproven,
    why_not,
)
from radishfield.fleet._claims_wire import (
    RecordAnswer,
    RecordAsk,
    decode_answer,
    decode_ask,
    decode_record,
    decode_state,
    encode_answer,
    encode_ask,
    encode_record,
    encode_state,
)

RECORD_TOPIC = "claims-record"
SETTLE_TOPIC = "claims-settle"
STATE_TOPIC = "claims-state"

# Many round trips between zones, and short beside the deadline of a request.
ASK_TIMEOUT_S = 0.3
# Each round either ends the claim or learns of a host or of a claim that was
# given up; more than a few mean that the view of the fleet is still moving.
MAX_ROUNDS = 4
# Answers are kept at two hosts beside the one that ran the request, in other
# zones where possible: a host and a zone may go, and a repeat is still answered.
ANSWER_COPIES = 2


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


class Claims:
    """Claims keys for this host's requests, and keeps claims for other hosts."""

    __slots__ = (
        "_peers",
        "_clock",
        "_start",
        "_times",
        "_universe",
        "_own",
        "_kept",
        "_is_founder",
        "_numbers",
    )

    def __init__(
        self,
        peers: PeerPort,
        clock: Clock,
        start: KeeperStart,
        times: ClaimTimes | None = None,
    ):
        self._peers = peers
        self._clock = clock
        self._start = start
        self._times = times or ClaimTimes()
        self._universe = Universe(self._times.memory_s)
        self._universe.add([start.host])
        self._own = ClaimBook()
        self._kept = ClaimBook()
        self._is_founder = False
        self._numbers = itertools.count(1)
        peers.answer(RECORD_TOPIC, self._on_record)
        peers.answer(SETTLE_TOPIC, self._on_settle)
        peers.answer(STATE_TOPIC, self._on_state)

    async def run(
        self, platform: PlatformPort, *, task_status=trio.TASK_STATUS_IGNORED
    ) -> None:
        """Take part in the founding of the fleet, if it is only starting."""
        task_status.started()
        founder = Founder(self._start.host, self._start.incarnation)
        founders = await join_founding(platform, founder)
        if founders:
            self.become_founder(founders)

    def become_founder(self, founders: Sequence[KnownHost]) -> None:
        """Vouch from now on: no claim was granted before all founders stood."""
        self._universe.add(founders)
        self._is_founder = True

    def mark_gone(self, host_id: str) -> None:
        """Note that the platform's list of hosts no longer has a host.

        Without it a host that is gone for good counts for ever among those
        whose majority is needed.
        """
        self._universe.mark_gone(host_id, self._clock.now())

    async def claim(
        self, workspace: str, key: str, digest: str, request_id: str, expires_at: float
    ) -> Result[Claimed | Replay, Fault]:
        """Claim a key, or say what became of the request that holds it.

        Granted at most once while the key is remembered, whatever hosts its
        copies reach.
        """
        now = self._clock.now()
        record = ClaimRecord(
            workspace,
            key,
            digest,
            self._claim_id(request_id),
            self._start.host.id,
            self._start.incarnation,
            min(expires_at, now + self._times.lifetime_s),
        )
        earlier = self._own.find(record.place, now)
        if earlier is not None and earlier.state is not ClaimState.RELEASED:
            return answer_to_repeat(earlier, digest)
        if not self._own.put(record, now):
            return Error(unproven("too many claims are open at this host"))
        granted = False
        try:
            result = await self._win(record)
            granted = result.is_ok() and isinstance(result.ok, Claimed)
            return result
        finally:
            if not granted:
                self._note(record, ClaimState.RELEASED, None)

    async def finish(self, claimed: Claimed, answer: bytes | None) -> None:
        """Note that the request ran to its end, with its answer if small."""
        await self._settle(claimed.record, ClaimState.FINISHED, answer, ANSWER_COPIES)

    async def release(self, claimed: Claimed) -> None:
        """Note that the request is proven not to have run; the key is free."""
        everyone = len(self._asked(claimed.record))
        await self._settle(claimed.record, ClaimState.RELEASED, None, everyone)

    async def mark_unknown(self, claimed: Claimed) -> None:
        """Note that the request may have run; a repeat is told so."""
        await self._settle(claimed.record, ClaimState.UNKNOWN, None, ANSWER_COPIES)

    async def _win(self, record: ClaimRecord) -> Result[Claimed | Replay, Fault]:
        superseded: set[str] = set()
        for _ in range(MAX_ROUNDS):
            self._learn_members()
            voters = self._keepers(record).voters
            votes = await self._poll(record, tuple(superseded))
            if self._keepers(record).voters != voters:
                continue
            if is_won(self._keepers(record), votes):
                return Ok(Claimed(record))
            rivals = rivals_of(votes)
            if not rivals:
                return Error(why_not(self._keepers(record), votes))
            for rival in rivals:
                state = await self._state_of(rival)
                if state.state is not ClaimState.RELEASED:
                    return answer_to_repeat(state, record.digest)
                superseded.add(rival.claim_id)
        return Error(unproven("the view of the fleet is still changing"))

    async def _poll(
        self, record: ClaimRecord, superseded: tuple[str, ...]
    ) -> dict[str, RecordAnswer]:
        votes: dict[str, RecordAnswer] = {}
        ask = RecordAsk(record, self._universe.digest, superseded)
        with trio.move_on_after(ASK_TIMEOUT_S) as scope:
            async with trio.open_nursery() as nursery:
                for host_id in self._asked(record):
                    nursery.start_soon(self._ask_one, host_id, ask, votes, scope)
        return votes

    async def _ask_one(self, host_id: str, ask: RecordAsk, votes, scope) -> None:
        vote = await self._vote_of(host_id, ask)
        if vote is None:
            return
        self._universe.add(vote.known)
        votes[host_id] = vote
        if is_won(self._keepers(ask.record), votes):
            scope.cancel()

    async def _vote_of(self, host_id: str, ask: RecordAsk) -> RecordAnswer | None:
        now = self._clock.now()
        if host_id == self._start.host.id:
            return self._vote(ask, now)
        answer = await self._peers.ask(
            host_id, RECORD_TOPIC, encode_ask(ask, now), ASK_TIMEOUT_S
        )
        decoded = answer.bind(lambda payload: decode_answer(payload, now))
        match decoded:
            case Result(tag="ok", ok=vote):
                return vote
        return None

    def _vote(self, ask: RecordAsk, now: float) -> RecordAnswer:
        known = ()
        if ask.known_digest != self._universe.digest:
            known = tuple(self._universe.hosts())
        held = self._kept.find(ask.record.place, now)
        if held is not None and not gives_way(held, ask):
            return RecordAnswer(False, self._vouches(now), held, known)
        is_recorded = self._kept.put(ask.record, now)
        return RecordAnswer(is_recorded, self._vouches(now), None, known)

    def _claim_id(self, request_id: str) -> str:
        start = self._start
        number = next(self._numbers)
        return f"{request_id}@{start.host.id}.{start.incarnation}.{number}"

    def _vouches(self, now: float) -> bool:
        is_old = now - self._start.started >= self._times.memory_s
        return self._is_founder or is_old

    async def _state_of(self, rival: ClaimRecord) -> ClaimRecord:
        """Return what became of a claim that a keeper holds.

        A claimant that cannot be reached, or that restarted and forgot, leaves
        it unknown: its run may have begun.
        """
        if rival.state is not ClaimState.CLAIMED:
            return rival
        now = self._clock.now()
        if rival.host_id == self._start.host.id:
            return self._own_state(rival, now) or as_unknown(rival)
        answer = await self._peers.ask(
            rival.host_id, STATE_TOPIC, encode_record(rival, now), ASK_TIMEOUT_S
        )
        match answer.bind(lambda payload: decode_state(payload, now)):
            case Result(tag="ok", ok=ClaimRecord() as state):
                return state
        return as_unknown(rival)

    def _own_state(self, asked: ClaimRecord, now: float) -> ClaimRecord | None:
        own = self._own.find(asked.place, now)
        if own is None or asked.incarnation != self._start.incarnation:
            return None
        # A later claim may stand in this place, because the one asked about was
        # released; the later one is then what a repeat has to hear of.
        return own

    async def _settle(
        self, record: ClaimRecord, state: ClaimState, answer: bytes | None, copies: int
    ) -> None:
        settled = self._note(record, state, answer)
        if settled is None:
            return
        others = [
            host_id for host_id in self._asked(record) if host_id != self._start.host.id
        ]
        others.sort(key=self._is_own_zone)
        payload = encode_record(settled, self._clock.now())
        with trio.move_on_after(ASK_TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                for host_id in others[:copies]:
                    nursery.start_soon(
                        self._peers.ask, host_id, SETTLE_TOPIC, payload, ASK_TIMEOUT_S
                    )

    def _note(
        self, record: ClaimRecord, state: ClaimState, answer: bytes | None
    ) -> ClaimRecord | None:
        now = self._clock.now()
        self._kept.settle(record.place, record.claim_id, state, None, now)
        return self._own.settle(record.place, record.claim_id, state, answer, now)

    async def _on_record(self, member_id: str, payload: bytes) -> Result[bytes, Fault]:
        now = self._clock.now()
        asked = decode_ask(payload, now).bind(lambda ask: _from(member_id, ask))
        return asked.map(lambda ask: encode_answer(self._vote(ask, now), now))

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

    async def _on_state(self, member_id: str, payload: bytes) -> Result[bytes, Fault]:
        now = self._clock.now()
        asked = decode_record(payload, now)
        return asked.map(lambda record: encode_state(self._own_state(record, now), now))

    def _learn_members(self) -> None:
        self._universe.add(
            KnownHost(member.id, member.zone) for member in self._peers.members()
        )

    def _keepers(self, record: ClaimRecord):
        return self._universe.keepers(record.place, self._clock.now())

    def _asked(self, record: ClaimRecord) -> tuple[str, ...]:
        keepers = self._keepers(record)
        return keepers.voters + keepers.witnesses

    def _is_own_zone(self, host_id: str) -> bool:
        return any(
            host.zone == self._start.host.zone
            for host in self._universe.hosts()
            if host.id == host_id
        )


def _from(member_id: str, ask: RecordAsk) -> Result[RecordAsk, Fault]:
    if ask.record.host_id == member_id:
        return Ok(ask)
    return Error(fault(ResultCode.BAD_FRAME, "a claim on behalf of another host"))
