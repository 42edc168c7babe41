"""Idempotency claims: a request that may not be repeated runs at most once.

A caller's repeat carries the key of the first copy and may reach any entry
host.  Before a request is dispatched, its key is claimed by a conditional write
to the platform's store, which lets one claim of a key stand.  The claiming host
alone knows how the run goes, and keeps the answer; a repeat elsewhere finds the
claim and asks that host.  Copies of the answer at other hosts are a cache:
nothing is agreed by them.  docs/CLAIMS.md weighs this against other ways.
"""

import time
import uuid
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace

import trio
from expression import Error, Ok, Result

from radishfield.core import (
    Clock,
    Fault,
    MemberState,
    Outcome,
    PeerPort,
    PlatformPort,
    ResultCode,
    fault,
)
from radishfield.fleet._claims_book import ClaimBook, ClaimRecord, ClaimState
from radishfield.fleet._claims_slots import StoredClaim, place_of
from radishfield.fleet._claims_store import ClaimStore
from radishfield.fleet._claims_wire import (
    StateAsk,
    decode_ask,
    decode_record,
    decode_state,
    encode_ask,
    encode_record,
    encode_state,
)
from radishfield.fleet._rendezvous import ranked

STATE_TOPIC = "claims.state"
COPY_TOPIC = "claims.copy"

# Each step reads or writes the slot anew after somebody else changed it; more
# than a few mean that the key itself is fought over.
MAX_STEPS = 4
CLAIMANT_TRIES = 2
# One beside the host that ran the request may go with its zone.
ANSWER_COPIES = 2
RETRY_IN_FLIGHT_S = 1.0
RETRY_UNAVAILABLE_S = 2.0
MAX_ERRANDS = 1_000
JOIN_S = 10.0
"""Hosts that start together know each other within two or three seconds, also
on busy machines; a host that is older and knows no claimant will not hear of it."""

JOIN_WAIT_S = 2.0
"""Less than the patience of a claim, so that the caller hears the true reason."""

JOIN_POLL_S = 0.05
DRAIN_S = 2.0
DRAIN_PAUSE_S = 0.02
ERRAND_WORKERS = 4


@dataclass(slots=True, frozen=True)
class ClaimSettings:
    """Who claims, and how patiently.

    Attributes
    ----------
    patience_s : float
        Seconds after which a claim that the platform does not settle is refused.
    ask_timeout_s : float
        Seconds for a question to another host: many round trips between zones.
    """

    host: str
    zone: str
    patience_s: float = 3.0
    ask_timeout_s: float = 0.5
    max_kept: int = 10_000


@dataclass(slots=True, frozen=True)
class Claimed:
    """A granted claim; its holder settles it once the run has ended."""

    record: ClaimRecord


@dataclass(slots=True, frozen=True)
class Replay:
    """The whole answer of the first run."""

    answer: bytes


class Claims:
    """A service that claims keys, and answers for the claims of this host.

    Attributes
    ----------
    dropped_errands : int
        Copies and releases that were not sent for want of room.
    """

    __slots__ = (
        "_store",
        "_peers",
        "_clock",
        "_settings",
        "_own",
        "_copies",
        "_send_errand",
        "_errands",
        "_started_at",
        "dropped_errands",
    )

    def __init__(
        self,
        platform: PlatformPort,
        peers: PeerPort,
        clock: Clock,
        settings: ClaimSettings,
        unix_now: Callable[[], float] = time.time,
    ):
        self._store = ClaimStore(platform, unix_now)
        self._peers = peers
        self._clock = clock
        self._settings = settings
        self._own = ClaimBook(settings.max_kept)
        self._copies = ClaimBook(settings.max_kept)
        self._send_errand, self._errands = trio.open_memory_channel(MAX_ERRANDS)
        self._started_at: float | None = None
        self.dropped_errands = 0
        peers.answer(STATE_TOPIC, self._answer_state)
        peers.answer(COPY_TOPIC, self._take_copy)

    async def run(self, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED):
        """Send copies of answers and take back released claims, until cancelled."""
        self._started_at = self._clock.now()
        async with trio.open_nursery() as nursery:
            for _ in range(ERRAND_WORKERS):
                nursery.start_soon(self._run_errands)
            task_status.started()

    async def claim(
        self, workspace: str, key: str, digest: str, request_id: str, expires_at: float
    ) -> Result[Claimed | Replay, Fault]:
        """Claim a key until ``expires_at``, or say what its first copy came to.

        ``CLAIM_UNAVAILABLE`` says that this copy did not run and another may
        have: its outcome is unknown.
        """
        now = self._clock.now()
        place = place_of(workspace, key)
        held = self._own.find(place, now)
        if held is not None and held.state is not ClaimState.RELEASED:
            return answer_to_repeat(held, digest)
        claim_id = f"{request_id}.{uuid.uuid4().hex}"
        record = ClaimRecord(place, digest, claim_id, self._settings.host, expires_at)
        # Noted before the platform is asked: whoever finds the claim there must
        # find this host able to say how it went.
        if not self._own.put(record, now):
            return Error(_unavailable("this host keeps as many claims as it may"))
        released = {held.claim_id} if held is not None else set()
        granted: Result[Claimed | Replay, Fault] = Error(
            _unavailable("the platform did not answer in time")
        )
        try:
            with trio.move_on_after(self._settings.patience_s):
                granted = await self._contend(record, released)
        finally:
            if granted.is_error():
                self._give_up(record, granted.error)
            elif isinstance(granted.ok, Replay):
                self._own.settle(record, ClaimState.RELEASED, None, now)
        return granted

    async def finish(self, claimed: Claimed, answer: bytes | None) -> None:
        """Note that the run ended well, and copy its answer to other hosts."""
        settled = self._settle(claimed, ClaimState.FINISHED, answer)
        if settled is not None and settled.answer is not None:
            for host_id in self._copy_hosts(settled.place):
                self._add_errand(_Copy(host_id, settled))

    async def release(self, claimed: Claimed) -> None:
        """Note that nothing ran: the key may be claimed again."""
        self._give_up(claimed.record)

    async def drain(self) -> None:
        """Let the last copies and releases leave before the host does."""
        with trio.move_on_after(DRAIN_S):
            while self._errands.statistics().current_buffer_used:
                await trio.sleep(DRAIN_PAUSE_S)

    async def mark_unknown(self, claimed: Claimed) -> None:
        """Note that the request may have run; a repeat never runs it."""
        self._settle(claimed, ClaimState.UNKNOWN, None)

    def _settle(
        self, claimed: Claimed, state: ClaimState, answer: bytes | None
    ) -> ClaimRecord | None:
        return self._own.settle(claimed.record, state, answer, self._clock.now())

    def _give_up(self, record: ClaimRecord, why: Fault | None = None) -> None:
        """Free the key here at once, and in the store behind the caller's back.

        Until the store is written, a repeat that finds the claim asks this host
        and hears that it was released.  A claim that met another one was never
        written.
        """
        self._own.settle(record, ClaimState.RELEASED, None, self._clock.now())
        if why is None or why.code is ResultCode.CLAIM_UNAVAILABLE:
            self._add_errand(_Release(record))

    async def _contend(
        self, record: ClaimRecord, released: set[str]
    ) -> Result[Claimed | Replay, Fault]:
        """Write the claim, or find out about the one that stands in its way.

        ``released`` holds ids of claims that are known never to have run.
        """
        for _ in range(MAX_STEPS):
            match await self._store.slot(record.place):
                case Result(tag="error", error=problem):
                    return Error(_unavailable(problem.detail))
                case Result(tag="ok", ok=slot):
                    rival = self._store.find(slot, record.place)
            if rival is not None and rival.claim_id not in released:
                state = await self._state_of(rival)
                if state is None and self._may_be_heard_of_yet(rival.host_id):
                    detail = "the host that claimed the key is not known here yet"
                    return Error(_unavailable(detail))
                if state is not None and state.claim_id != rival.claim_id:
                    # The host has claimed the key anew: this slot is an old one.
                    self._store.forget(record.place)
                    continue
                if state is None or state.state is not ClaimState.RELEASED:
                    return answer_to_repeat(state or _unknown(rival), record.digest)
                released.add(rival.claim_id)
            lifetime_s = record.expires_at - self._clock.now()
            written = await self._store.write_claim(slot, record, lifetime_s)
            if written.is_ok():
                return Ok(Claimed(record))
            if written.error.code is not ResultCode.PLATFORM_CONFLICT:
                return Error(_unavailable(written.error.detail))
        return Error(_unavailable("others kept changing the same claims"))

    async def _state_of(self, rival: StoredClaim) -> ClaimRecord | None:
        """Return how a claim's run went; None where nobody can say."""
        copy = self._copies.find(rival.place, self._clock.now())
        if copy is not None and copy.claim_id == rival.claim_id:
            return copy
        ask = StateAsk(rival.place, rival.claim_id)
        # A claim of this host that it does not know is from before its restart.
        if rival.host_id != self._settings.host:
            await self._wait_until_heard_of(rival.host_id)
            # One lost question must not turn a kept answer into "unknown", which
            # no later repeat is told to come back for.
            for _ in range(CLAIMANT_TRIES):
                state = await self._ask_state(rival.host_id, ask)
                if state is not None:
                    return state
        for host_id in self._copy_hosts(rival.place):
            copy = await self._ask_state(host_id, ask)
            if copy is not None and copy.claim_id == rival.claim_id:
                return copy
        return None

    def _may_be_heard_of_yet(self, host_id: str) -> bool:
        """Tell whether a host may live although this one does not know it.

        A host that has just started serves before it knows its peers.  Without
        this a repeat there is told for good that nobody knows how its first
        copy went, while the host that keeps the answer runs beside it.
        """
        if self._started_at is None:
            return False
        is_young = self._clock.now() - self._started_at < JOIN_S
        return is_young and all(
            member.id != host_id for member in self._peers.members()
        )

    async def _wait_until_heard_of(self, host_id: str) -> None:
        with trio.move_on_after(JOIN_WAIT_S):
            while self._may_be_heard_of_yet(host_id):
                await trio.sleep(JOIN_POLL_S)

    async def _ask_state(self, host_id: str, ask: StateAsk) -> ClaimRecord | None:
        now = self._clock.now()
        asked = await self._peers.ask(
            host_id, STATE_TOPIC, encode_ask(ask), self._settings.ask_timeout_s
        )
        state = asked.bind(lambda payload: decode_state(payload, now))
        return state.ok if state.is_ok() else None

    def _known(self, ask: StateAsk, now: float) -> ClaimRecord | None:
        """Return the claim asked for; else this host's newer one of the key.

        A released one proves nothing of the claim asked for: this host may have
        lost its memory of that one, and then been refused the key itself.
        """
        own = self._own.find(ask.place, now)
        copy = self._copies.find(ask.place, now)
        for record in (own, copy):
            if record is not None and record.claim_id == ask.claim_id:
                return record
        return own if own is not None and own.state is not ClaimState.RELEASED else None

    async def _answer_state(
        self, member_id: str, payload: bytes
    ) -> Result[bytes, Fault]:
        now = self._clock.now()
        asked = decode_ask(payload)
        return asked.map(lambda ask: encode_state(self._known(ask, now), now))

    async def _take_copy(self, member_id: str, payload: bytes) -> Result[bytes, Fault]:
        now = self._clock.now()
        decoded = decode_record(payload, now)
        if decoded.is_error():
            return Error(decoded.error)
        self._copies.put(decoded.ok, now)
        return Ok(b"")

    def _copy_hosts(self, place: str) -> Sequence[str]:
        """Return the hosts that keep copies for a place, other zones first."""
        zones = {
            member.id: member.zone
            for member in self._peers.members()
            if member.state is not MemberState.DEAD and member.id != self._settings.host
        }
        in_order = ranked(zones, f"claim {place}")
        in_order.sort(key=lambda host_id: zones[host_id] == self._settings.zone)
        return in_order[:ANSWER_COPIES]

    def _add_errand(self, errand: "_Copy | _Release") -> None:
        try:
            self._send_errand.send_nowait(errand)
        except trio.WouldBlock:
            self.dropped_errands += 1

    async def _run_errands(self) -> None:
        async for errand in self._errands.clone():
            match errand:
                case _Copy(host_id, record):
                    payload = encode_record(record, self._clock.now())
                    timeout_s = self._settings.ask_timeout_s
                    await self._peers.ask(host_id, COPY_TOPIC, payload, timeout_s)
                case _Release(record):
                    await self._store.take_back(record)


@dataclass(slots=True, frozen=True)
class _Copy:
    """A finished claim's answer is to be kept at another host as well."""

    host_id: str
    record: ClaimRecord


@dataclass(slots=True, frozen=True)
class _Release:
    """A claim is to be taken out of the store."""

    record: ClaimRecord


def answer_to_repeat(
    earlier: ClaimRecord, digest: str
) -> Result[Claimed | Replay, Fault]:
    """Return what a repeat is told about the copy that holds its key."""
    if earlier.digest != digest:
        detail = "the key was used with another body"
        return Error(fault(ResultCode.IDEMPOTENCY_KEY_REUSED, detail))
    if earlier.answer is not None:
        return Ok(Replay(earlier.answer))
    match earlier.state:
        case ClaimState.CLAIMED:
            detail = "the first copy is still running"
            code = ResultCode.DUPLICATE_IN_FLIGHT
            return Error(fault(code, detail, RETRY_IN_FLIGHT_S))
        case ClaimState.FINISHED:
            detail = "the first copy finished; its answer is no longer kept"
            gone = fault(ResultCode.DUPLICATE_UNKNOWN, detail)
            return Error(replace(gone, proven_outcome=Outcome.FINISHED))
    detail = "the first copy may have run; it is not run again"
    return Error(fault(ResultCode.DUPLICATE_UNKNOWN, detail))


def _unknown(rival: StoredClaim) -> ClaimRecord:
    """Return the record of a claim of which nobody can say how it went."""
    return ClaimRecord(
        rival.place,
        rival.digest,
        rival.claim_id,
        rival.host_id,
        0.0,
        ClaimState.UNKNOWN,
    )


def _unavailable(detail: str) -> Fault:
    """Return a refusal of this copy that says nothing of an earlier one.

    Told "not run", a caller would take its request for one that never ran; an
    earlier copy with the same key may have, where this host can't see it.
    """
    return fault(ResultCode.CLAIM_UNAVAILABLE, detail, RETRY_UNAVAILABLE_S)
