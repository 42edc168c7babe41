"""Spreads facts to every entry host by gossip, and repairs gaps with digests.

A host that learns a newer fact sends it to a few others at once, most of them in
its own zone.  Each forwards it once, so a change reaches 340 hosts in about five
hops.  Datagrams get lost and receivers are chosen at random, so a few hosts in a
hundred miss it.  Heartbeats carry a digest of all facts, and two hosts whose
digests differ exchange the facts that either lacks.  The same exchange fills the
table of a host that has just started, also when its zone is disconnected from
the platform.
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
"""With four receivers for each host, about e**-4, 2 in a hundred, miss a fact and get
it through digests."""

MAX_BATCH_BYTES = 900
"""Maximum payload of a datagram; with its headers it fits into an Ethernet packet."""

MAX_EXCHANGE_BYTES = 512 * 1024
"""Size of the facts in one exchange; a larger difference takes several."""

SEND_BYTES_PER_S = 600.0
SEND_BURST_BYTES = 24_000.0
"""Limits that keep a burst of facts within the host's share of 3 KB a second."""

SYNC_PAUSE_S = 0.5
"""Time between exchanges: while a fact is still spreading, many digests differ."""

QUERY_TIMEOUT_S = 2.0


@dataclass(slots=True, frozen=True)
class SpreadSettings:
    """Identity of this host."""

    host: str
    zone: str


class FactSpreader:
    """A service that keeps the `FactTable` of this host and its peers equal.

    Attributes
    ----------
    exchanges, sent_bytes, malformed : int
        Counters for the metrics.
    """

    __slots__ = (
        "_rng",
        "_clock",
        "_differing_members",
        "_facts",
        "_unsent_added",
        "_budget_bytes",
        "_budget_updated_at",
        "_peers",
        "_settings",
        "exchanges",
        "malformed",
        "sent_bytes",
    )

    def __init__(
        self,
        settings: SpreadSettings,
        peers: PeerMessages,
        facts: FactTable,
        clock: Clock,
        rng: random.Random | None = None,
    ):
        self._settings = settings
        self._peers = peers
        self._facts = facts
        self._clock = clock
        self._rng = rng or random.Random()
        self._unsent_added = trio.Event()
        self._differing_members: dict[str, None] = {}
        self._budget_bytes = SEND_BURST_BYTES
        self._budget_updated_at = clock.now()
        self.exchanges = 0
        self.sent_bytes = 0
        self.malformed = 0
        facts.listen("", lambda fact: self._unsent_added.set())
        peers.hear(FACTS_TOPIC, self._receive)
        peers.answer(DIGESTS_TOPIC, self._answer_digests)
        peers.answer(EXCHANGE_TOPIC, self._answer_exchange)
        peers.compare_state(facts.digest, self._add_differing)

    async def run(self, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED):
        """Send and exchange facts, and fill the table at the start, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_unsent)
            nursery.start_soon(self._exchange_differing)
            nursery.start_soon(self._fill_table)
            task_status.started()

    async def exchange(self, member_id: str) -> Result[None, Fault]:
        """Make this table and a member's equal, up to `MAX_EXCHANGE_BYTES`."""
        self.exchanges += 1
        digests = self._facts.bucket_digests()
        query = _wire.encode_sync_question(digests)
        answer = await self._peers.ask(member_id, DIGESTS_TOPIC, query, QUERY_TIMEOUT_S)
        if answer.is_error():
            return Error(answer.error)
        decoded = _wire.decode_sync_answer(answer.ok)
        if decoded.is_error():
            return Error(decoded.error)
        is_filled, theirs, their_digests = decoded.ok
        wanted = self._facts.older_than(theirs)
        offered = _bounded(self._facts.newer_than(theirs, their_digests))
        if wanted or offered:
            payload = _wire.encode_exchange(wanted, offered)
            received = await self._peers.ask(
                member_id, EXCHANGE_TOPIC, payload, QUERY_TIMEOUT_S
            )
            problem = self._learn_all(received)
            if problem is not None:
                return Error(problem)
        if is_filled and not self._facts.older_than(theirs):
            self._facts.is_filled = True
        return Ok(None)

    async def _send_unsent(self) -> None:
        while True:
            await self._unsent_added.wait()
            self._unsent_added = trio.Event()
            for batch in _batches(self._facts.take_unsent()):
                payload = _wire.encode_facts(batch)
                chosen = choose_fan_out(
                    self._peers.members(), self._settings, self._rng
                )
                await self._wait_for_budget(len(payload) * len(chosen))
                await self._peers.tell(chosen, FACTS_TOPIC, payload)

    async def _wait_for_budget(self, size: int) -> None:
        """Spend ``size`` bytes of the send budget, and wait while it is overdrawn."""
        now = self._clock.now()
        refill = (now - self._budget_updated_at) * SEND_BYTES_PER_S
        self._budget_bytes = min(SEND_BURST_BYTES, self._budget_bytes + refill) - size
        self._budget_updated_at = now
        self.sent_bytes += size
        if self._budget_bytes < 0:
            await trio.sleep(-self._budget_bytes / SEND_BYTES_PER_S)

    async def _exchange_differing(self) -> None:
        while True:
            await trio.sleep(SYNC_PAUSE_S * self._rng.uniform(0.5, 1.5))
            if self._differing_members:
                member_id = self._rng.choice(list(self._differing_members))
                self._differing_members.clear()
                await self.exchange(member_id)

    async def _fill_table(self) -> None:
        """Exchange with peers, those of this zone first, until the table is filled."""
        while not self._facts.is_filled:
            members = [
                member
                for member in self._peers.members()
                if member.state is not MemberState.DEAD
                and member.id != self._settings.host
            ]
            members.sort(key=lambda member: member.zone != self._settings.zone)
            for member in members[:8]:
                if not self._facts.is_filled:
                    await self.exchange(member.id)
            await trio.sleep(SYNC_PAUSE_S)

    def _receive(self, sender: str, payload: bytes) -> None:
        self._learn_all(Ok(payload))

    def _learn_all(self, payload: Result[bytes, Fault]) -> Fault | None:
        facts = payload.bind(_wire.decode_facts)
        match facts:
            case Result(tag="ok", ok=batch):
                # The facts that fill a new host's table are known to all others.
                spread = self._facts.is_filled
                for fact in batch:
                    self._facts.learn(fact, spread)
                return None
            case Result(tag="error", error=problem):
                self.malformed += problem.code is ResultCode.BAD_FRAME
                return problem

    def _add_differing(self, member_id: str) -> None:
        self._differing_members[member_id] = None

    async def _answer_digests(
        self, sender: str, payload: bytes
    ) -> Result[bytes, Fault]:
        decoded = _wire.decode_sync_question(payload)
        if decoded.is_error():
            return Error(decoded.error)
        answer = _wire.encode_sync_answer(
            self._facts.is_filled,
            self._facts.versions_in_differing_buckets(decoded.ok),
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
            return Error(fault(ResultCode.PEER_STALE, "no newer facts"))
        return Ok(_wire.encode_facts(facts))


def choose_fan_out(
    members: Sequence[Member], settings: SpreadSettings, rng: random.Random
) -> Sequence[str]:
    """Return the members to send to: some of this zone, and some of others.

    Where a zone has too few hosts, hosts of other zones take their share, so that
    the only host of a zone still sends to four.
    """
    live = [
        member
        for member in members
        if member.state in (MemberState.LIVE, MemberState.LEAVING)
        and member.id != settings.host
    ]
    in_zone = [member.id for member in live if member.zone == settings.zone]
    in_others = [member.id for member in live if member.zone != settings.zone]
    rng.shuffle(in_zone)
    rng.shuffle(in_others)
    fan_out = ZONE_FAN_OUT + OTHER_FAN_OUT
    other_count = max(OTHER_FAN_OUT, fan_out - len(in_zone))
    chosen_others = in_others[:other_count]
    return in_zone[: fan_out - len(chosen_others)] + chosen_others


def _size(fact: StoredObject) -> int:
    return len(fact.kind) + len(fact.name) + len(fact.value) + 24


def _batches(facts: Sequence[StoredObject]) -> Sequence[Sequence[StoredObject]]:
    """Pack facts into datagrams.

    Facts too large for a datagram are skipped; peers get them through digests.
    """
    batches: list[list[StoredObject]] = []
    free_bytes = 0
    for fact in facts:
        size = _size(fact)
        if size > MAX_BATCH_BYTES:
            continue
        if size > free_bytes:
            batches.append([])
            free_bytes = MAX_BATCH_BYTES
        batches[-1].append(fact)
        free_bytes -= size
    return batches


def _bounded(facts: Sequence[StoredObject]) -> Sequence[StoredObject]:
    """Return the first facts that fit into one exchange, at least one."""
    bounded: list[StoredObject] = []
    free_bytes = MAX_EXCHANGE_BYTES
    for fact in facts:
        free_bytes -= _size(fact)
        if free_bytes < 0 and bounded:
            break
        bounded.append(fact)
    return bounded
