"""How often a service may be sent a request again, by all hosts together.

Load pattern: a target fails much of its work and each failure is sent again, so
that the targets that are left get the load twice.  All hosts share one allowance: a
ratio of the first tries in a window and a fixed slack.  Divided evenly, a host at
which all the failures fall runs out while the others' parts lie idle: with nine
hosts one could repeat twenty requests in ten seconds, and a dead target breaks more.
So each host tells what it has used, and takes from what is left over all hosts, no
more at a time than would still fit if every other one did the same at that moment.
"""

from collections import deque
from collections.abc import Collection, Iterable

import msgspec

SAFETY = 0.75
"""Part of a shared allowance that is used: windows slide, and what others told is up
to a second old."""

LAG_S = 1.0
"""Longest time until all hosts have heard of a repeat; within it a host takes no
more than its even part of what is left."""


class RetryAllowance(msgspec.Struct, frozen=True):
    """The allowance of all hosts together.

    Attributes
    ----------
    ratio : float
        Repeats for each first try in the window.
    slack : float
        Repeats in the window beside the ratio.
    safety : float
        Part of it that is used; 1 where no other host spends from it.
    """

    ratio: float = 0.2
    window_s: float = 10.0
    slack: float = 50.0
    safety: float = SAFETY


class RetryUse(msgspec.Struct, frozen=True):
    """First tries and repeats of one host in its last window."""

    firsts: int = 0
    repeats: int = 0


class RetryBudget(msgspec.Struct):
    """One service's repeats at this host, over a sliding window."""

    allowance: RetryAllowance
    _firsts: deque[float] = msgspec.field(default_factory=deque)
    _repeats: deque[float] = msgspec.field(default_factory=deque)

    def first_try(self, now: float) -> None:
        """Count the first send of a request."""
        self._firsts.append(now)
        self._forget(now)

    def use(self, now: float) -> RetryUse:
        """Return what this host used, for the others."""
        self._forget(now)
        return RetryUse(len(self._firsts), len(self._repeats))

    def take(self, now: float, hosts: int = 1, others: Iterable[RetryUse] = ()) -> bool:
        """Take one repeat out; False if nothing is left for this host.

        Parameters
        ----------
        hosts : int
            All hosts, this one included.
        others : iterable of RetryUse
            What the hosts that are heard of have used.  The even part of those
            that are silent counts as used up.
        """
        told = list(others)
        left = self.left(now, hosts, told)
        just_taken = sum(1 for at in self._repeats if at > now - LAG_S)
        if (just_taken + 1) * (1 + len(told)) > left + just_taken:
            return False
        self._repeats.append(now)
        return True

    def left(self, now: float, hosts: int, others: Collection[RetryUse]) -> float:
        """Return the repeats that are left for all hosts together; see `take`."""
        self._forget(now)
        firsts = len(self._firsts) + sum(use.firsts for use in others)
        repeats = len(self._repeats) + sum(use.repeats for use in others)
        slack = self.allowance.slack * min(1.0, (1 + len(others)) / max(1, hosts))
        return self.allowance.safety * (self.allowance.ratio * firsts + slack) - repeats

    def give_back(self) -> None:
        """Undo the last repeat: it never reached a target."""
        if self._repeats:
            self._repeats.pop()

    def _forget(self, now: float) -> None:
        oldest = now - self.allowance.window_s
        for times in (self._firsts, self._repeats):
            while times and times[0] < oldest:
                times.popleft()
