"""Computes a digest that identifies a request when it is resent under another id."""

import hashlib
from collections.abc import Iterable

DIGEST_BYTES = 12
"""Two of a million requests share a digest of this length in 1 of some 10^17 cases."""
LENGTH_BYTES = 8


def request_digest(parts: Iterable[bytes]) -> str:
    """Return the digest of the parts of a request that are the same in each retry.

    Parameters
    ----------
    parts : iterable of bytes
        Destination, caller and body of the request, always in the same order.

    Returns
    -------
    str
        `DIGEST_BYTES` as hexadecimal digits.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        # The length keeps ("ab", "c") apart from ("a", "bc").
        digest.update(len(part).to_bytes(LENGTH_BYTES))
        digest.update(part)
    return digest.hexdigest()
