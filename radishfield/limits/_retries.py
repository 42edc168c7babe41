"""Limits how often all hosts together may retry requests of a service.

When a target fails much of its work and each failure is retried, the remaining targets
get the load twice.  All hosts therefore share one retry budget: a ratio of the first
attempts in a window and a fixed slack.  If it were divided evenly, a host at which all
the failures occur would run out while the shares of the others stay unused: with nine
hosts, one could retry twenty requests in ten seconds, and a dead target breaks more.
So each host reports what it has used, and takes from what remains over all hosts, no
more at a time than would still fit if every other host did the same at that moment.
Its share at a moment follows its part of the load: a balancer may send most connections
to one host, at which most requests then fail.
"""

from bisect import bisect_right
from collections import deque
from collections.abc import Collection, Iterable

import msgspec

SAFETY_FACTOR = 0.75
"""Fraction of a shared budget that is used: windows slide, and reports from other hosts
are up to a second old."""

MAX_REPORT_DELAY_S = 1.0
"""Maximum time until all hosts have received the report of a retry.  Within it, a host
takes no more than its share of the remaining budget."""

LOAD_WEIGHT = 0.25
"""Weight of a host's part of all first attempts in its share; the rest is the same for
all hosts, so that one with little load may retry what fails there."""


class RetryAllowance(msgspec.Struct, frozen=True):
    """Size of the retry budget that all hosts share.

    Attributes
    ----------
    ratio : float
        Retries for each first attempt in the window.
    slack : float
        Retries in the window in addition to the ratio.
    safety : float
        Fraction of the budget that is used; 1 where no other host spends from it.
    """

    ratio: float = 0.2
    window_s: float = 10.0
    slack: float = 50.0
    safety: float = SAFETY_FACTOR


class RetryUse(msgspec.Struct, frozen=True):
    """First attempts and retries of one host in its last window."""

    firsts: int = 0
    repeats: int = 0


class RetryBudget(msgspec.Struct):
    """Retries of one service at this host, over a sliding window."""

    allowance: RetryAllowance
    _first_attempt_times: deque[float] = msgspec.field(default_factory=deque)
    _retry_times: deque[float] = msgspec.field(default_factory=deque)

    def record_first_attempt(self, now: float) -> None:
        """Count the first attempt of a request."""
        self._first_attempt_times.append(now)
        self._forget(now)

    def use(self, now: float) -> RetryUse:
        """Return what this host has used, to report it to the others."""
        self._forget(now)
        return RetryUse(len(self._first_attempt_times), len(self._retry_times))

    def take(self, now: float, hosts: int = 1, others: Iterable[RetryUse] = ()) -> bool:
        """Take one retry from the budget; return False if none is left for this host.

        Parameters
        ----------
        hosts : int
            Number of all hosts, including this one.
        others : iterable of RetryUse
            Use of the other hosts that have reported.  The even share of those
            that have not reported counts as used up.
        """
        reported = list(others)
        left = self.left(now, hosts, reported)
        recent_retries = sum(
            1 for at in self._retry_times if at > now - MAX_REPORT_DELAY_S
        )
        share = self._share(now, reported)
        if recent_retries + 1 > share * (left + recent_retries):
            return False
        self._retry_times.append(now)
        return True

    def _share(self, now: float, others: Collection[RetryUse]) -> float:
        """Return this host's share of what remains; those of all hosts add up to 1.

        Its own latest first attempts don't count, since reports lack those of others.
        """
        even_share = 1.0 / (1 + len(others))
        reported_until = now - MAX_REPORT_DELAY_S
        own = bisect_right(self._first_attempt_times, reported_until)
        firsts = own + sum(use.firsts for use in others)
        load_share = own / firsts if firsts else even_share
        return (1.0 - LOAD_WEIGHT) * even_share + LOAD_WEIGHT * load_share

    def left(self, now: float, hosts: int, others: Collection[RetryUse]) -> float:
        """Return the retries that are left for all hosts together; see `take`."""
        self._forget(now)
        firsts = len(self._first_attempt_times) + sum(use.firsts for use in others)
        repeats = len(self._retry_times) + sum(use.repeats for use in others)
        slack = self.allowance.slack * min(1.0, (1 + len(others)) / max(1, hosts))
        return self.allowance.safety * (self.allowance.ratio * firsts + slack) - repeats

    def give_back(self) -> None:
        """Return the last retry to the budget; it never reached a target."""
        if self._retry_times:
            self._retry_times.pop()

    def _forget(self, now: float) -> None:
        oldest = now - self.allowance.window_s
        for times in (self._first_attempt_times, self._retry_times):
            while times and times[0] < oldest:
                times.popleft()
