"""Idempotency claims: a request that must not be repeated runs at most once.

A caller's retry carries the key of the first request and may reach any entry
host.  Before a request is dispatched, its key is claimed by a conditional write
to the platform's store, which accepts only one claim of a key.  Only the
claiming host knows the state of the run, and it keeps the answer; a host that
receives a retry finds the claim and queries that host.  Copies of the answer at
other hosts are a cache and decide nothing.  docs/CLAIMS.md compares alternatives.
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
from radishfield.fleet._claims_slots import StoredClaim, claim_place
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

# Each attempt reads or writes the slot again after another host changed it; more
# than a few mean contention for the key itself.
MAX_CLAIM_ATTEMPTS = 4
CLAIMANT_ATTEMPTS = 2
# A single copy, besides the answer at the host that ran the request, could be
# lost together with its zone.
ANSWER_COPIES = 2
RETRY_AFTER_IN_FLIGHT_S = 1.0
RETRY_AFTER_UNAVAILABLE_S = 2.0
MAX_QUEUED_JOBS = 1_000
JOIN_PERIOD_S = 10.0
"""Hosts that start together discover each other within two or three seconds, also
on busy machines; an older host that does not know a claimant will not discover it."""

MAX_JOIN_WAIT_S = 2.0
"""Less than the timeout of a claim, so that the caller gets the actual reason."""

JOIN_POLL_INTERVAL_S = 0.05
MAX_DRAIN_S = 2.0
DRAIN_POLL_INTERVAL_S = 0.02
JOB_WORKERS = 4


@dataclass(slots=True, frozen=True)
class ClaimSettings:
    """The host that claims, with its timeouts and limits.

    Attributes
    ----------
    claim_timeout_s : float
        Seconds after which a claim that the platform does not settle is refused.
    ask_timeout_s : float
        Seconds for a query to another host: many round trips between zones.
    """

    host: str
    zone: str
    claim_timeout_s: float = 3.0
    ask_timeout_s: float = 0.5
    max_kept: int = 10_000


@dataclass(slots=True, frozen=True)
class Claimed:
    """A granted claim; its holder settles it once the run has ended."""

    record: ClaimRecord


@dataclass(slots=True, frozen=True)
class Replay:
    """The complete answer of the first run."""

    answer: bytes


class Claims:
    """A service that claims keys, and answers queries about this host's claims.

    Attributes
    ----------
    dropped_jobs : int
        Copies and releases that were not sent because the queue was full.
    """

    __slots__ = (
        "_store",
        "_peers",
        "_clock",
        "_settings",
        "_own",
        "_copies",
        "_job_sender",
        "_job_receiver",
        "_started_at",
        "dropped_jobs",
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
        self._job_sender, self._job_receiver = trio.open_memory_channel(MAX_QUEUED_JOBS)
        self._started_at: float | None = None
        self.dropped_jobs = 0
        peers.answer(STATE_TOPIC, self._answer_state_query)
        peers.answer(COPY_TOPIC, self._store_copy)

    async def run(self, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED):
        """Send copies of answers and remove released claims, until cancelled."""
        self._started_at = self._clock.now()
        async with trio.open_nursery() as nursery:
            for _ in range(JOB_WORKERS):
                nursery.start_soon(self._run_jobs)
            task_status.started()

    async def claim(
        self, workspace: str, key: str, digest: str, request_id: str, expires_at: float
    ) -> Result[Claimed | Replay, Fault]:
        """Claim a key until ``expires_at``, or return the result of its first request.

        ``CLAIM_UNAVAILABLE`` means that this request did not run, but another
        with the same key may have: its outcome is unknown.
        """
        now = self._clock.now()
        place = claim_place(workspace, key)
        held = self._own.find(place, now)
        if held is not None and held.state is not ClaimState.RELEASED:
            return answer_to_retry(held, digest)
        claim_id = f"{request_id}.{uuid.uuid4().hex}"
        record = ClaimRecord(place, digest, claim_id, self._settings.host, expires_at)
        # Recorded before the platform is written: a host that finds the claim
        # there must be able to query its state here.
        if not self._own.put(record, now):
            return Error(_unavailable("this host holds the maximum number of claims"))
        released = {held.claim_id} if held is not None else set()
        granted: Result[Claimed | Replay, Fault] = Error(
            _unavailable("the platform did not answer in time")
        )
        try:
            with trio.move_on_after(self._settings.claim_timeout_s):
                granted = await self._write_or_find_claim(record, released)
        finally:
            if granted.is_error():
                self._release_claim(record, granted.error)
            elif isinstance(granted.ok, Replay):
                self._own.settle(record, ClaimState.RELEASED, None, now)
        return granted

    async def finish(self, claimed: Claimed, answer: bytes | None) -> None:
        """Record that the run succeeded, and copy its answer to other hosts."""
        settled = self._settle(claimed, ClaimState.FINISHED, answer)
        if settled is not None and settled.answer is not None:
            for host_id in self._copy_hosts(settled.place):
                self._queue_job(_CopyJob(host_id, settled))

    async def release(self, claimed: Claimed) -> None:
        """Record that nothing ran: the key may be claimed again."""
        self._release_claim(claimed.record)

    async def drain(self) -> None:
        """Wait until queued copies and releases are taken up, before the host stops."""
        with trio.move_on_after(MAX_DRAIN_S):
            while self._job_receiver.statistics().current_buffer_used:
                await trio.sleep(DRAIN_POLL_INTERVAL_S)

    async def mark_unknown(self, claimed: Claimed) -> None:
        """Record that the request may have run; a retry never runs it."""
        self._settle(claimed, ClaimState.UNKNOWN, None)

    def _settle(
        self, claimed: Claimed, state: ClaimState, answer: bytes | None
    ) -> ClaimRecord | None:
        return self._own.settle(claimed.record, state, answer, self._clock.now())

    def _release_claim(self, record: ClaimRecord, reason: Fault | None = None) -> None:
        """Free the key here at once, and in the store in the background.

        Until the store is written, a host that finds the claim for a retry
        queries this host and learns that it was released.  A claim that was
        refused because of another one was never written.
        """
        self._own.settle(record, ClaimState.RELEASED, None, self._clock.now())
        if reason is None or reason.code is ResultCode.CLAIM_UNAVAILABLE:
            self._queue_job(_ReleaseJob(record))

    async def _write_or_find_claim(
        self, record: ClaimRecord, released: set[str]
    ) -> Result[Claimed | Replay, Fault]:
        """Write the claim, or return the result of an existing claim of the key.

        ``released`` holds ids of claims that are known never to have run.
        """
        for _ in range(MAX_CLAIM_ATTEMPTS):
            match await self._store.load_slot(record.place):
                case Result(tag="error", error=problem):
                    return Error(_unavailable(problem.detail))
                case Result(tag="ok", ok=slot):
                    existing = self._store.find(slot, record.place)
            if existing is not None and existing.claim_id not in released:
                state = await self._state_of(existing)
                if state is None and self._may_be_undiscovered(existing.host_id):
                    detail = "the host that claimed the key is not discovered yet"
                    return Error(_unavailable(detail))
                if state is not None and state.claim_id != existing.claim_id:
                    # The host has claimed the key again since: the slot is out of date.
                    self._store.invalidate(record.place)
                    continue
                if state is None or state.state is not ClaimState.RELEASED:
                    return answer_to_retry(state or _unknown(existing), record.digest)
                released.add(existing.claim_id)
            lifetime_s = record.expires_at - self._clock.now()
            written = await self._store.write_claim(slot, record, lifetime_s)
            if written.is_ok():
                return Ok(Claimed(record))
            if written.error.code is not ResultCode.PLATFORM_CONFLICT:
                return Error(_unavailable(written.error.detail))
        return Error(_unavailable("other hosts kept changing the same claims"))

    async def _state_of(self, existing: StoredClaim) -> ClaimRecord | None:
        """Return the state of a claim's run; None if no host can report it."""
        copy = self._copies.find(existing.place, self._clock.now())
        if copy is not None and copy.claim_id == existing.claim_id:
            return copy
        ask = StateAsk(existing.place, existing.claim_id)
        # A claim of this host that it has no record of is from before its restart.
        if existing.host_id != self._settings.host:
            await self._wait_for_discovery(existing.host_id)
            # One lost query must not turn a kept answer into "unknown", a refusal
            # without a retry time.
            for _ in range(CLAIMANT_ATTEMPTS):
                state = await self._query_state(existing.host_id, ask)
                if state is not None:
                    return state
        for host_id in self._copy_hosts(existing.place):
            copy = await self._query_state(host_id, ask)
            if copy is not None and copy.claim_id == existing.claim_id:
                return copy
        return None

    def _may_be_undiscovered(self, host_id: str) -> bool:
        """Return whether a host may be alive although this one does not know it.

        A host that has just started serves before it knows its peers.  Without
        this check a retry there gets the final refusal "unknown", while the host
        that keeps the answer is running.
        """
        if self._started_at is None:
            return False
        is_young = self._clock.now() - self._started_at < JOIN_PERIOD_S
        return is_young and all(
            member.id != host_id for member in self._peers.members()
        )

    async def _wait_for_discovery(self, host_id: str) -> None:
        with trio.move_on_after(MAX_JOIN_WAIT_S):
            while self._may_be_undiscovered(host_id):
                await trio.sleep(JOIN_POLL_INTERVAL_S)

    async def _query_state(self, host_id: str, ask: StateAsk) -> ClaimRecord | None:
        now = self._clock.now()
        answer = await self._peers.ask(
            host_id, STATE_TOPIC, encode_ask(ask), self._settings.ask_timeout_s
        )
        state = answer.bind(lambda payload: decode_state(payload, now))
        return state.ok if state.is_ok() else None

    def _find_record(self, ask: StateAsk, now: float) -> ClaimRecord | None:
        """Return the queried claim, or else this host's newer one of the key.

        A released newer one proves nothing about the queried claim: this host may
        have lost its record of that one, and then been refused the key itself.
        """
        own = self._own.find(ask.place, now)
        copy = self._copies.find(ask.place, now)
        for record in (own, copy):
            if record is not None and record.claim_id == ask.claim_id:
                return record
        return own if own is not None and own.state is not ClaimState.RELEASED else None

    async def _answer_state_query(
        self, member_id: str, payload: bytes
    ) -> Result[bytes, Fault]:
        now = self._clock.now()
        decoded = decode_ask(payload)
        return decoded.map(lambda ask: encode_state(self._find_record(ask, now), now))

    async def _store_copy(self, member_id: str, payload: bytes) -> Result[bytes, Fault]:
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

    def _queue_job(self, job: "_CopyJob | _ReleaseJob") -> None:
        try:
            self._job_sender.send_nowait(job)
        except trio.WouldBlock:
            self.dropped_jobs += 1

    async def _run_jobs(self) -> None:
        async for job in self._job_receiver.clone():
            match job:
                case _CopyJob(host_id, record):
                    payload = encode_record(record, self._clock.now())
                    timeout_s = self._settings.ask_timeout_s
                    await self._peers.ask(host_id, COPY_TOPIC, payload, timeout_s)
                case _ReleaseJob(record):
                    await self._store.remove_claim(record)


@dataclass(slots=True, frozen=True)
class _CopyJob:
    """Stores a finished claim's answer at another host as well."""

    host_id: str
    record: ClaimRecord


@dataclass(slots=True, frozen=True)
class _ReleaseJob:
    """Removes a claim from the store."""

    record: ClaimRecord


def answer_to_retry(
    earlier: ClaimRecord, digest: str
) -> Result[Claimed | Replay, Fault]:
    """Return the result of a retry whose key an earlier request has claimed."""
    if earlier.digest != digest:
        detail = "the key was used with a different body"
        return Error(fault(ResultCode.IDEMPOTENCY_KEY_REUSED, detail))
    if earlier.answer is not None:
        return Ok(Replay(earlier.answer))
    match earlier.state:
        case ClaimState.CLAIMED:
            detail = "the first request is still running"
            code = ResultCode.DUPLICATE_IN_FLIGHT
            return Error(fault(code, detail, RETRY_AFTER_IN_FLIGHT_S))
        case ClaimState.FINISHED:
            detail = "the first request finished; its answer is no longer stored"
            refusal = fault(ResultCode.DUPLICATE_UNKNOWN, detail)
            return Error(replace(refusal, proven_outcome=Outcome.FINISHED))
    detail = "the first request may have run; it is not run again"
    return Error(fault(ResultCode.DUPLICATE_UNKNOWN, detail))


def _unknown(existing: StoredClaim) -> ClaimRecord:
    """Return the record of a claim whose state no host can report."""
    return ClaimRecord(
        existing.place,
        existing.digest,
        existing.claim_id,
        existing.host_id,
        0.0,
        ClaimState.UNKNOWN,
    )


def _unavailable(detail: str) -> Fault:
    """Return a refusal of this request that says nothing about an earlier one.

    On "not run" a caller would conclude that its request never ran; an earlier
    one with the same key may have, where this host can't see it.
    """
    return fault(ResultCode.CLAIM_UNAVAILABLE, detail, RETRY_AFTER_UNAVAILABLE_S)
