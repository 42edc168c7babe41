"""The traits by which requests are suspected: the whole request, and parts of prompts.

A request that crashes targets may be the same one under many ids, or share only a part
of its prompt with the others.  The last part belongs to one request or session, which
the digest stands for already.
"""

import re
from collections.abc import Iterable

import msgspec

from radishfield.crashes._digest import request_digest

MAX_PARTS = 64
"""Parts of one prompt that are suspected; of a longer prompt the first ones."""

PART_PREFIX = "part-"
"""Distinguishes parts from digests in reports and in names of stored records."""

_PLAIN_ID = re.compile(r"[0-9a-f]{1,32}", re.ASCII)
_HASHED = "x"
"""Precedes the hash of an unusual id.  No hexadecimal id contains this letter."""


class RequestTraits(msgspec.Struct, frozen=True):
    """What a request shares with others under which the same targets may crash.

    Attributes
    ----------
    digest : str
        Digest of the whole request, see `request_digest`.
    parts : tuple of str
        Traits of the parts of its prompt, but for the last one.
    """

    digest: str
    parts: tuple[str, ...] = ()

    @classmethod
    def from_parts(cls, digest: str, part_ids: Iterable[str]) -> "RequestTraits":
        """Return the traits of a request from the ids of its prompt's shared parts."""
        distinct = dict.fromkeys(part_trait(part_id) for part_id in part_ids)
        return cls(digest, tuple(distinct)[:MAX_PARTS])

    @property
    def all(self) -> tuple[str, ...]:
        """Return all traits, that of the whole request first."""
        return (self.digest, *self.parts)


def part_trait(part_id: str) -> str:
    """Return the trait of a part of a prompt.

    Ids are hexadecimal numbers, in either case.  Any other id is replaced by a hash, so
    that traits are short and safe as names of records.
    """
    lowered = part_id.strip().lower()
    if _PLAIN_ID.fullmatch(lowered):
        return PART_PREFIX + lowered
    return PART_PREFIX + _HASHED + request_digest([lowered.encode()])


def is_part(trait: str) -> bool:
    """Return whether a trait is that of a part, not of a whole request."""
    return trait.startswith(PART_PREFIX)
