"""Queues of waiting work, and the order in which it is dispatched.

When two workspaces send nine tenths of the load, or one request in twenty is
fifty times longer, a single queue by arrival makes everyone wait behind the
largest sender and the longest work.  Instead:

- Priorities are strict.  Within one priority, short and long work wait in
  separate lanes.  The short lane gets four tokens for each one of the long lane
  while both have work, so that neither starves.
- Within a lane, workspaces share tokens evenly (start-time fair queueing).
  Within a workspace, the earliest deadline goes first.

State is kept for workspaces that have work waiting.  A workspace that became
idle is kept only while its used share is ahead of the others', and at most
`MAX_IDLE_WORKSPACES` of them, so 42,000 idle workspaces cost nothing.
"""

import enum
import heapq
import itertools
from dataclasses import dataclass

from radishfield.core import Priority
from radishfield.decisions._data import Work

LONG_TOKENS = 400.0
"""Expected cost from which work goes to the long lane.  It is several times a
notice or a summary, and well below a full review."""

LANE_WEIGHT = (4.0, 1.0)
"""Relative shares of tokens for the short and the long lane while both have
work.  A fifth keeps long work moving.  Four fifths keep the wait of short work
near what it is without long work."""

MAX_IDLE_WORKSPACES = 4096
"""Maximum number of idle workspaces kept.  Dropping one gives it back at most
one request's worth of share."""


MIN_WITHDRAWN = 256
"""Withdrawn entries that may always stay, so that removing them is rare."""


class Lane(enum.IntEnum):
    """Separate lanes for short and for long work."""

    SHORT = 0
    LONG = 1


@dataclass(slots=True, frozen=True)
class Entry:
    """Waiting work.

    Attributes
    ----------
    cost : float
        Expected tokens.
    latest_start : float
        Clock reading after which it can no longer finish on time.
    """

    work: Work
    cost: float
    latest_start: float
    lane: Lane


def lane_for(cost: float) -> Lane:
    """Return the lane for work of an expected cost."""
    return Lane.LONG if cost >= LONG_TOKENS else Lane.SHORT


class FairQueue:
    """Start-time fair queueing among workspaces, earliest deadline within one."""

    __slots__ = (
        "backlog",
        "_live_ids",
        "_backlog_by_workspace",
        "_entries_by_workspace",
        "_stored",
        "_order",
        "_sequence",
        "_tag_by_workspace",
        "_virtual_time",
    )

    def __init__(self, sequence: itertools.count):
        self.backlog = 0.0
        self._live_ids: set[str] = set()
        self._backlog_by_workspace: dict[str, float] = {}
        self._entries_by_workspace: dict[str, list[tuple[float, int, Entry]]] = {}
        self._stored = 0
        self._order: list[tuple[float, int, str]] = []
        self._sequence = sequence
        self._tag_by_workspace: dict[str, float] = {}
        self._virtual_time = 0.0

    def __len__(self):
        return len(self._live_ids)

    @property
    def workspaces(self) -> int:
        """Return how many workspaces have work waiting."""
        return len(self._backlog_by_workspace)

    def backlog_of(self, workspace: str) -> float:
        """Return the tokens that a workspace has waiting."""
        return self._backlog_by_workspace.get(workspace, 0.0)

    def push(self, entry: Entry) -> None:
        """Add an entry."""
        name = entry.work.workspace
        waiting = self._entries_by_workspace.get(name)
        if waiting is None:
            waiting = self._entries_by_workspace[name] = []
            tag = max(self._virtual_time, self._tag_by_workspace.pop(name, 0.0))
            heapq.heappush(self._order, (tag, next(self._sequence), name))
        heapq.heappush(waiting, (entry.work.deadline, next(self._sequence), entry))
        self._live_ids.add(entry.work.request_id)
        self._stored += 1
        self.backlog += entry.cost
        self._backlog_by_workspace[name] = self.backlog_of(name) + entry.cost

    def peek(self) -> Entry | None:
        """Return the entry that goes next, or None."""
        while self._order:
            tag, _, name = self._order[0]
            waiting = self._entries_by_workspace[name]
            while waiting and waiting[0][2].work.request_id not in self._live_ids:
                heapq.heappop(waiting)
                self._stored -= 1
            if waiting:
                return waiting[0][2]
            heapq.heappop(self._order)
            self._mark_idle(name, tag)
        return None

    def pop(self) -> Entry:
        """Remove and return the entry that `peek` returned."""
        tag, _, name = self._order[0]
        _, _, entry = heapq.heappop(self._entries_by_workspace[name])
        self._stored -= 1
        self._virtual_time = max(self._virtual_time, tag)
        heapq.heapreplace(self._order, (tag + entry.cost, next(self._sequence), name))
        self._subtract(entry)
        return entry

    def discard(self, entry: Entry) -> None:
        """Remove an entry at any position."""
        self._subtract(entry)
        withdrawn = self._stored - len(self._live_ids)
        if withdrawn > MIN_WITHDRAWN and withdrawn > len(self._live_ids):
            self._compact()

    def _compact(self) -> None:
        """Remove all withdrawn entries, once they are the majority."""
        tags = {name: tag for tag, _, name in self._order}
        for name, waiting in list(self._entries_by_workspace.items()):
            waiting[:] = [
                item for item in waiting if item[2].work.request_id in self._live_ids
            ]
            heapq.heapify(waiting)
            if not waiting:
                self._mark_idle(name, tags[name])
        self._order = [i for i in self._order if i[2] in self._entries_by_workspace]
        heapq.heapify(self._order)
        self._stored = len(self._live_ids)

    def _subtract(self, entry: Entry) -> None:
        self._live_ids.discard(entry.work.request_id)
        self.backlog = max(0.0, self.backlog - entry.cost)
        name = entry.work.workspace
        remaining = self._backlog_by_workspace[name] - entry.cost
        if remaining > 1e-6:
            self._backlog_by_workspace[name] = remaining
        else:
            del self._backlog_by_workspace[name]

    def _mark_idle(self, name: str, tag: float) -> None:
        del self._entries_by_workspace[name]
        if tag <= self._virtual_time:
            return
        self._tag_by_workspace[name] = tag
        if len(self._tag_by_workspace) <= MAX_IDLE_WORKSPACES:
            return
        ahead = {
            k: v for k, v in self._tag_by_workspace.items() if v > self._virtual_time
        }
        heaviest = heapq.nlargest(
            MAX_IDLE_WORKSPACES // 2, ahead.items(), key=lambda item: item[1]
        )
        self._tag_by_workspace = dict(heaviest)


class WorkQueue:
    """All waiting work of one model or one kind of service."""

    __slots__ = ("_entries_by_request", "_queues", "_weighted_tokens", "_expiry")

    def __init__(self):
        sequence = itertools.count()
        self._entries_by_request: dict[str, Entry] = {}
        self._queues = [[FairQueue(sequence) for _ in Lane] for _ in Priority]
        self._weighted_tokens = [[0.0 for _ in Lane] for _ in Priority]
        self._expiry: list[tuple[float, str]] = []

    def __len__(self):
        return len(self._entries_by_request)

    def __contains__(self, request_id: str):
        return request_id in self._entries_by_request

    def push(self, entry: Entry) -> None:
        """Add an entry; its request must not be waiting already."""
        self._entries_by_request[entry.work.request_id] = entry
        lanes = self._queues[entry.work.priority]
        if not lanes[entry.lane]:
            # A lane gets no credit for the time in which it was empty.
            served = self._weighted_tokens[entry.work.priority]
            served[entry.lane] = max(served[entry.lane], served[1 - entry.lane])
        lanes[entry.lane].push(entry)
        heapq.heappush(self._expiry, (entry.latest_start, entry.work.request_id))

    def heads(self, priority: Priority) -> list[Entry]:
        """Return the next entry of each lane, starting with the lane that is due."""
        lanes = self._queues[priority]
        served = self._weighted_tokens[priority]
        first = Lane.SHORT if served[Lane.SHORT] <= served[Lane.LONG] else Lane.LONG
        heads = (lanes[first].peek(), lanes[1 - first].peek())
        return [head for head in heads if head is not None]

    def waiting_at(self, priority: Priority) -> int:
        """Return how many entries of a priority wait."""
        short, long = self._queues[priority]
        return len(short) + len(long)

    def pop(self, entry: Entry) -> None:
        """Remove an entry that `heads` returned, to be dispatched."""
        priority, lane = entry.work.priority, entry.lane
        queue = self._queues[priority][lane]
        queue.pop()
        if not len(queue):
            queue.peek()  # Drops the last workspace's state.
        self._weighted_tokens[priority][lane] += entry.cost / LANE_WEIGHT[lane]
        del self._entries_by_request[entry.work.request_id]

    def withdraw(self, request_id: str) -> Entry | None:
        """Remove and return an entry, or None if it is not waiting."""
        entry = self._entries_by_request.pop(request_id, None)
        if entry is not None:
            self._queues[entry.work.priority][entry.lane].discard(entry)
        if len(self._expiry) > MIN_WITHDRAWN + 2 * len(self._entries_by_request):
            self._expiry = [i for i in self._expiry if i[1] in self._entries_by_request]
            heapq.heapify(self._expiry)
        return entry

    def expire(self, now: float) -> list[Entry]:
        """Remove and return entries that can no longer finish on time."""
        expired = []
        while self._expiry and self._expiry[0][0] <= now:
            _, request_id = heapq.heappop(self._expiry)
            entry = self._entries_by_request.get(request_id)
            if entry is not None and entry.latest_start <= now:
                self.withdraw(request_id)
                expired.append(entry)
        return expired

    def next_expiry(self) -> float | None:
        """Return when the next entry expires."""
        while self._expiry and self._expiry[0][1] not in self._entries_by_request:
            heapq.heappop(self._expiry)
        return self._expiry[0][0] if self._expiry else None

    def backlog(self) -> float:
        """Return the tokens of all waiting work."""
        return sum(queue.backlog for lanes in self._queues for queue in lanes)

    def ahead_of(self, work: Work, cost: float, lane: Lane) -> float:
        """Return the tokens that would be dispatched before new work.

        Higher priorities go first.  Within its own priority and lane, the
        workspace waits for its own backlog and as much of each other
        workspace's.  Meanwhile the other lane gets its weighted share.
        """
        higher = sum(
            queue.backlog for lanes in self._queues[: work.priority] for queue in lanes
        )
        own_lane = self._queues[work.priority][lane]
        own = own_lane.backlog_of(work.workspace) + cost
        fair = min(own_lane.backlog, own * max(1, own_lane.workspaces))
        other = self._queues[work.priority][1 - lane]
        other_share = fair * LANE_WEIGHT[1 - lane] / LANE_WEIGHT[lane]
        return higher + fair + min(other.backlog, other_share)

    def over_share(self, work: Work) -> bool:
        """Tell whether a workspace has more waiting than an even share."""
        lanes = self._queues[work.priority]
        own = sum(queue.backlog_of(work.workspace) for queue in lanes)
        total = sum(queue.backlog for queue in lanes)
        workspaces = max(queue.workspaces for queue in lanes)
        return workspaces > 1 and own > total / workspaces
