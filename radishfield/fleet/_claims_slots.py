"""Claims in the platform's store: a bounded set of slots, each a list of claims.

No I/O here.  One object a claim would pile up in a store that is never cleaned.
A claim's place is hashed to one of `SLOTS` objects instead; whoever rewrites a
slot leaves out what has expired.
"""

from dataclasses import dataclass

import msgspec
import xxhash

SLOT_KIND = "claim"
# 300 claims a second, the most that the platform's writes allow, remembered for
# 11 minutes, are 12 in each slot: 1.5 KB a write, and rarely two writers at once.
SLOTS = 16_384
# Far above that; a slot so full means a flood of keys, and is refused.
MAX_CLAIMS_PER_SLOT = 512
# Hosts' wall clocks may differ: a claim counts for so much longer than it says.
CLOCK_ALLOWANCE_S = 60.0


@dataclass(slots=True, frozen=True)
class StoredClaim:
    """One claim as the platform keeps it; times are Unix seconds."""

    place: str
    digest: str
    claim_id: str
    host_id: str
    expires_unix: float


@dataclass(slots=True, frozen=True)
class Slot:
    """A slot's claims and the version that they were read at."""

    claims: tuple[StoredClaim, ...] = ()
    version: int = 0

    def find(self, place: str, unix_now: float) -> StoredClaim | None:
        """Return the claim in force on a place, if there is one."""
        for claim in self.claims:
            if claim.place == place and _in_force(claim, unix_now):
                return claim
        return None

    def with_claim(self, claim: StoredClaim, unix_now: float) -> bytes | None:
        """Return the slot's new value; None where it is full."""
        kept = [other for other in self._in_force(unix_now, claim.place)]
        if len(kept) >= MAX_CLAIMS_PER_SLOT:
            return None
        return msgspec.msgpack.encode([*kept, claim])

    def without(self, place: str, claim_id: str, unix_now: float) -> bytes | None:
        """Return the value without a claim; None where it is not in it."""
        held = self.find(place, unix_now)
        if held is None or held.claim_id != claim_id:
            return None
        return msgspec.msgpack.encode(self._in_force(unix_now, place))

    def _in_force(self, unix_now: float, but_place: str) -> list[StoredClaim]:
        return [
            claim
            for claim in self.claims
            if claim.place != but_place and _in_force(claim, unix_now)
        ]


def read_slot(value: bytes, version: int) -> Slot:
    """Return a slot; raise `msgspec.MsgspecError` on a value that is none."""
    claims = msgspec.msgpack.decode(value, type=tuple[StoredClaim, ...])
    return Slot(claims, version)


def carries(value: bytes, claim_id: str) -> bool:
    """Tell whether a stored value holds a claim."""
    try:
        return any(claim.claim_id == claim_id for claim in read_slot(value, 0).claims)
    except msgspec.MsgspecError:
        return False


def place_of(workspace: str, key: str) -> str:
    """Return the place of a workspace's key; 128 bits, so that none collide."""
    return xxhash.xxh3_128_hexdigest(f"{len(workspace)}:{workspace}{key}".encode())


def slot_name(place: str) -> str:
    """Return the name of the slot that a place belongs to."""
    return f"{int(place, 16) % SLOTS:04x}"


def _in_force(claim: StoredClaim, unix_now: float) -> bool:
    return unix_now < claim.expires_unix + CLOCK_ALLOWANCE_S
