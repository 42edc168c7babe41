"""Bounds what the bytes of all callers take in a process, over all connections.

Each connection has a holding, which is charged for what it takes at each moment: the
connection itself, the head of a request, and its body from the moment at which it is
admitted until its call has ended.  An announced body is charged as a whole before any
of it is read, so that what has been admitted can be finished.

When the room is used up, whoever makes the least progress gives way: a caller that
stops short of a body's end holds nothing against one that goes on.  Large bodies may
use a part of the room only, and give way to small ones, so that they never keep
ordinary callers out.
"""

import enum
import math
from typing import Protocol

import msgspec

CONNECTION_BYTES = 56 << 10
"""Memory of one connection: its tasks and protocol state, a read that waits for its
turn, and some of what the kernel holds unread; few connections have more there."""
CALL_BYTES = 32 << 10
"""What the kernel may hold unread of a target's answer, whose caller reads slowly."""
TLS_BYTES = 32 << 10
"""What TLS takes of a connection: its state, and bytes that it has not decrypted."""
HANDSHAKE_BYTES = 256 << 10
"""What TLS takes beside that until both ends have agreed on it."""
HEAD_FACTOR = 2
"""A head is held as it came and as the fields that were read from it."""
BODY_FACTOR = 1.125
"""A buffer that grows is longer than what it holds."""
BODY_RECEIVE_BYTES = 64 << 10
"""What the kernel may hold unread while a larger body is read, so that a caller far
away does not wait for each piece of it."""
SMALL_BODY_BYTES = 16 << 10
"""Bodies up to this size may use the whole room."""
LARGE_BODIES_SHARE = 0.75
"""Share of the room that larger bodies may use together."""
KEPT_SHARE = 0.1
"""Share of the room that larger bodies, and answers that are held, leave to connections
and small bodies."""
PROGRESS_GRACE_S = 1.0
"""Time after which a body may have to give way to another one."""
UNREAD_GRACE_S = 2.0
"""Time after which a caller that does not read its answer may have to give way."""
MIN_AGE_S = 0.001
"""Shortest time over which progress is counted."""
PROCESS_BYTES = 72 << 20
"""What the process takes without any callers, with what its allocator can't reuse."""
TLS_PROCESS_BYTES = 24 << 20
"""What closed connections with TLS take until the garbage collector finds them."""
PROCESS_SHARE = 0.25
"""The same of a host with much memory, where the process knows more targets."""
ROOM_SHARE = 0.75
"""Share of the rest that is given out; answers and copies take from what is left."""
MIN_ROOM_BYTES = 8 << 20
KEPT_FILES = 264
"""Descriptors that are kept for files, the store, peers and listeners."""
KEPT_FILES_SHARE = 0.25
FILES_PER_CONNECTION = 3
"""A caller's connection, and those to the targets to which its request is sent."""
MIN_CONNECTIONS = 16


def is_small(size: int | None) -> bool:
    """Return whether a body is small; the size of one in chunks is not known."""
    return size is not None and size <= SMALL_BODY_BYTES


class Phase(enum.Enum):
    """What a connection does."""

    IDLE = enum.auto()
    HEAD = enum.auto()
    BODY = enum.auto()
    CALL = enum.auto()
    CLOSING = enum.auto()


class AccountLimits(msgspec.Struct, frozen=True):
    """What all callers may take together.

    Attributes
    ----------
    room_bytes : int
        Memory for connections, heads and bodies.
    max_connections : int
        Connections that are open at a time.
    """

    room_bytes: int
    max_connections: int

    @classmethod
    def from_resources(
        cls, memory_bytes: int, open_files: int, with_tls: bool = False
    ) -> "AccountLimits":
        """Return what callers may take of a process's memory and descriptors."""
        process_bytes = PROCESS_BYTES + (TLS_PROCESS_BYTES if with_tls else 0)
        spare = memory_bytes - max(process_bytes, memory_bytes * PROCESS_SHARE)
        kept = min(KEPT_FILES, int(open_files * KEPT_FILES_SHARE))
        return cls(
            max(MIN_ROOM_BYTES, int(spare * ROOM_SHARE)),
            max(MIN_CONNECTIONS, (open_files - kept) // FILES_PER_CONNECTION),
        )


class Owner(Protocol):
    """The connection to which a holding belongs."""

    def cut(self) -> None:
        """Close the connection now, without an answer."""

    def refuse_body(self) -> None:
        """Stop reading a body, and refuse its request."""


class Holding:
    """What one connection takes.

    Attributes
    ----------
    body_bytes : int
        Memory that the body is admitted for; 0 before a body is admitted.
    answer_bytes : int
        Memory that is held for answers to the current request.
    received : int
        Bytes of the current head or body that have been read.
    since : float
        Reading of the clock at which the current phase began.
    sends_since : float or None
        When the send began that the caller has not read yet.
    """

    __slots__ = (
        "answer_bytes",
        "body_bytes",
        "charge",
        "owner",
        "phase",
        "received",
        "sends_since",
        "since",
    )

    def __init__(self, owner: Owner, charge: int, now: float):
        self.answer_bytes = 0
        self.body_bytes = 0
        self.charge = charge
        self.owner = owner
        self.phase = Phase.IDLE
        self.received = 0
        self.sends_since: float | None = None
        self.since = now

    @property
    def receive_bytes(self) -> int:
        """Return what the kernel may hold unread for the body; 0 if it is small."""
        is_large = self.body_bytes > int(SMALL_BODY_BYTES * BODY_FACTOR)
        return BODY_RECEIVE_BYTES if is_large else 0

    def progress(self, now: float) -> float:
        """Return the bytes a second that were read in the current phase."""
        return self.received / max(now - self.since, MIN_AGE_S)


class CallerAccount:
    """The account of one listener.

    Parameters
    ----------
    with_tls : bool
        Its connections have TLS.

    Attributes
    ----------
    used_bytes, large_bytes : int
        What all holdings take, and what those with larger bodies take for them.
    given_way, refused : int
        Holdings that had to give way, and bodies that were refused.
    """

    __slots__ = (
        "_connection_bytes",
        "_holdings",
        "_opening_bytes",
        "given_way",
        "large_bytes",
        "limits",
        "refused",
        "used_bytes",
    )

    def __init__(self, limits: AccountLimits, with_tls: bool = False):
        self._connection_bytes = CONNECTION_BYTES + (TLS_BYTES if with_tls else 0)
        self._opening_bytes = self._connection_bytes
        if with_tls:
            self._opening_bytes += HANDSHAKE_BYTES
        self._holdings: dict[Holding, None] = {}
        self.limits = limits
        self.used_bytes = 0
        self.large_bytes = 0
        self.given_way = 0
        self.refused = 0

    @property
    def connections(self) -> int:
        """Return the number of open connections."""
        return len(self._holdings)

    def open(self, owner: Owner, now: float) -> Holding | None:
        """Return the holding of a new connection; None if nobody can give way to it."""
        full = self.connections >= self.limits.max_connections
        used_bytes = self.used_bytes + self._opening_bytes
        if full or used_bytes > self.limits.room_bytes:
            victim = self._most_dispensable(now)
            if victim is None:
                self.refused += 1
                return None
            self._cut(victim)
        holding = Holding(owner, self._opening_bytes, now)
        self._holdings[holding] = None
        self.used_bytes += holding.charge
        return holding

    def close(self, holding: Holding) -> None:
        """Free all that a holding takes."""
        if holding in self._holdings:
            self._free_body(holding)
            del self._holdings[holding]
            self.used_bytes -= holding.charge

    def begin(self, holding: Holding, phase: Phase, now: float) -> None:
        """Note that a connection begins another phase."""
        if holding.phase is Phase.CLOSING:
            return
        if phase is Phase.IDLE:
            self._free_body(holding)
            self._charge(holding, self._connection_bytes)
            holding.answer_bytes = 0
        elif phase is Phase.CALL:
            self._charge(holding, holding.charge + CALL_BYTES)
        holding.phase = phase
        holding.received = 0
        holding.since = now
        if holding in self._holdings:
            # The order is that of the latest beginnings.
            self._holdings[holding] = self._holdings.pop(holding)

    def end_request(self, holding: Holding) -> None:
        """Note that a request was answered, and that its connection closes."""
        self._free_body(holding)
        holding.phase = Phase.CLOSING

    def note_head(self, holding: Holding, size: int) -> None:
        """Charge a holding for bytes of a head."""
        holding.received += size
        self._charge(holding, holding.charge + HEAD_FACTOR * size)

    def admit(self, holding: Holding, size: int, now: float) -> bool:
        """Return whether there is room for a body, or for more of one.

        Parameters
        ----------
        size : int
            Bytes of the body as far as they are known, those read before included.
        """
        charge = int(size * BODY_FACTOR)
        large = size > SMALL_BODY_BYTES
        if large:
            charge += BODY_RECEIVE_BYTES
        while not self._fits(holding, charge, large):
            if not self._make_room(holding, large, now):
                # What was read of it is dropped at once, and makes room for others.
                self._free_body(holding)
                self.refused += 1
                return False
        self._free_body(holding)
        self._charge(holding, holding.charge + charge)
        holding.body_bytes = charge
        if large:
            self.large_bytes += charge
        return True

    def hold_answer(self, holding: Holding, added: int, now: float) -> bool:
        """Return whether there is room for more of an answer.

        Answers that their callers don't read give way to it.
        """
        while self.used_bytes + added > self._shared_bytes:
            victim = self._least_read(now)
            if victim is None or victim is holding:
                self.refused += 1
                return False
            self._cut(victim)
        holding.answer_bytes += added
        self._charge(holding, holding.charge + added)
        return True

    def _fits(self, holding: Holding, charge: int, large: bool) -> bool:
        room = self.limits.room_bytes
        used_bytes = self.used_bytes + charge - holding.body_bytes
        others = self.large_bytes - self._large_part(holding)
        if not large or not others:
            # A body that is alone may use what is free, however large it is.
            return used_bytes <= room
        fits_share = others + charge <= room * LARGE_BODIES_SHARE
        return fits_share and used_bytes <= self._shared_bytes

    @property
    def _shared_bytes(self) -> float:
        """Return the room beyond which large bodies and answers are not held."""
        return self.limits.room_bytes * (1.0 - KEPT_SHARE)

    def _make_room(self, newcomer: Holding, large: bool, now: float) -> bool:
        """Let another connection give way to a body; return whether one did.

        A larger body that has just begun, and a connection without a call, give way to
        a small body only.  A small body gives way to none.
        """
        body = self._slowest(now, PROGRESS_GRACE_S, math.inf, newcomer)
        if body is None and not large:
            body = self._slowest(now, 0.0, math.inf, newcomer)
        if body is not None:
            self.given_way += 1
            self.end_request(body)
            body.owner.refuse_body()
            return True
        unused = None if large else self._least_used(now)
        if unused is None or unused is newcomer:
            return False
        self._cut(unused)
        return True

    def _cut(self, victim: Holding) -> None:
        self.given_way += 1
        self.close(victim)
        victim.owner.cut()

    def _free_body(self, holding: Holding) -> None:
        self.large_bytes -= self._large_part(holding)
        self._charge(holding, holding.charge - holding.body_bytes)
        holding.body_bytes = 0

    def _large_part(self, holding: Holding) -> int:
        is_large = holding.body_bytes > int(SMALL_BODY_BYTES * BODY_FACTOR)
        return holding.body_bytes if is_large else 0

    def _charge(self, holding: Holding, charge: int) -> None:
        if holding in self._holdings:
            self.used_bytes += charge - holding.charge
        holding.charge = charge

    def _most_dispensable(self, now: float) -> Holding | None:
        """Return what is closed for a new connection.

        A connection with a call is not, unless its caller does not read the answer.
        A caller that has just connected, or sends a small body, is given the time to
        do so as long as others can give way.
        """
        return (
            self._least_used(now)
            or self._slowest(now, 0.0, PROGRESS_GRACE_S)
            or self._least_read(now)
            or self._oldest(now, 0.0, Phase.IDLE, Phase.HEAD)
        )

    def _least_used(self, now: float) -> Holding | None:
        """Return a connection that was answered, or has not sent a request in time."""
        return self._oldest(now, 0.0, Phase.CLOSING) or self._oldest(
            now, PROGRESS_GRACE_S, Phase.IDLE, Phase.HEAD
        )

    def _oldest(self, now: float, min_age_s: float, *phases: Phase) -> Holding | None:
        """Return the holding that has been in one of the phases for longest."""
        for holding in self._holdings:
            if holding.phase in phases:
                return holding if now - holding.since >= min_age_s else None
        return None

    def _least_read(self, now: float) -> Holding | None:
        """Return the holding whose caller has not read its answer for longest."""
        unread = [
            holding
            for holding in self._holdings
            if holding.sends_since is not None
            and now - holding.sends_since >= UNREAD_GRACE_S
        ]
        return min(unread, key=lambda holding: holding.sends_since, default=None)

    def _slowest(
        self,
        now: float,
        large_age_s: float,
        small_age_s: float,
        newcomer: Holding | None = None,
    ) -> Holding | None:
        """Return the holding whose unfinished body makes the least progress.

        Large bodies and others must have been read for the times named.
        """
        bodies = [
            holding
            for holding in self._holdings
            if holding.phase is Phase.BODY
            and holding is not newcomer
            and now - holding.since
            >= (large_age_s if self._large_part(holding) else small_age_s)
        ]
        return min(bodies, key=lambda holding: holding.progress(now), default=None)
