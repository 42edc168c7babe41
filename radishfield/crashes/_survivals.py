"""When requests with each trait last outlived their start."""

import msgspec

from radishfield.crashes._traits import is_part

MAX_SURVIVORS = 4096
"""Whole requests, and parts, of the last minute at a busy host; some 90 bytes each.
They are bounded apart: each request is a new digest, which would displace the parts."""


class Survivals(msgspec.Struct):
    """The latest survival of each trait, the least recently recorded first."""

    _at_by_digest: dict[str, float] = msgspec.field(default_factory=dict)
    _at_by_part: dict[str, float] = msgspec.field(default_factory=dict)
    last_at: float | None = None

    def __len__(self) -> int:
        return len(self._at_by_digest) + len(self._at_by_part)

    def __contains__(self, trait: str) -> bool:
        return trait in self._by_kind(trait)

    def get(self, trait: str) -> float | None:
        """Return when a request with the trait last survived; None if not known."""
        return self._by_kind(trait).get(trait)

    def record(self, trait: str, at: float) -> float:
        """Record a survival; return the time of the latest one of the trait."""
        at_by_trait = self._by_kind(trait)
        latest_at = max(at, at_by_trait.pop(trait, at))
        at_by_trait[trait] = latest_at
        if len(at_by_trait) > MAX_SURVIVORS:
            del at_by_trait[next(iter(at_by_trait))]
        if self.last_at is None or at > self.last_at:
            self.last_at = at
        return latest_at

    def forget(self, until: float) -> None:
        """Drop the survivals up to a time."""
        for at_by_trait in (self._at_by_digest, self._at_by_part):
            expired = [trait for trait, at in at_by_trait.items() if at <= until]
            for trait in expired:
                del at_by_trait[trait]
        if self.last_at is not None and self.last_at <= until:
            self.last_at = None

    def _by_kind(self, trait: str) -> dict[str, float]:
        return self._at_by_part if is_part(trait) else self._at_by_digest
