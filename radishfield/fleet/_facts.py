"""The newest version of every object that this host has heard of: pure.

A fact is a `StoredObject`: one from the platform, or one that entry hosts tell
each other ("leaving", "reach").  A fact is taken in only if its version is
higher than the known one, whoever brings it.  That is what keeps an old read
of the store, a stale peer or a late datagram from bringing an old profile back:
each host only moves up.

Digests let two hosts find out cheaply whether, and in which buckets, they
differ; see `radishfield.fleet._sync`.
"""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

import xxhash

from radishfield.core import StoredObject

BUCKETS = 64
"""Digests told in a sync: 512 bytes, and about 45 facts each at 2,700 facts."""

MAX_FRESH = 4_096
"""Facts waiting to be told on; what falls out is found by digests later."""

ZONE_LOAD_KIND = "zone-load"

VOLATILE_KINDS = frozenset({ZONE_LOAD_KIND})
"""Facts that change so often that digests with them would never be equal."""

FactListener = Callable[[StoredObject], None]


@dataclass(slots=True, frozen=True)
class FactVersion:
    """A fact's name and version, without its value."""

    kind: str
    name: str
    version: int


class FactTable:
    """Facts by kind and name; versions only move up.

    Attributes
    ----------
    is_known : bool
        Whether the table was filled once from the platform or from a peer whose
        own table was.  Until then "no such profile" cannot be told from "not
        heard of yet".
    """

    __slots__ = (
        "_bucket_digests",
        "_fact_by_key",
        "_fresh_by_key",
        "_listeners_by_kind",
        "is_known",
    )

    def __init__(self):
        self._fact_by_key: dict[tuple[str, str], StoredObject] = {}
        self._fresh_by_key: dict[tuple[str, str], StoredObject] = {}
        self._bucket_digests = [0] * BUCKETS
        self._listeners_by_kind: dict[str, list[FactListener]] = {}
        self.is_known = False

    def listen(self, kind: str, listener: FactListener) -> None:
        """Call the listener with each newer fact of a kind; "" means all."""
        self._listeners_by_kind.setdefault(kind, []).append(listener)

    def learn(self, fact: StoredObject, spread: bool = True) -> bool:
        """Take in a fact if it is newer; ``spread`` also queues it for peers."""
        key = (fact.kind, fact.name)
        known = self._fact_by_key.get(key)
        if known is not None and known.version >= fact.version:
            return False
        self._fact_by_key[key] = fact
        if fact.kind not in VOLATILE_KINDS:
            self._count_in_digest(key, known, fact)
        if spread and len(self._fresh_by_key) < MAX_FRESH:
            self._fresh_by_key[key] = fact
        for kind in (fact.kind, ""):
            for listener in self._listeners_by_kind.get(kind, ()):
                listener(fact)
        return True

    def _count_in_digest(
        self, key: tuple[str, str], known: StoredObject | None, fact: StoredObject
    ) -> None:
        bucket = _bucket(key)
        if known is not None:
            self._bucket_digests[bucket] ^= _digest(known)
        self._bucket_digests[bucket] ^= _digest(fact)

    def find(self, kind: str, name: str) -> StoredObject | None:
        """Return the newest known fact."""
        return self._fact_by_key.get((kind, name))

    def all_of(self, kind: str) -> Sequence[StoredObject]:
        """Return the newest known facts of a kind."""
        return [fact for fact in self._fact_by_key.values() if fact.kind == kind]

    def take_fresh(self) -> Sequence[StoredObject]:
        """Return the facts to tell peers of, each once; profiles come first."""
        fresh = sorted(self._fresh_by_key.values(), key=_urgency)
        self._fresh_by_key.clear()
        return fresh

    def digest(self) -> int:
        """Return a digest of all names and versions; equal tables, equal digest."""
        total = 0
        for bucket in self._bucket_digests:
            total ^= bucket
        return total

    def bucket_digests(self) -> Sequence[int]:
        """Return one digest a bucket."""
        return tuple(self._bucket_digests)

    def versions_where(self, other_digests: Sequence[int]) -> Sequence[FactVersion]:
        """Return what is known in the buckets in which another table differs."""
        differing = {
            number
            for number, digest in enumerate(other_digests)
            if digest != self._bucket_digests[number % BUCKETS]
        }
        return [
            FactVersion(fact.kind, fact.name, fact.version)
            for key, fact in self._fact_by_key.items()
            if _bucket(key) in differing
        ]

    def newer_than(
        self, versions: Iterable[FactVersion], other_digests: Sequence[int]
    ) -> Sequence[StoredObject]:
        """Return the facts here that the other table lacks or has older."""
        version_by_key = {(item.kind, item.name): item.version for item in versions}
        return [
            self._fact_by_key[(mine.kind, mine.name)]
            for mine in self.versions_where(other_digests)
            if mine.version > version_by_key.get((mine.kind, mine.name), 0)
        ]

    def older_than(self, versions: Iterable[FactVersion]) -> Sequence[FactVersion]:
        """Return which of the told versions are newer than what is known here."""
        return [item for item in versions if item.version > self._version(item)]

    def __len__(self):
        return len(self._fact_by_key)

    def _version(self, item: FactVersion) -> int:
        known = self._fact_by_key.get((item.kind, item.name))
        return 0 if known is None else known.version


def _bucket(key: tuple[str, str]) -> int:
    return xxhash.xxh32_intdigest(f"{key[0]}\0{key[1]}".encode()) % BUCKETS


def _digest(fact: StoredObject) -> int:
    return xxhash.xxh64_intdigest(f"{fact.kind}\0{fact.name}\0{fact.version}".encode())


def _urgency(fact: StoredObject) -> tuple[bool, bool]:
    return fact.kind != "profile", fact.kind not in ("drain", "leaving")
