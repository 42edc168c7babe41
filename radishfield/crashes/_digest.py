"""What tells a request from others when it comes again under another id."""

import hashlib
from collections.abc import Iterable

DIGEST_BYTES = 12
"""A million requests share a digest of this length once in some 10^17 cases."""
LENGTH_BYTES = 8


def request_digest(parts: Iterable[bytes]) -> str:
    """Return the digest of what stays the same when a request is repeated.

    Parameters
    ----------
    parts : iterable of bytes
        Where it goes, who calls, and its body, always in the same order.

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
