"""How long a configuration that was read may still admit keys.

Load pattern: a host is cut off, frozen or served stale data while an operator
takes a key away.  Without a bound of its own it would go on admitting the key for
as long as the cut lasts.  A host therefore counts from the moment *before* it
asked the store: whatever was accepted later may be missing in the answer.  The
clock must count suspension, or a host that slept would trust an old answer.
"""

from dataclasses import dataclass

MARGIN_S = 0.1
"""What two clocks may drift apart over the bound.  No time on the way needs room:
the bound is on when a caller sent its request, which was before it arrived here."""


@dataclass(slots=True)
class Freshness:
    """When the configuration in force was last known to be the newest.

    Attributes
    ----------
    bound_s : float
        Seconds after which a key that was taken away must be refused everywhere.
    confirmed_at, store_at : float or None
        When the view was last known to be the newest, by anybody's word and by
        the store's own.
    """

    bound_s: float
    confirmed_at: float | None = None
    store_at: float | None = None

    def confirm(self, asked_at: float) -> None:
        """Note an answer of the store to a call that was sent at ``asked_at``."""
        if self.store_at is None or asked_at > self.store_at:
            self.store_at = asked_at
        self.vouch(asked_at)

    def vouch(self, asked_at: float) -> None:
        """Note that the view was the newest at ``asked_at``, by anybody's word."""
        if self.confirmed_at is None or asked_at > self.confirmed_at:
            self.confirmed_at = asked_at

    def age_s(self, now: float) -> float:
        """Return the seconds since the last confirmation."""
        if self.confirmed_at is None:
            return float("inf")
        return now - self.confirmed_at

    def store_age_s(self, now: float) -> float:
        """Return the seconds since the store itself last confirmed the view."""
        if self.store_at is None:
            return float("inf")
        return now - self.store_at

    def admits_keys(self, arrived_at: float) -> bool:
        """Return whether a known key was still valid for a request that arrived."""
        return self.age_s(arrived_at) < self.bound_s - MARGIN_S
