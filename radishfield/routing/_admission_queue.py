"""Who goes next when all paths are full, and who is turned away at once.

Load pattern: a burst, or the loss of targets, brings more streams than there is
memory for, most of them from a few workspaces.  If all that wait try at each place
that is freed, luck decides; by arrival alone the largest sender delays all others,
and urgent work waits behind the rest.  Here the most urgent go first; among equals
the workspace that holds the least; then who came first.  A few at the head try at
the same time, so that one large request does not keep small ones from a place that
it cannot use.

Waiting is worth something only while the caller stays.  A request that by the pace
of the last seconds would not get a place in time is told so at once, with the time
after which its place in the line would have come.
"""

from collections import Counter, deque

import msgspec

from radishfield.routing._types import LEAST_CALLER_PATIENCE_S

PATIENCE_SHARE = 0.6
"""Part of the callers' patience that is the longest wait: the first event of a stream
that got a place takes some more of it."""

HEAD = 4
"""Requests at the head that may try: the largest tenth of requests is some four
times as large as the usual one."""

HOPE = 0.8
"""Part of the patience that a forecast may take up.  Under lasting overload the line
is as long as is allowed; at the whole patience those at its end are served just too
late, all of them, and turned away after a wait in vain."""

FIRST_USUAL_STREAM_S = 3.0
"""Length that streams are taken to have until some have ended."""

SHORTEST_WINDOW_S, LONGEST_WINDOW_S = 1.0, 10.0
"""Freed places are counted over a usual stream's length, which is learnt; over less
than a second or more than ten they say nothing of now."""

LENGTH_MEMORY = 0.95
"""Weight of the past in the usual length of streams: the last twenty count."""

LEAST_FREED, LEAST_COUNTED_S = 4, 0.5
"""Freed places, and time, below which there is no pace to forecast by."""

SHORTEST_RETURN_S, LONGEST_RETURN_S = 0.5, 5.0
"""A caller that returns sooner meets the same line; later than a third of what it
has left, most callers do not wait."""


class QueueEntry(msgspec.Struct, frozen=True):
    """A request in line.

    Attributes
    ----------
    number : int
        Rises with each entry, so that earlier ones go first.
    patience_s : float
        Longest time that it may stand in line.
    """

    number: int
    priority: int
    workspace: str
    since: float
    patience_s: float


class AdmissionQueue(msgspec.Struct):
    """The requests of one service that wait at this host."""

    _entries: dict[int, QueueEntry] = msgspec.field(default_factory=dict)
    _running: Counter[str] = msgspec.field(default_factory=Counter)
    _freed: deque[float] = msgspec.field(default_factory=deque)
    _numbers: int = 0
    usual_stream_s: float = FIRST_USUAL_STREAM_S

    def __len__(self) -> int:
        return len(self._entries)

    def join(
        self,
        priority: int,
        workspace: str,
        now: float,
        caller_patience_s: float = LEAST_CALLER_PATIENCE_S,
    ) -> QueueEntry:
        """Stand in line."""
        self._numbers += 1
        patience_s = PATIENCE_SHARE * caller_patience_s
        entry = QueueEntry(self._numbers, priority, workspace, now, patience_s)
        self._entries[entry.number] = entry
        return entry

    def leave(self, entry: QueueEntry) -> None:
        """Step out of the line, with a place or without."""
        self._entries.pop(entry.number, None)

    def started(self, workspace: str) -> None:
        """Count a request that got a place."""
        self._running[workspace] += 1

    def ended(self, workspace: str, now: float, lasted_s: float | None = None) -> None:
        """Count a place that was freed, and how long its stream had it."""
        if lasted_s is not None:
            before_s = self.usual_stream_s * LENGTH_MEMORY
            self.usual_stream_s = before_s + lasted_s * (1 - LENGTH_MEMORY)
        self._running[workspace] -= 1
        if self._running[workspace] <= 0:
            del self._running[workspace]
        self._freed.append(now)
        self._forget(now)

    def may_try(self, entry: QueueEntry) -> bool:
        """Return whether a request is near enough to the head to try."""
        return self._ahead(entry) < HEAD

    def expected_wait_s(self, entry: QueueEntry, now: float) -> float:
        """Return the time until a place comes, by the pace of the last seconds."""
        self._forget(now)
        if len(self._freed) < LEAST_FREED:
            return 0.0
        counted_s = max(LEAST_COUNTED_S, now - self._freed[0])
        return (self._ahead(entry) + 1) * counted_s / len(self._freed)

    def is_hopeless(self, entry: QueueEntry, now: float) -> bool:
        """Return whether a request that just came would wait in vain."""
        return self.expected_wait_s(entry, now) > entry.patience_s * HOPE

    def has_expired(self, entry: QueueEntry, now: float) -> bool:
        """Return whether a request has waited for as long as it may."""
        return now - entry.since >= entry.patience_s

    def return_after_s(self, entry: QueueEntry, now: float) -> float:
        """Return when a caller that is turned away should come back."""
        wait_s = self.expected_wait_s(entry, now)
        return min(LONGEST_RETURN_S, max(SHORTEST_RETURN_S, wait_s))

    def _ahead(self, entry: QueueEntry) -> int:
        own = self._rank(entry)
        return sum(self._rank(other) < own for other in self._entries.values())

    def _rank(self, entry: QueueEntry) -> tuple[int, int, int]:
        return (entry.priority, self._running[entry.workspace], entry.number)

    def _forget(self, now: float) -> None:
        window_s = min(LONGEST_WINDOW_S, max(SHORTEST_WINDOW_S, self.usual_stream_s))
        while self._freed and self._freed[0] < now - window_s:
            self._freed.popleft()
