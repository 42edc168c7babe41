"""Table of the newest version of every object known to this host, without I/O.

A fact is a `StoredObject`, either from the platform or exchanged between entry
hosts ("leaving", "reach").  A fact is accepted only if its version is higher
than the known one, whatever its source, so versions never decrease at a host.
Without this an old read of the store, a stale peer or a late datagram would
restore an old profile.

With digests two hosts find out at low cost whether their tables differ, and in
which buckets; see `radishfield.fleet._spread`.
"""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

import xxhash

from radishfield.core import StoredObject

BUCKET_COUNT = 64
"""Digests sent in a sync: 512 bytes; at 2,700 facts each covers about 45."""

MAX_UNSENT = 4_096
"""Maximum number of facts waiting to be sent.  Peers get facts beyond it later,
through the comparison of digests."""

ZONE_LOAD_KIND = "zone-load"

VOLATILE_KINDS = frozenset({ZONE_LOAD_KIND})
"""Kinds left out of digests: they change so often that digests with them would
never be equal."""

FactListener = Callable[[StoredObject], None]


@dataclass(slots=True, frozen=True)
class FactVersion:
    """A fact's name and version, without its value."""

    kind: str
    name: str
    version: int


class FactTable:
    """Facts by kind and name, whose versions never decrease.

    Attributes
    ----------
    is_filled : bool
        Whether the table has been filled once from the platform or from a peer
        whose own table has.  Until then a profile that does not exist cannot
        be distinguished from one that has not been received yet.
    """

    __slots__ = (
        "_bucket_digests",
        "_fact_by_key",
        "_unsent_by_key",
        "_listeners_by_kind",
        "is_filled",
    )

    def __init__(self):
        self._fact_by_key: dict[tuple[str, str], StoredObject] = {}
        self._unsent_by_key: dict[tuple[str, str], StoredObject] = {}
        self._bucket_digests = [0] * BUCKET_COUNT
        self._listeners_by_kind: dict[str, list[FactListener]] = {}
        self.is_filled = False

    def listen(self, kind: str, listener: FactListener) -> None:
        """Call the listener with each newer fact of a kind; "" means all kinds."""
        self._listeners_by_kind.setdefault(kind, []).append(listener)

    def learn(self, fact: StoredObject, spread: bool = True) -> bool:
        """Store a fact if it is newer; ``spread`` also queues it for peers."""
        key = (fact.kind, fact.name)
        known = self._fact_by_key.get(key)
        if known is not None and known.version >= fact.version:
            return False
        self._fact_by_key[key] = fact
        if fact.kind not in VOLATILE_KINDS:
            self._update_digest(key, known, fact)
        if spread and len(self._unsent_by_key) < MAX_UNSENT:
            self._unsent_by_key[key] = fact
        for kind in (fact.kind, ""):
            for listener in self._listeners_by_kind.get(kind, ()):
                listener(fact)
        return True

    def _update_digest(
        self, key: tuple[str, str], known: StoredObject | None, fact: StoredObject
    ) -> None:
        bucket = _bucket(key)
        if known is not None:
            self._bucket_digests[bucket] ^= _digest(known)
        self._bucket_digests[bucket] ^= _digest(fact)

    def find(self, kind: str, name: str) -> StoredObject | None:
        """Return the newest known version of a fact, or None."""
        return self._fact_by_key.get((kind, name))

    def all_of(self, kind: str) -> Sequence[StoredObject]:
        """Return the newest known version of every fact of a kind."""
        return [fact for fact in self._fact_by_key.values() if fact.kind == kind]

    def take_unsent(self) -> Sequence[StoredObject]:
        """Remove and return the facts queued for peers, profiles first."""
        unsent = sorted(self._unsent_by_key.values(), key=_send_order)
        self._unsent_by_key.clear()
        return unsent

    def digest(self) -> int:
        """Return a digest of all names and versions, the same for equal tables."""
        total = 0
        for bucket in self._bucket_digests:
            total ^= bucket
        return total

    def bucket_digests(self) -> Sequence[int]:
        """Return one digest for each bucket."""
        return tuple(self._bucket_digests)

    def versions_in_differing_buckets(
        self, other_digests: Sequence[int]
    ) -> Sequence[FactVersion]:
        """Return the versions of all facts in buckets whose digests differ."""
        differing = {
            number
            for number, digest in enumerate(other_digests)
            if digest != self._bucket_digests[number % BUCKET_COUNT]
        }
        return [
            FactVersion(fact.kind, fact.name, fact.version)
            for key, fact in self._fact_by_key.items()
            if _bucket(key) in differing
        ]

    def newer_than(
        self, versions: Iterable[FactVersion], other_digests: Sequence[int]
    ) -> Sequence[StoredObject]:
        """Return the facts that the other table lacks or has in an older version."""
        version_by_key = {(item.kind, item.name): item.version for item in versions}
        return [
            self._fact_by_key[(mine.kind, mine.name)]
            for mine in self.versions_in_differing_buckets(other_digests)
            if mine.version > version_by_key.get((mine.kind, mine.name), 0)
        ]

    def older_than(self, versions: Iterable[FactVersion]) -> Sequence[FactVersion]:
        """Return those of the given versions that are newer than this table's."""
        return [item for item in versions if item.version > self._version(item)]

    def __len__(self):
        return len(self._fact_by_key)

    def _version(self, item: FactVersion) -> int:
        known = self._fact_by_key.get((item.kind, item.name))
        return 0 if known is None else known.version


def _bucket(key: tuple[str, str]) -> int:
    return xxhash.xxh32_intdigest(f"{key[0]}\0{key[1]}".encode()) % BUCKET_COUNT


def _digest(fact: StoredObject) -> int:
    return xxhash.xxh64_intdigest(f"{fact.kind}\0{fact.name}\0{fact.version}".encode())


def _send_order(fact: StoredObject) -> tuple[bool, bool]:
    return fact.kind != "profile", fact.kind not in ("drain", "leaving")
