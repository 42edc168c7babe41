"""Keyed authentication of frames between entry hosts, and their replay.

Every frame carries a key's id and a truncated HMAC over a context and the
frame.  The code is checked before anything is decoded, so that a stranger's
bytes never reach the decoder.  Rotation: give every host the new key as a
second one, then as the first, then take the old one away; each step may take
as long as a rolling restart does, because all listed keys are accepted.
"""

import hashlib
import hmac
from collections.abc import Sequence
from dataclasses import dataclass

from expression import Error, Ok, Result

from radishfield.core import Fault, ResultCode, fault

MAC_BYTES = 16
"""Half of SHA-256: 128 bits cannot be guessed, and heartbeats stay small."""

REPLAY_WINDOW = 1_024
"""Datagrams may overtake each other by so many; older ones are dropped."""

MIN_SECRET_BYTES = 16


@dataclass(slots=True, frozen=True)
class PeerKey:
    """A shared secret and the number, 0 to 255, by which frames name it."""

    id: int
    secret: bytes


class Sealer:
    """Signs with the first key, and accepts any of the keys."""

    __slots__ = ("_first", "_secret_by_id")

    def __init__(self, keys: Sequence[PeerKey]):
        if not keys or any(len(key.secret) < MIN_SECRET_BYTES for key in keys):
            raise ValueError("peers need keys of at least 16 bytes")
        self._first = keys[0]
        self._secret_by_id = {key.id: key.secret for key in keys}
        if len(self._secret_by_id) < len(keys):
            raise ValueError("two peer keys have the same number")
        if len(self._secret_by_id) < len(keys):
            raise ValueError("two peer keys have the same number")

    def seal(self, frame: bytes, context: bytes) -> bytes:
        """Return the frame behind its key id and its code."""
        code = _code(self._first.secret, context, frame)
        return bytes([self._first.id]) + code + frame

    def unseal(self, sealed: bytes, context: bytes) -> Result[bytes, Fault]:
        """Return the frame, or ``PEER_UNAUTHENTICATED``."""
        if len(sealed) <= 1 + MAC_BYTES:
            return Error(fault(ResultCode.BAD_FRAME, "too short"))
        secret = self._secret_by_id.get(sealed[0])
        if secret is None:
            detail = f"unknown key {sealed[0]}"
            return Error(fault(ResultCode.PEER_UNAUTHENTICATED, detail))
        frame = sealed[1 + MAC_BYTES :]
        code = _code(secret, context, frame)
        if not hmac.compare_digest(code, sealed[1 : 1 + MAC_BYTES]):
            return Error(fault(ResultCode.PEER_UNAUTHENTICATED, "wrong code"))
        return Ok(frame)


@dataclass(slots=True)
class _Seen:
    incarnation: int
    highest: int
    bits: int


class ReplayGuard:
    """Accepts each frame of a member's incarnation once.

    A recorded frame that is sent again would otherwise pass the key check.  Of
    an older incarnation nothing is accepted any more.  After this host's own
    restart a frame of a peer's present incarnation passes once more; what it
    tells is versioned, so it moves nothing back.
    """

    __slots__ = ("_seen_by_sender",)

    def __init__(self):
        self._seen_by_sender: dict[str, _Seen] = {}

    def accept(self, sender: str, incarnation: int, sequence: int) -> bool:
        """Tell whether a frame is new, and remember it."""
        seen = self._seen_by_sender.get(sender)
        if seen is None or incarnation > seen.incarnation:
            self._seen_by_sender[sender] = _Seen(incarnation, sequence, 1)
            return True
        if incarnation < seen.incarnation:
            return False
        if sequence > seen.highest:
            shift = min(sequence - seen.highest, REPLAY_WINDOW)
            seen.bits = (seen.bits << shift | 1) & ((1 << REPLAY_WINDOW) - 1)
            seen.highest = sequence
            return True
        age = seen.highest - sequence
        if age >= REPLAY_WINDOW or seen.bits >> age & 1:
            return False
        seen.bits |= 1 << age
        return True


def _code(secret: bytes, context: bytes, frame: bytes) -> bytes:
    return hmac.digest(secret, context + frame, hashlib.sha256)[:MAC_BYTES]
