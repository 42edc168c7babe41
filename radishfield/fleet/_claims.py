"""Idempotency claims: a request that may not be repeated runs at most once.

A caller's repeat carries the key of the first copy and may reach any entry
host.  Before a request is dispatched its key is claimed at keepers among the
entry hosts (`Keepers` says why a majority of them proves that the key is free).
The claiming host alone knows how the run goes; keepers only know whom to ask.
docs/CLAIMS.md weighs this against claims in the platform's store and tokens.
"""

import itertools
from collections.abc import Sequence
from dataclasses import replace

import trio
from expression import Error, Ok, Result

from radishfield.core import Clock, Fault, PeerPort, PlatformPort
from radishfield.fleet._claims_book import ClaimBook, ClaimRecord, ClaimState
from radishfield.fleet._claims_founding import Founder, join_founding
from radishfield.fleet._claims_keeper import (
    RECORD_TOPIC,
    SETTLE_TOPIC,
    ClaimTimes,
    Keeper,
    KeeperStart,
)
from radishfield.fleet._claims_keepers import Keepers, KnownHost
from radishfield.fleet._claims_votes import (
    Claimed,
    Replay,
    answer_to_repeat,
    as_unknown,
    is_won,
    rivals_of,
    unproven,
    why_not,
)
from radishfield.fleet._claims_wire import (
    RecordAnswer,
    RecordAsk,
    decode_answer,
    decode_record,
    decode_state,
    encode_ask,
    encode_record,
    encode_state,
)

STATE_TOPIC = "claims-state"

# Many round trips between zones, and short beside the deadline of a request.
ASK_TIMEOUT_S = 0.3
# Each round either ends the claim or learns of a host or of a claim that was
# given up; more than a few mean that the view of the fleet is still moving.
MAX_ROUNDS = 4
# Answers are kept at two hosts beside the one that ran the request, in other
# zones where possible: a host and a zone may go, and a repeat is still answered.
ANSWER_COPIES = 2
# Ends of runs that wait to be told.  A dropped one costs a kept answer, or a
# question to this host, and no promise.
MAX_UNSENT = 1000
SENDERS = 8
# After these, the memory is old enough by itself.
MEMORY_TRIES = 20
DRAIN_S = 2.0
DRAIN_POLL_S = 0.02


class Claims:
    """Claims keys for this host's requests, and keeps claims for other hosts."""

    __slots__ = (
        "_peers",
        "_clock",
        "_start",
        "_times",
        "_keeper",
        "_own",
        "_numbers",
        "_platform",
        "_outbox",
        "_waiting",
        "_unsent",
        "dropped",
    )

    def __init__(
        self,
        peers: PeerPort,
        clock: Clock,
        start: KeeperStart,
        times: ClaimTimes | None = None,
        platform: PlatformPort | None = None,
    ):
        self._peers = peers
        self._clock = clock
        self._start = start
        self._times = times or ClaimTimes()
        self._keeper = Keeper(peers, clock, start, self._times.memory_s)
        self._own = ClaimBook()
        self._numbers = itertools.count(1)
        self._platform = platform
        self._outbox, self._waiting = trio.open_memory_channel(MAX_UNSENT)
        self._unsent = 0
        self.dropped = 0
        peers.answer(STATE_TOPIC, self._on_state)

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Tell keepers how runs ended, and take part in the fleet's founding."""
        async with trio.open_nursery() as nursery:
            for _ in range(SENDERS):
                nursery.start_soon(self._send_settled)
            task_status.started()
            if self._platform is not None:
                founder = Founder(self._start.host, self._start.number)
                founders = await join_founding(self._platform, founder)
                if founders:
                    self.become_founder(founders)
                    return
            await self._remember()

    async def _remember(self) -> None:
        """Read other keepers' books once every host has heard of this one."""
        for _ in range(MEMORY_TRIES):
            await trio.sleep(self._times.margin_s)
            self._learn_members()
            if await self._keeper.read_memory(self._peers):
                return

    async def drain(self) -> None:
        """Wait until keepers have been told, for a while at most."""
        with trio.move_on_after(DRAIN_S):
            while self._unsent:
                await trio.sleep(DRAIN_POLL_S)

    def become_founder(self, founders: Sequence[KnownHost]) -> None:
        """Vouch from now on: no claim was granted before all founders stood."""
        self._keeper.become_founder(founders)

    def mark_gone(self, host_id: str) -> None:
        """Note that the platform's list of hosts no longer has a host.

        Without it a host that is gone for good counts for ever among those
        whose majority is needed.
        """
        self._keeper.universe.mark_gone(host_id, self._clock.now())

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
            self._start.number,
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
                self._release(record)

    async def finish(self, claimed: Claimed, answer: bytes | None) -> None:
        """Note that the request ran to its end, with its answer if small."""
        self._settle(claimed.record, ClaimState.FINISHED, answer, ANSWER_COPIES)

    async def release(self, claimed: Claimed) -> None:
        """Note that the request is proven not to have run; the key is free."""
        self._release(claimed.record)

    async def mark_unknown(self, claimed: Claimed) -> None:
        """Note that the request may have run; a repeat is told so."""
        self._settle(claimed.record, ClaimState.UNKNOWN, None, ANSWER_COPIES)

    def _claim_id(self, request_id: str) -> str:
        start = self._start
        place = f"{start.host.id}.{start.incarnation}.{start.number}"
        return f"{request_id}@{place}.{next(self._numbers)}"

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
        ask = RecordAsk(record, self._keeper.universe.digest, superseded)
        with trio.move_on_after(ASK_TIMEOUT_S) as scope:
            async with trio.open_nursery() as nursery:
                for host_id in self._asked(record):
                    nursery.start_soon(self._ask_one, host_id, ask, votes, scope)
        return votes

    async def _ask_one(self, host_id: str, ask: RecordAsk, votes, scope) -> None:
        vote = await self._vote_of(host_id, ask)
        if vote is None:
            return
        self._keeper.universe.add(vote.known)
        votes[host_id] = vote
        if is_won(self._keepers(ask.record), votes):
            scope.cancel()

    async def _vote_of(self, host_id: str, ask: RecordAsk) -> RecordAnswer | None:
        now = self._clock.now()
        if host_id == self._start.host.id:
            return self._keeper.vote(ask)
        answer = await self._peers.ask(
            host_id, RECORD_TOPIC, encode_ask(ask, now), ASK_TIMEOUT_S
        )
        decoded = answer.bind(lambda payload: decode_answer(payload, now))
        match decoded:
            case Result(tag="ok", ok=vote):
                return vote
        return None

    async def _state_of(self, rival: ClaimRecord) -> ClaimRecord:
        """Return what became of a claim that a keeper holds.

        A claimant that cannot be reached, or that restarted and forgot, leaves
        it unknown: its run may have begun.
        """
        has_ended = rival.state is not ClaimState.CLAIMED
        if rival.answer is not None or rival.state is ClaimState.UNKNOWN:
            return rival
        told = await self._ask_claimant(rival)
        if told is not None:
            return told
        return rival if has_ended else as_unknown(rival)

    async def _ask_claimant(self, rival: ClaimRecord) -> ClaimRecord | None:
        now = self._clock.now()
        if rival.host_id == self._start.host.id:
            return self._own_state(rival, now)
        answer = await self._peers.ask(
            rival.host_id, STATE_TOPIC, encode_record(rival, now), ASK_TIMEOUT_S
        )
        match answer.bind(lambda payload: decode_state(payload, now)):
            case Result(tag="ok", ok=ClaimRecord() as state):
                return state
        return None

    def _own_state(self, asked: ClaimRecord, now: float) -> ClaimRecord | None:
        own = self._own.find(asked.place, now)
        if own is None or asked.start_number != self._start.number:
            return None
        if own.claim_id != asked.claim_id:
            # A later claim stands in this place only because the one asked
            # about was released first; the later one has records of its own.
            return replace(asked, state=ClaimState.RELEASED)
        return own

    def _release(self, record: ClaimRecord) -> None:
        everyone = len(self._asked(record))
        self._settle(record, ClaimState.RELEASED, None, everyone)

    def _settle(
        self, record: ClaimRecord, state: ClaimState, answer: bytes | None, copies: int
    ) -> None:
        """Note how the run ended, and leave it to `run` to tell the keepers.

        The caller's answer must not wait for a keeper that is out of reach.
        Until a keeper has heard, it sends whoever asks to this host.
        """
        settled = self._note(record, state, answer)
        if settled is None:
            return
        try:
            self._outbox.send_nowait((settled, copies))
            self._unsent += 1
        except trio.WouldBlock:
            self.dropped += 1

    async def _send_settled(self) -> None:
        async for settled, copies in self._waiting.clone():
            await self._tell_keepers(settled, copies)
            self._unsent -= 1

    async def _tell_keepers(self, settled: ClaimRecord, copies: int) -> None:
        asked = self._asked(settled)
        others = [each for each in asked if each != self._start.host.id]
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
        self._keeper.settle(record, state)
        return self._own.settle(record.place, record.claim_id, state, answer, now)

    async def _on_state(self, member_id: str, payload: bytes) -> Result[bytes, Fault]:
        now = self._clock.now()
        asked = decode_record(payload, now)
        return asked.map(lambda record: encode_state(self._own_state(record, now), now))

    def _learn_members(self) -> None:
        self._keeper.universe.add(
            KnownHost(member.id, member.zone) for member in self._peers.members()
        )

    def _keepers(self, record: ClaimRecord) -> Keepers:
        return self._keeper.universe.keepers(record.place, self._clock.now())

    def _asked(self, record: ClaimRecord) -> tuple[str, ...]:
        keepers = self._keepers(record)
        return keepers.voters + keepers.witnesses

    def _is_own_zone(self, host_id: str) -> bool:
        return any(
            host.zone == self._start.host.zone
            for host in self._keeper.universe.hosts()
            if host.id == host_id
        )
