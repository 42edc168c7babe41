"""How long a configuration that was read may still admit keys.

Load pattern: a host is cut off, frozen or served stale data while an operator
takes a key away.  Without a bound of its own it would go on admitting the key for
as long as the cut lasts.  A host therefore counts from the moment *before* it
asked the store: whatever was accepted later may be missing in the answer.  The
clock must count suspension, or a host that slept would trust an old answer.
"""

import math

import msgspec

MARGIN_S = 0.1
"""What two clocks may drift apart over the bound.  No time on the way needs room:
the bound is on when a caller sent its request, which was before it arrived here."""


class Freshness(msgspec.Struct):
    """When the configuration in force was last known to be the newest.

    Attributes
    ----------
    bound_s : float
        Seconds after which a key that was taken away must be refused everywhere.
    confirmed_at : float or None
        When the view was last known to be the newest, by anybody's word.
    answered_at, failing_since : float or None
        When the store itself last answered, and since when it has not.
    """

    bound_s: float
    confirmed_at: float | None = None
    answered_at: float | None = None
    failing_since: float | None = None

    def confirm(self, asked_at: float, answered_at: float) -> None:
        """Note an answer of the store to a call that was sent at ``asked_at``."""
        self.answered_at = answered_at
        self.failing_since = None
        self.confirm_by_peer(asked_at)

    def failed(self, now: float) -> None:
        """Note a call to the store that failed."""
        if self.failing_since is None:
            self.failing_since = now

    def confirm_by_peer(self, asked_at: float) -> None:
        """Note that the view was the newest at ``asked_at``, by anybody's word."""
        if self.confirmed_at is None or asked_at > self.confirmed_at:
            self.confirmed_at = asked_at

    def age_s(self, now: float) -> float:
        """Return the seconds since the last confirmation."""
        if self.confirmed_at is None:
            return math.inf
        return now - self.confirmed_at

    def silent_s(self, now: float) -> float:
        """Return the seconds since the store itself last answered."""
        return math.inf if self.answered_at is None else now - self.answered_at

    def failing_s(self, now: float) -> float:
        """Return for how long each call to the store has failed; 0 if none did."""
        return 0.0 if self.failing_since is None else now - self.failing_since

    def admits_keys(self, arrived_at: float) -> bool:
        """Return whether a known key was still valid for a request that arrived."""
        return self.age_s(arrived_at) < self.bound_s - MARGIN_S
