"""Queue of requests that wait while all paths are full, with early rejection.

When a burst or unreachable targets bring more streams than fit in memory, most of them
come from a few workspaces.  If all waiting requests tried for each freed slot,
admission would be random.  In order of arrival, the largest sender would delay all
others, and urgent work would wait behind the rest.  So the most urgent requests go
first, then those of the workspace with the fewest running requests, then the earliest.
A few requests at the head try at the same time, so that a large request does not keep
smaller ones from a slot that it cannot use.

After a loss of targets more requests wait than can start in time.  In order of arrival,
each would start when it is already late, and nobody would be in time as long as the
overload lasts.  So once some are late, they go behind those that are not, and the
latest arrivals go first.  Late ones that do not reach the head by then are rejected.

Waiting is useful only while the caller stays, and in an overload while the request can
be in time.  One that would not get a slot by then, at the rate of the last seconds, is
rejected at once, with the time after which its turn in the queue would have come.
"""

import math
from collections import Counter, deque

import msgspec

from radishfield.routing._types import MIN_CALLER_TIMEOUT_S

START_SHARE = 0.15
"""Share of the objective that a request needs from its slot to its first event."""

MAX_WAIT_SHARE = 0.6
"""Longest wait, as a share of the caller timeout: the first event of an admitted stream
takes some more of that timeout."""

HEAD_SIZE = 4
"""Requests at the head that may try for a slot: the largest tenth of requests is about
four times as large as a typical one."""

MAX_FORECAST_SHARE = 0.8
"""Share of the maximum wait that a forecast may use.  Under lasting overload the queue
is as long as is allowed.  If forecasts could use the full maximum wait, all requests at
its end would be served just too late and be rejected after a useless wait."""

OVERLOAD_KEPT_S = 0.5
"""Time for which the overload counts as lasting after a request was late.  Without it,
requests that nobody serves would be let in between two late ones."""

INITIAL_STREAM_S = 3.0
"""Assumed length of streams until some have ended."""

MIN_WINDOW_S, MAX_WINDOW_S = 1.0, 10.0
"""Bounds of the window in which freed slots are counted.  The window is the typical
length of a stream, which is learned.  Counts over less than one second or more than ten
do not describe the current rate."""

LENGTH_DECAY = 0.95
"""Weight of the past in the typical length of streams: about the last twenty streams
count."""

MIN_FREED_SLOTS, MIN_COUNTED_S = 4, 0.5
"""Freed slots, and time, below which there is no rate to forecast from."""

MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S = 0.5, 5.0
"""Bounds of the time after which a rejected caller returns.  One that returns sooner
finds the same queue.  Most callers do not wait longer than a third of the time they
have left."""


class QueueEntry(msgspec.Struct, frozen=True):
    """A request in the queue.

    Attributes
    ----------
    number : int
        Increases with each entry, so that earlier ones go first.
    max_wait_s : float
        Longest time that it may wait in the queue.
    late_at : float
        Time from which it can't be in time any more.
    """

    number: int
    priority: int
    workspace: str
    since: float
    max_wait_s: float
    late_at: float = math.inf


class AdmissionQueue(msgspec.Struct):
    """Requests of one service that wait at this host."""

    _entries: dict[int, QueueEntry] = msgspec.field(default_factory=dict)
    _running: Counter[str] = msgspec.field(default_factory=Counter)
    _freed_at: deque[float] = msgspec.field(default_factory=deque)
    _last_number: int = 0
    typical_stream_s: float = INITIAL_STREAM_S
    _last_late_at: float = -math.inf

    def __len__(self) -> int:
        return len(self._entries)

    def join(
        self,
        priority: int,
        workspace: str,
        now: float,
        caller_patience_s: float = MIN_CALLER_TIMEOUT_S,
        due_in_s: float = math.inf,
    ) -> QueueEntry:
        """Add a request to the queue.

        Parameters
        ----------
        due_in_s : float
            Time until its first event would be late.
        """
        self._last_number += 1
        entry = QueueEntry(
            self._last_number,
            priority,
            workspace,
            now,
            MAX_WAIT_SHARE * caller_patience_s,
            now + due_in_s * (1.0 - START_SHARE),
        )
        self._entries[entry.number] = entry
        return entry

    def leave(self, entry: QueueEntry) -> None:
        """Remove a request from the queue, whether it got a slot or not."""
        self._entries.pop(entry.number, None)

    def started(self, workspace: str) -> None:
        """Count a request that got a slot."""
        self._running[workspace] += 1

    def ended(
        self, workspace: str, now: float, duration_s: float | None = None
    ) -> None:
        """Count a freed slot, and learn how long its stream held it."""
        if duration_s is not None:
            before_s = self.typical_stream_s * LENGTH_DECAY
            self.typical_stream_s = before_s + duration_s * (1 - LENGTH_DECAY)
        self._running[workspace] -= 1
        if self._running[workspace] <= 0:
            del self._running[workspace]
        self._freed_at.append(now)
        self._drop_old_freed(now)

    def may_try(self, entry: QueueEntry, now: float) -> bool:
        """Return whether a request is near enough to the head to try for a slot."""
        return self._count_ahead(entry, now) < HEAD_SIZE

    def expected_wait_s(self, entry: QueueEntry, now: float) -> float:
        """Return the time until a slot is free, at the rate of the last seconds."""
        return self._slot_wait_s(self._count_ahead(entry, now), now)

    def _slot_wait_s(self, ahead: int, now: float) -> float:
        """Return the time until a slot is free for a request with some ahead of it."""
        self._drop_old_freed(now)
        if len(self._freed_at) < MIN_FREED_SLOTS:
            return 0.0
        counted_s = max(MIN_COUNTED_S, now - self._freed_at[0])
        return (ahead + 1) * counted_s / len(self._freed_at)

    def expects_timeout(self, entry: QueueEntry, now: float) -> bool:
        """Return whether a new request is expected not to get a slot in time.

        Once some requests are late, "in time" is what its objective leaves.  As many as
        get a slot by then may wait; one more would only take it from one of them.
        """
        if self._is_overloaded(now):
            ahead = sum(
                other.late_at > now
                and other.number < entry.number
                and self._claim(other) <= self._claim(entry)
                for other in self._entries.values()
            )
            longest_s = min(entry.max_wait_s, entry.late_at - now)
            wait_s = self._slot_wait_s(ahead, now)
        else:
            longest_s, wait_s = entry.max_wait_s, self.expected_wait_s(entry, now)
        return wait_s > longest_s * MAX_FORECAST_SHARE

    def has_expired(self, entry: QueueEntry, now: float) -> bool:
        """Return whether a request has reached its maximum wait."""
        return now - entry.since >= entry.max_wait_s

    def is_hopeless(self, entry: QueueEntry, now: float) -> bool:
        """Return whether a request is late and those in time are all before it.

        As long as the overload lasts, newer requests keep it from the head.
        """
        return now >= entry.late_at and not self.may_try(entry, now)

    def return_after_s(self, entry: QueueEntry, now: float) -> float:
        """Return the time after which a rejected caller should retry."""
        wait_s = self.expected_wait_s(entry, now)
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))

    def _count_ahead(self, entry: QueueEntry, now: float) -> int:
        entries = self._entries.values()
        overloaded = self._is_overloaded(now)
        own = self._rank(entry, now, overloaded)
        return sum(self._rank(other, now, overloaded) < own for other in entries)

    def _is_overloaded(self, now: float) -> bool:
        """Return whether some request is late, or was a moment ago."""
        if any(now >= entry.late_at for entry in self._entries.values()):
            self._last_late_at = now
        return now - self._last_late_at < OVERLOAD_KEPT_S

    def _claim(self, entry: QueueEntry) -> tuple[int, int]:
        """Return what orders requests that are equally late, whenever they came."""
        return entry.priority, self._running[entry.workspace]

    def _rank(
        self, entry: QueueEntry, now: float, overloaded: bool
    ) -> tuple[int, bool, int, int]:
        return (
            entry.priority,
            now >= entry.late_at,
            self._running[entry.workspace],
            -entry.number if overloaded else entry.number,
        )

    def _drop_old_freed(self, now: float) -> None:
        window_s = min(MAX_WINDOW_S, max(MIN_WINDOW_S, self.typical_stream_s))
        while self._freed_at and self._freed_at[0] < now - window_s:
            self._freed_at.popleft()
