"""Rendezvous hashing: which members of a set do a shared duty.

Every host that knows the same members names the same ones, without a message.
When a member comes or goes, only the duties that it holds move.
"""

from collections.abc import Iterable

import xxhash


def ranked(member_ids: Iterable[str], key: str) -> list[str]:
    """Return the members in the order in which they are to do the duty."""
    return sorted(member_ids, key=lambda member_id: _weight(member_id, key))


def _weight(member_id: str, key: str) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(f"{key}\0{member_id}".encode()), member_id
