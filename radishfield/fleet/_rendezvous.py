"""Rendezvous hashing: chooses the members of a set that perform a shared duty.

Hosts that know the same members choose the same ones, without a message.
When a member joins or leaves, only the duties that it holds move.
"""

from collections.abc import Iterable

import xxhash


def ranked(member_ids: Iterable[str], key: str) -> list[str]:
    """Return the members in order of preference for the duty."""
    return sorted(member_ids, key=lambda member_id: _weight(member_id, key))


def _weight(member_id: str, key: str) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(f"{key}\0{member_id}".encode()), member_id
