"""How facts reach every entry host: told at once, repaired by digests.

A host that learns a newer fact tells a few others at once, most of them in its
own zone.  Each passes it on once, so a change reaches 340 hosts in about five
hops.  Datagrams get lost and the choice is random, so a few in a hundred miss
it; heartbeats carry a digest of all facts, and two hosts whose digests differ
exchange what either lacks.  The same exchange fills a host that has just
started, also when its zone is cut off from the platform.
"""

import random
from collections.abc import Sequence
from dataclasses import dataclass

import trio
from expression import Error, Ok, Result

from radishfield.core import (
    Clock,
    Fault,
    Member,
    MemberState,
    ResultCode,
    StoredObject,
    fault,
)
from radishfield.fleet import _wire
from radishfield.fleet._facts import FactTable
from radishfield.fleet._ports import PeerMessages

FACTS_TOPIC = "facts"
DIGESTS_TOPIC = "facts.digests"
EXCHANGE_TOPIC = "facts.exchange"

ZONE_FAN_OUT = 2
OTHER_FAN_OUT = 2
"""With four told by each host, about e**-4, 2 in a hundred, are left to digests."""

BATCH_BYTES = 900
"""Payload of one datagram; with its frame it stays below an Ethernet packet."""

EXCHANGE_BYTES = 512 * 1024
"""Facts of one exchange; a larger difference takes several."""

TOLD_BYTES_PER_S = 600.0
TOLD_BURST_BYTES = 24_000.0
"""Keeps a storm of facts within the host's share of 3 KB a second."""

SYNC_PAUSE_S = 0.5
"""Between exchanges; a fact still on its way makes many digests differ."""

ASK_TIMEOUT_S = 2.0


@dataclass(slots=True, frozen=True)
class SpreadSettings:
    """Who this host is."""

    host: str
    zone: str


class FactSpreader:
    """A service that keeps the `FactTable` of this host and its peers equal.

    Attributes
    ----------
    exchanges, told_bytes, malformed : int
        Counters for the metrics.
    """

    __slots__ = (
        "_chance",
        "_clock",
        "_differing",
        "_facts",
        "_fresh",
        "_level",
        "_level_at",
        "_peers",
        "_settings",
        "exchanges",
        "malformed",
        "told_bytes",
    )

    def __init__(
        self,
        settings: SpreadSettings,
        peers: PeerMessages,
        facts: FactTable,
        clock: Clock,
        chance: random.Random | None = None,
    ):
        self._settings = settings
        self._peers = peers
        self._facts = facts
        self._clock = clock
        self._chance = chance or random.Random()
        self._fresh = trio.Event()
        self._differing: dict[str, None] = {}
        self._level = TOLD_BURST_BYTES
        self._level_at = clock.now()
        self.exchanges = 0
        self.told_bytes = 0
        self.malformed = 0
        facts.listen("", lambda fact: self._fresh.set())
        peers.hear(FACTS_TOPIC, self._hear)
        peers.answer(DIGESTS_TOPIC, self._answer_digests)
        peers.answer(EXCHANGE_TOPIC, self._answer_exchange)
        peers.compare_state(facts.digest, self._differs)

    async def run(self, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED):
        """Tell, exchange and, after a start, fill the table; until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._tell_fresh)
            nursery.start_soon(self._exchange_differing)
            nursery.start_soon(self._fill)
            task_status.started()

    async def exchange(self, member_id: str) -> Result[None, Fault]:
        """Make this table and a member's equal, up to a bound in bytes."""
        self.exchanges += 1
        digests = self._facts.bucket_digests()
        question = _wire.encode_sync_question(digests)
        asked = await self._peers.ask(member_id, DIGESTS_TOPIC, question, ASK_TIMEOUT_S)
        if asked.is_error():
            return Error(asked.error)
        decoded = _wire.decode_sync_answer(asked.ok)
        if decoded.is_error():
            return Error(decoded.error)
        is_known, theirs, their_digests = decoded.ok
        wanted = self._facts.older_than(theirs)
        offered = _bounded(self._facts.newer_than(theirs, their_digests))
        if wanted or offered:
            payload = _wire.encode_exchange(wanted, offered)
            got = await self._peers.ask(
                member_id, EXCHANGE_TOPIC, payload, ASK_TIMEOUT_S
            )
            problem = self._learn_all(got)
            if problem is not None:
                return Error(problem)
        if is_known and not self._facts.older_than(theirs):
            self._facts.is_known = True
        return Ok(None)

    async def _tell_fresh(self) -> None:
        while True:
            await self._fresh.wait()
            self._fresh = trio.Event()
            for batch in _batches(self._facts.take_fresh()):
                payload = _wire.encode_facts(batch)
                chosen = choose_fan_out(
                    self._peers.members(), self._settings, self._chance
                )
                await self._pay(len(payload) * len(chosen))
                await self._peers.tell(chosen, FACTS_TOPIC, payload)

    async def _pay(self, size: int) -> None:
        """Wait until the budget of told bytes allows for so many more."""
        now = self._clock.now()
        refill = (now - self._level_at) * TOLD_BYTES_PER_S
        self._level = min(TOLD_BURST_BYTES, self._level + refill) - size
        self._level_at = now
        self.told_bytes += size
        if self._level < 0:
            await trio.sleep(-self._level / TOLD_BYTES_PER_S)

    async def _exchange_differing(self) -> None:
        while True:
            await trio.sleep(SYNC_PAUSE_S * self._chance.uniform(0.5, 1.5))
            if self._differing:
                member_id = self._chance.choice(list(self._differing))
                self._differing.clear()
                await self.exchange(member_id)

    async def _fill(self) -> None:
        """Learn from peers, of this zone first, until the table is known."""
        while not self._facts.is_known:
            members = [
                member
                for member in self._peers.members()
                if member.state is not MemberState.DEAD
                and member.id != self._settings.host
            ]
            members.sort(key=lambda member: member.zone != self._settings.zone)
            for member in members[:8]:
                if not self._facts.is_known:
                    await self.exchange(member.id)
            await trio.sleep(SYNC_PAUSE_S)

    def _hear(self, sender: str, payload: bytes) -> None:
        self._learn_all(Ok(payload))

    def _learn_all(self, payload: Result[bytes, Fault]) -> Fault | None:
        facts = payload.bind(_wire.decode_facts)
        match facts:
            case Result(tag="ok", ok=batch):
                # What fills a new host's table is old news to everybody else.
                spread = self._facts.is_known
                for fact in batch:
                    self._facts.learn(fact, spread)
                return None
            case Result(tag="error", error=problem):
                self.malformed += problem.code is ResultCode.BAD_FRAME
                return problem

    def _differs(self, member_id: str) -> None:
        self._differing[member_id] = None

    async def _answer_digests(
        self, sender: str, payload: bytes
    ) -> Result[bytes, Fault]:
        decoded = _wire.decode_sync_question(payload)
        if decoded.is_error():
            return Error(decoded.error)
        answer = _wire.encode_sync_answer(
            self._facts.is_known,
            self._facts.versions_where(decoded.ok),
            self._facts.bucket_digests(),
        )
        return Ok(answer)

    async def _answer_exchange(
        self, sender: str, payload: bytes
    ) -> Result[bytes, Fault]:
        decoded = _wire.decode_exchange(payload)
        if decoded.is_error():
            return Error(decoded.error)
        wanted, offered = decoded.ok
        for fact in offered:
            self._facts.learn(fact)
        found = (self._facts.find(item.kind, item.name) for item in wanted)
        facts = _bounded([fact for fact in found if fact is not None])
        if wanted and not facts:
            return Error(fault(ResultCode.PEER_STALE, "nothing newer"))
        return Ok(_wire.encode_facts(facts))


def choose_fan_out(
    members: Sequence[Member], settings: SpreadSettings, chance: random.Random
) -> Sequence[str]:
    """Return whom to tell: some of this zone, and some of the others.

    Where a zone has too few hosts, the others take its share, so that a zone
    of one host still tells four.
    """
    live = [
        member
        for member in members
        if member.state in (MemberState.LIVE, MemberState.LEAVING)
        and member.id != settings.host
    ]
    near = [member.id for member in live if member.zone == settings.zone]
    far = [member.id for member in live if member.zone != settings.zone]
    chance.shuffle(near)
    chance.shuffle(far)
    fan_out = ZONE_FAN_OUT + OTHER_FAN_OUT
    far_count = max(OTHER_FAN_OUT, fan_out - len(near))
    chosen_far = far[:far_count]
    return near[: fan_out - len(chosen_far)] + chosen_far


def _size(fact: StoredObject) -> int:
    return len(fact.kind) + len(fact.name) + len(fact.value) + 24


def _batches(facts: Sequence[StoredObject]) -> Sequence[Sequence[StoredObject]]:
    """Pack facts into datagrams; one too large for any is left to digests."""
    batches: list[list[StoredObject]] = []
    left = 0
    for fact in facts:
        size = _size(fact)
        if size > BATCH_BYTES:
            continue
        if size > left:
            batches.append([])
            left = BATCH_BYTES
        batches[-1].append(fact)
        left -= size
    return batches


def _bounded(facts: Sequence[StoredObject]) -> Sequence[StoredObject]:
    """Return as many facts as one exchange carries, at least one."""
    bounded: list[StoredObject] = []
    left = EXCHANGE_BYTES
    for fact in facts:
        left -= _size(fact)
        if left < 0 and bounded:
            break
        bounded.append(fact)
    return bounded
