"""How often a service may be sent a request again, as this host's part of it.

Load pattern: a target fails much of its work and each failure is sent again, so
that the targets that are left get the load twice.  All hosts share one allowance:
a ratio of the first tries in a window and a fixed slack.  Without a word between
them each host may spend the ratio of its own first tries and its part of the
slack; whatever the hosts do, the sum stays within the whole.
"""

from collections import deque
from dataclasses import dataclass, field

SAFETY = 0.8
"""Part of the allowance that is used: windows slide, and first tries of a window
may fall while its repeats still arrive."""


@dataclass(slots=True, frozen=True)
class RetryAllowance:
    """The allowance of all hosts together.

    Attributes
    ----------
    ratio : float
        Repeats for each first try in the window.
    slack : float
        Repeats in the window beside the ratio.
    """

    ratio: float = 0.2
    window_s: float = 10.0
    slack: float = 50.0


@dataclass(slots=True)
class RetryBudget:
    """One service's repeats at this host, over a sliding window."""

    allowance: RetryAllowance
    _firsts: deque[float] = field(default_factory=deque)
    _repeats: deque[float] = field(default_factory=deque)

    def first_try(self, now: float) -> None:
        """Count the first send of a request."""
        self._firsts.append(now)
        self._forget(now)

    def take(self, now: float, hosts: int) -> bool:
        """Take one repeat out; False if this host's part is spent."""
        self._forget(now)
        slack = self.allowance.slack / max(1, hosts)
        allowed = SAFETY * (self.allowance.ratio * len(self._firsts) + slack)
        if len(self._repeats) + 1 > allowed:
            return False
        self._repeats.append(now)
        return True

    def _forget(self, now: float) -> None:
        oldest = now - self.allowance.window_s
        for times in (self._firsts, self._repeats):
            while times and times[0] < oldest:
                times.popleft()
