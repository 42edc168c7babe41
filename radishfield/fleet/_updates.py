"""Updates about members, and how often each is sent: pure.

Hundreds of members change state at once when a zone is disconnected or a rollout
restarts hosts.  Sending all of it to every host would crowd out the heartbeats.
Each update is therefore sent a bounded number of times, the least often sent
first, and only as many as fit beside a heartbeat.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass

from radishfield.core import MemberState

MAX_UPDATES_BYTES = 900
UPDATE_OVERHEAD_BYTES = 40
"""Space for updates in a datagram of 1,400 bytes, and bytes of an update besides
its texts."""

RETRANSMIT_FACTOR = 3
"""Times log2 of the fleet size: SWIM's bound, by which nearly all have received it."""

_RANK = {
    MemberState.LIVE: 0,
    MemberState.SUSPECT: 1,
    MemberState.LEAVING: 2,
    MemberState.DEAD: 3,
}


@dataclass(slots=True, frozen=True)
class Update:
    """State of a member; newer by incarnation, refutation, then state."""

    id: str
    zone: str
    address: str
    incarnation: int
    refutation: int = 0
    state: MemberState = MemberState.LIVE
    accuser: str = ""

    @property
    def order(self) -> tuple[int, int, int]:
        """Return the key that decides which of two updates is newer."""
        return self.incarnation, self.refutation, _RANK[self.state]

    @property
    def size(self) -> int:
        """Return the approximate number of bytes in a frame."""
        texts = (self.id, self.zone, self.address, self.accuser)
        return UPDATE_OVERHEAD_BYTES + sum(len(text.encode()) for text in texts)


class UpdateQueue:
    """The updates that are still to be sent, and how often each has been sent."""

    __slots__ = ("_send_count_by_id", "_update_by_id")

    def __init__(self):
        self._update_by_id: dict[str, Update] = {}
        self._send_count_by_id: dict[str, int] = {}

    def add(self, update: Update) -> None:
        """Queue an update as not yet sent, in place of an older one."""
        self._update_by_id[update.id] = update
        self._send_count_by_id[update.id] = 0

    def discard(self, member_id: str) -> None:
        """Stop sending the update of a member."""
        self._update_by_id.pop(member_id, None)
        self._send_count_by_id.pop(member_id, None)

    def take(self, first: Update | None, limit: int, members: int) -> Sequence[Update]:
        """Return the updates for one message, and count them as sent.

        Parameters
        ----------
        first : Update or None
            Goes before all others, whether or not it is still to be sent.
        members : int
            Size of the fleet; the larger it is, the more often updates are sent.
        """
        pending = sorted(
            self._update_by_id.values(),
            key=lambda update: self._send_count_by_id[update.id],
        )
        if first is not None:
            pending = [first] + [item for item in pending if item.id != first.id]
        chosen = _updates_that_fit(pending[:limit])
        for update in chosen:
            self._count_send(update.id, members)
        return chosen

    def _count_send(self, member_id: str, members: int) -> None:
        if member_id not in self._send_count_by_id:
            return
        self._send_count_by_id[member_id] += 1
        max_sends = RETRANSMIT_FACTOR * math.ceil(math.log2(members + 2))
        if self._send_count_by_id[member_id] >= max_sends:
            self.discard(member_id)


def _updates_that_fit(updates: Sequence[Update]) -> Sequence[Update]:
    """Return as many updates as fit beside a heartbeat.

    Names may be long.  A datagram that is too large would not be sent at all, so
    a host with long names would stop sending as soon as it had updates.
    """
    remaining_bytes = MAX_UPDATES_BYTES
    for count, update in enumerate(updates):
        remaining_bytes -= update.size
        if remaining_bytes < 0:
            return updates[:count]
    return updates
