"""What is told of members, and how often: pure.

Pattern of load: hundreds of members change state at once, when a zone is cut
off or a rollout restarts hosts.  Told in whole to everybody, that would crowd
the heartbeats out.  Each update is therefore told a bounded number of times,
the least told first, and only as many as fit beside a heartbeat.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass

from radishfield.core import MemberState

UPDATE_BYTES = 900
UPDATE_HEAD_BYTES = 40
"""Room for updates in a datagram of 1,400 bytes, and what one takes beside its
texts."""

TELL_FACTOR = 3
"""Times log2 of the size: SWIM's bound, after which nearly all have heard it."""

_RANK = {
    MemberState.LIVE: 0,
    MemberState.SUSPECT: 1,
    MemberState.LEAVING: 2,
    MemberState.DEAD: 3,
}


@dataclass(slots=True, frozen=True)
class Update:
    """What is told of a member; newer by incarnation, refutation, then state."""

    id: str
    zone: str
    address: str
    incarnation: int
    refutation: int = 0
    state: MemberState = MemberState.LIVE
    accuser: str = ""

    @property
    def order(self) -> tuple[int, int, int]:
        """Return what decides which of two updates is the newer one."""
        return self.incarnation, self.refutation, _RANK[self.state]

    @property
    def size(self) -> int:
        """Return about how many bytes it takes in a frame."""
        texts = (self.id, self.zone, self.address, self.accuser)
        return UPDATE_HEAD_BYTES + sum(len(text.encode()) for text in texts)


class UpdateQueue:
    """The updates that are still to be told, with how often they were."""

    __slots__ = ("_times_told_by_id", "_update_by_id")

    def __init__(self):
        self._update_by_id: dict[str, Update] = {}
        self._times_told_by_id: dict[str, int] = {}

    def add(self, update: Update) -> None:
        """Tell an update from the start, in place of an older one."""
        self._update_by_id[update.id] = update
        self._times_told_by_id[update.id] = 0

    def discard(self, member_id: str) -> None:
        """Tell no more of a member."""
        self._update_by_id.pop(member_id, None)
        self._times_told_by_id.pop(member_id, None)

    def take(self, first: Update | None, limit: int, members: int) -> Sequence[Update]:
        """Return the updates for one message, and count them as told.

        Parameters
        ----------
        first : Update or None
            Goes before all others, whether or not it is still to be told.
        members : int
            Size of the fleet, by which updates are told more often.
        """
        waiting = sorted(
            self._update_by_id.values(),
            key=lambda update: self._times_told_by_id[update.id],
        )
        if first is not None:
            waiting = [first] + [item for item in waiting if item.id != first.id]
        chosen = _within_bytes(waiting[:limit])
        for update in chosen:
            self._count(update.id, members)
        return chosen

    def _count(self, member_id: str, members: int) -> None:
        if member_id not in self._times_told_by_id:
            return
        self._times_told_by_id[member_id] += 1
        told_enough = TELL_FACTOR * math.ceil(math.log2(members + 2))
        if self._times_told_by_id[member_id] >= told_enough:
            self.discard(member_id)


def _within_bytes(updates: Sequence[Update]) -> Sequence[Update]:
    """Return as many updates as fit beside a heartbeat.

    Names may be long; a datagram that is too large would not be sent at all,
    and a host with long names would fall silent as soon as it had news.
    """
    left = UPDATE_BYTES
    for number, update in enumerate(updates):
        left -= update.size
        if left < 0:
            return updates[:number]
    return updates
