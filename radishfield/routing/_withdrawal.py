"""Decides when a busy host asks the load balancer for no more connections.

A caller that is turned away comes back once.  A load balancer that sends most new
connections to few hosts may send it to another one of these, which turns it away as
well.  So a host that stays short of processor time, or turns callers away, reports that
it is not ready, and the connections go to the others.
"""

import math
from collections.abc import Iterable

import msgspec

from radishfield.routing._host_load import (
    MIN_PEER_IDLE_SHARE,
    others_have_time,
    some_are_short,
)

WITHDRAW_AFTER_S = 1.0
"""Time of being short of processor time after which a host withdraws.  A rush is
shorter."""
WITHDRAW_BESIDE_SHORT_AFTER_S = 0.5
"""The same while another host is short of it too: callers that one of them turns away
may come to the other.  The others report within that time whether they are."""
MIN_SPARE_HOSTS = 1.5
"""Idle time of the other hosts, in hosts, from which they can take all that comes.
With less, the connections would move to and fro between two hosts."""
FIRST_HOLD_S, MAX_HOLD_S = 3.0, 24.0
"""Time for which a host stays withdrawn: doubled each time that it is short of
processor time again soon after its return."""
SOON_S = 10.0
MIN_RETURN_IDLE_SHARE = 0.4


class Withdrawal(msgspec.Struct):
    """Whether this host asks for no more connections, and until when."""

    is_withdrawn: bool = False
    _short_since: float = math.inf
    _hold_s: float = FIRST_HOLD_S
    _held_until: float = -math.inf
    _returned_at: float = -math.inf

    def update(
        self,
        is_short: bool,
        idle_share: float,
        other_idle_shares: Iterable[float],
        now: float,
    ) -> bool:
        """Apply a measurement of the event loop; return whether the verdict changed."""
        others = list(other_idle_shares)
        self._short_since = min(self._short_since, now) if is_short else math.inf
        if self.is_withdrawn:
            rested = now >= self._held_until and idle_share >= MIN_RETURN_IDLE_SHARE
            if rested or not others_have_time(others):
                self._return(now)
                return True
            return False
        after_s = WITHDRAW_AFTER_S
        if some_are_short(others):
            after_s = WITHDRAW_BESIDE_SHORT_AFTER_S
        if now - self._short_since < after_s or not _can_take_all(others):
            return False
        self._withdraw(now)
        return True

    def _withdraw(self, now: float) -> None:
        again = now - self._returned_at < SOON_S
        self._hold_s = min(MAX_HOLD_S, self._hold_s * 2) if again else FIRST_HOLD_S
        self._held_until = now + self._hold_s
        self.is_withdrawn = True

    def _return(self, now: float) -> None:
        self._returned_at = now
        self.is_withdrawn = False


def _can_take_all(idle_shares: list[float]) -> bool:
    spare = sum(share for share in idle_shares if share >= MIN_PEER_IDLE_SHARE)
    return spare >= MIN_SPARE_HOSTS and others_have_time(idle_shares)
