"""Limits how long a configuration may admit keys after it was read.

While an operator revokes a key, a host may be disconnected, frozen or served stale
data.  Without a bound of its own it would admit the key for as long as that lasts.  A
host therefore counts the age from *before* it sent the request to the store: any
change that was accepted later may be missing from the answer.  The clock must
include time in suspension, or a suspended host would trust an old answer.
"""

import math

import msgspec

CLOCK_DRIFT_S = 0.1
"""Allowance for the drift of two clocks over the bound.  None is needed for transit:
the bound applies to when a caller sent its request, which is before it arrives."""


class Freshness(msgspec.Struct):
    """Time at which the active configuration was last known to be the newest.

    Attributes
    ----------
    bound_s : float
        Seconds after which a revoked key must be refused everywhere.
    confirmed_at : float or None
        When the configuration was last known to be the newest, confirmed by the
        store or by a peer.
    answered_at, failing_since : float or None
        When the store itself last answered, and since when all calls to it fail.
    """

    bound_s: float
    confirmed_at: float | None = None
    answered_at: float | None = None
    failing_since: float | None = None

    def confirm(self, asked_at: float, answered_at: float) -> None:
        """Record the store's answer to a call that was sent at ``asked_at``."""
        self.note_answer(answered_at)
        self.record_confirmation(asked_at)

    def note_answer(self, answered_at: float) -> None:
        """Record an answer of the store that confirms nothing."""
        self.answered_at = answered_at
        self.failing_since = None

    def failed(self, now: float) -> None:
        """Record a failed call to the store."""
        if self.failing_since is None:
            self.failing_since = now

    def record_confirmation(self, asked_at: float) -> None:
        """Record that the configuration was confirmed as the newest at ``asked_at``."""
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
        """Return for how long all calls to the store have failed; 0 if none did."""
        return 0.0 if self.failing_since is None else now - self.failing_since

    def admits_keys(self, arrived_at: float) -> bool:
        """Return whether known keys are still admitted for a request's arrival time."""
        return self.age_s(arrived_at) < self.bound_s - CLOCK_DRIFT_S
