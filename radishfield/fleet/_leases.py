"""Leases, stored in the platform, that give a duty in a zone to a single host.

Hosts' clocks are not compared.  A holder counts its lease from before it sent
the renewal, on a clock that keeps running while the host is suspended.  A
contender takes a lease over only after it has seen the same record for the
lease's duration on its own clock.  So the old holder's lease has ended, by its
own count, before the new one's begins.

Each holder has a higher fencing number than the previous one.  Targets that check
it refuse the old holder's late orders.  For targets that ignore it, the new
holder first waits for the longest timeout of an order that the old one may have
sent.
"""

import random
import uuid
from collections.abc import Callable
from dataclasses import dataclass

import msgspec
import trio
from expression import Error, Ok, Result

from radishfield.core import (
    Clock,
    Fault,
    MemberState,
    PeerPort,
    PlatformPort,
    ResultCode,
    StoredObject,
    fault,
)
from radishfield.fleet._rendezvous import ranked
from radishfield.fleet._settled_write import write_settled
from radishfield.fleet._status import LeaseStatus

LEASE_KIND = "lease"

MAX_CONTENDERS = 2
"""Hosts of a zone that contend for the lease; more would only add platform calls."""

DRIFT_ALLOWANCE = 1.1
"""A contender waits a tenth longer than the lease, to allow for clock drift and for
a record that was read just before a renewal changed it."""

MAX_WRITE_ATTEMPTS = 2
"""A renewal that is not settled after so many attempts is left to the next one."""


@dataclass(slots=True, frozen=True)
class LeaseSettings:
    """The duty, its zone, and the host that contends for it.

    Attributes
    ----------
    duration_s : float
        Duration of the lease; three renewals fit, so that two may be lost.
    longest_order_s : float
        Longest timeout of an order sent under this lease.
    """

    duty: str
    zone: str
    host: str
    duration_s: float = 12.0
    renew_s: float = 3.0
    longest_order_s: float = 5.0


@dataclass(slots=True, frozen=True)
class LeaseRecord:
    """The record that the platform stores; the holder is empty after a release."""

    holder: str
    fencing: int
    duration_s: float
    longest_order_s: float
    change_id: str


@dataclass(slots=True, frozen=True)
class HeldLease:
    """A lease that this host holds, with times on its own clock.

    Attributes
    ----------
    valid_until : float
        Clock reading, counted from before the renewal was sent.
    unfenced_from : float
        Clock reading from which targets that ignore fencing may be sent orders.
    """

    fencing: int
    valid_until: float
    unfenced_from: float


class LeaseKeeper:
    """A service that contends for a lease, and renews it.

    Attributes
    ----------
    acquired, lost : int
        How often this host acquired and lost the lease.
    """

    __slots__ = (
        "_rng",
        "_clock",
        "_held",
        "_in_doubt",
        "_is_draining",
        "_new_change_id",
        "_peers",
        "_platform",
        "_record",
        "_first_seen",
        "_settings",
        "_version",
        "acquired",
        "lost",
    )

    def __init__(
        self,
        settings: LeaseSettings,
        platform: PlatformPort,
        peers: PeerPort,
        clock: Clock,
        new_change_id: Callable[[], str] = lambda: uuid.uuid4().hex,
        rng: random.Random | None = None,
    ):
        self._settings = settings
        self._platform = platform
        self._peers = peers
        self._clock = clock
        self._new_change_id = new_change_id
        self._rng = rng or random.Random()
        self._held: HeldLease | None = None
        self._record: LeaseRecord | None = None
        self._version = 0
        self._in_doubt = False
        self._is_draining = False
        self._first_seen: tuple[int, float] | None = None
        self.acquired = 0
        self.lost = 0

    async def run(self, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED):
        """Contend and renew until cancelled."""
        task_status.started()
        while True:
            if not self._is_draining:
                await self.step()
            await trio.sleep(self._settings.renew_s * self._rng.uniform(0.9, 1.1))

    async def step(self) -> None:
        """Renew the lease if it is held, else contend for it."""
        if self._held is not None:
            await self._renew()
        elif self._is_contender():
            await self._contend()

    async def drain(self) -> None:
        """Release the lease, so that the next holder need not wait for its end."""
        self._is_draining = True
        if self._held is None or self._record is None:
            return
        # The lease is dropped here first: an order sent while the release is in
        # flight would reach targets along with those of the next holder.
        fencing = self._held.fencing
        self._held = None
        await self._write("", fencing, MAX_WRITE_ATTEMPTS)

    def check(self, for_s: float = 0.0) -> Result[HeldLease, Fault]:
        """Return the lease if it is held for at least ``for_s`` seconds from now.

        To be called right before each order is sent: a process that was paused
        after an earlier check resumes with an expired lease.
        """
        held = self._held
        now = self._clock.now()
        if held is None or now + for_s >= held.valid_until:
            detail = f"{self._settings.duty} in {self._settings.zone}"
            return Error(fault(ResultCode.LEASE_NOT_HELD, detail))
        return Ok(held)

    def status(self) -> LeaseStatus:
        """Return the state of the lease known to this host."""
        held = self.check()
        remaining_s = 0.0
        if held.is_ok():
            remaining_s = held.ok.valid_until - self._clock.now()
        return LeaseStatus(
            self._settings.duty,
            self._settings.zone,
            "" if self._record is None else self._record.holder,
            0 if self._record is None else self._record.fencing,
            held.is_ok(),
            remaining_s,
        )

    async def _contend(self) -> None:
        read = await self._platform.read(LEASE_KIND, self._name())
        if read.is_error():
            if read.error.code is ResultCode.OBJECT_NOT_FOUND:
                self._record, self._version = None, 0
                await self._acquire(1, 0.0)
            return
        if not self._load_record(read.ok):
            return
        record, now = self._record, self._clock.now()
        if self._first_seen is None or self._first_seen[0] != self._version:
            self._first_seen = (self._version, now)
        unchanged_s = now - self._first_seen[1]
        is_over = unchanged_s >= record.duration_s * DRIFT_ALLOWANCE
        if record.holder == "" or is_over:
            await self._acquire(record.fencing + 1, record.longest_order_s)

    async def _acquire(self, fencing: int, wait_out_s: float) -> None:
        sent_at = self._clock.now()
        written = await self._write(self._settings.host, fencing, MAX_WRITE_ATTEMPTS)
        # An acquisition without an answer does not count as held.  If it took effect,
        # the record names this host, which waits for the end like any other.
        self._in_doubt = False
        if written.is_error():
            return
        self.acquired += 1
        self._held = HeldLease(
            fencing,
            sent_at + self._settings.duration_s,
            self._clock.now() + wait_out_s,
        )

    async def _renew(self) -> None:
        held = self._held
        if self.check().is_error():
            self._lose()
            return
        if self._in_doubt and not await self._read_own_record():
            return
        sent_at = self._clock.now()
        written = await self._write(
            self._settings.host, held.fencing, MAX_WRITE_ATTEMPTS
        )
        if self._held is not held:
            # Released or lost while the renewal was in flight: its result must
            # not restore the lease at this host.
            return
        if written.is_ok():
            self._in_doubt = False
            self._held = HeldLease(
                held.fencing, sent_at + self._settings.duration_s, held.unfenced_from
            )
            return
        # The held lease stays valid until its end, whatever the answer was,
        # unless another holder has been read back.
        self._in_doubt = True
        if written.error.code is ResultCode.PLATFORM_CONFLICT:
            await self._read_own_record()

    async def _read_own_record(self) -> bool:
        """Read the record; True if it is this host's.  A newer one ends the lease."""
        held = self._held
        read = await self._platform.read(LEASE_KIND, self._name())
        if read.is_error() or not self._load_record(read.ok):
            return False
        if self._held is not held:
            return False
        own = (self._settings.host, held.fencing)
        if (self._record.holder, self._record.fencing) == own:
            self._in_doubt = False
            return True
        if self._record.fencing > held.fencing:
            self._lose()
        return False

    async def _write(
        self, holder: str, fencing: int, max_attempts: int
    ) -> Result[StoredObject, Fault]:
        change_id = self._new_change_id()
        record = LeaseRecord(
            holder,
            fencing,
            self._settings.duration_s,
            self._settings.longest_order_s,
            change_id,
        )
        wanted = StoredObject(
            LEASE_KIND, self._name(), self._version, msgspec.json.encode(record)
        )
        written = await write_settled(
            self._platform,
            wanted,
            lambda value: _contains_change(value, change_id),
            max_attempts,
        )
        if written.is_ok():
            self._record, self._version = record, written.ok.version
        return written

    def _load_record(self, stored: StoredObject) -> bool:
        try:
            self._record = msgspec.json.decode(stored.value, type=LeaseRecord)
        except msgspec.DecodeError:
            return False
        self._version = stored.version
        return True

    def _lose(self) -> None:
        self._held = None
        self._in_doubt = False
        self._first_seen = None
        self.lost += 1

    def _is_contender(self) -> bool:
        live = {
            member.id
            for member in self._peers.members()
            if member.zone == self._settings.zone and member.state is MemberState.LIVE
        }
        live.add(self._settings.host)
        return self._settings.host in ranked(live, self._name())[:MAX_CONTENDERS]

    def _name(self) -> str:
        return f"{self._settings.duty}.{self._settings.zone}"


def _contains_change(value: bytes, change_id: str) -> bool:
    try:
        return msgspec.json.decode(value, type=LeaseRecord).change_id == change_id
    except msgspec.DecodeError:
        return False
