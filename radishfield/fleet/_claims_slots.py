"""Claims in the platform's store: a fixed number of slots, each a list of claims.

No I/O here.  One object per claim would accumulate in a store that is never
cleaned.  Instead, a claim's place is hashed to one of `SLOT_COUNT` objects, and
each write of a slot omits expired claims.
"""

from dataclasses import dataclass

import msgspec
import xxhash

SLOT_KIND = "claim"
# 300 claims per second, the maximum that the platform's writes allow, kept for 11
# minutes, are 12 per slot: 1.5 KB per write, and rarely two concurrent writers.
SLOT_COUNT = 16_384
# Far above that; a slot this full means a flood of keys, and is refused.
MAX_CLAIMS_PER_SLOT = 512
# Hosts' wall clocks may differ, so a claim stays active this long after expiry.
MAX_CLOCK_SKEW_S = 60.0


@dataclass(slots=True, frozen=True)
class StoredClaim:
    """One claim as the platform stores it; times are Unix seconds."""

    place: str
    digest: str
    claim_id: str
    host_id: str
    expires_unix: float


@dataclass(slots=True, frozen=True)
class Slot:
    """A slot's claims and the version at which they were read."""

    claims: tuple[StoredClaim, ...] = ()
    version: int = 0

    def find(self, place: str, unix_now: float) -> StoredClaim | None:
        """Return the active claim of a place, if there is one."""
        for claim in self.claims:
            if claim.place == place and _is_active(claim, unix_now):
                return claim
        return None

    def with_claim(self, claim: StoredClaim, unix_now: float) -> bytes | None:
        """Return the slot's value with a claim added; None if the slot is full."""
        kept = [other for other in self._active_claims(unix_now, claim.place)]
        if len(kept) >= MAX_CLAIMS_PER_SLOT:
            return None
        return msgspec.msgpack.encode([*kept, claim])

    def without_claim(self, place: str, claim_id: str, unix_now: float) -> bytes | None:
        """Return the slot's value without a claim; None if the slot lacks it."""
        held = self.find(place, unix_now)
        if held is None or held.claim_id != claim_id:
            return None
        return msgspec.msgpack.encode(self._active_claims(unix_now, place))

    def _active_claims(self, unix_now: float, excluded_place: str) -> list[StoredClaim]:
        return [
            claim
            for claim in self.claims
            if claim.place != excluded_place and _is_active(claim, unix_now)
        ]


def read_slot(value: bytes, version: int) -> Slot:
    """Decode a slot; raise `msgspec.MsgspecError` on a malformed value."""
    claims = msgspec.msgpack.decode(value, type=tuple[StoredClaim, ...])
    return Slot(claims, version)


def contains_claim(value: bytes, claim_id: str) -> bool:
    """Return whether a stored value holds a claim."""
    try:
        return any(claim.claim_id == claim_id for claim in read_slot(value, 0).claims)
    except msgspec.MsgspecError:
        return False


def claim_place(workspace: str, key: str) -> str:
    """Return the digest of a workspace's key; 128 bits, so that none collide."""
    return xxhash.xxh3_128_hexdigest(f"{len(workspace)}:{workspace}{key}".encode())


def slot_name(place: str) -> str:
    """Return the name of the slot that a place belongs to."""
    return f"{int(place, 16) % SLOT_COUNT:04x}"


def _is_active(claim: StoredClaim, unix_now: float) -> bool:
    return unix_now < claim.expires_unix + MAX_CLOCK_SKEW_S
