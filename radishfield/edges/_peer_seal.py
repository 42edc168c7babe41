"""Keyed authentication and replay protection of frames between entry hosts.

Every frame carries a key's id and a truncated HMAC over a context and the
frame.  The HMAC is checked before anything is decoded, so that unauthenticated
bytes never reach the decoder.  To rotate keys, add the new key as the second
one on every host, then make it the first, then remove the old one.  Each step
may take as long as a rolling restart, because all listed keys are accepted.
"""

import hashlib
import hmac
from collections.abc import Sequence
from dataclasses import dataclass

from expression import Error, Ok, Result

from radishfield.core import Fault, ResultCode, fault

MAC_BYTES = 16
"""Half of a SHA-256: 128 bits cannot be guessed, and heartbeats stay small."""

REPLAY_WINDOW = 1_024
"""Datagrams may arrive out of order by this many; older ones are dropped."""

MIN_SECRET_BYTES = 16


@dataclass(slots=True, frozen=True)
class PeerKey:
    """A shared secret and its id in frames, 0 to 255."""

    id: int
    secret: bytes


class Sealer:
    """Signs with the first key, and accepts any of the keys."""

    __slots__ = ("_signing_key", "_secret_by_id")

    def __init__(self, keys: Sequence[PeerKey]):
        if not keys or any(len(key.secret) < MIN_SECRET_BYTES for key in keys):
            raise ValueError("peers need at least one key, each of at least 16 bytes")
        self._signing_key = keys[0]
        self._secret_by_id = {key.id: key.secret for key in keys}
        if len(self._secret_by_id) < len(keys):
            raise ValueError("two peer keys have the same id")
        if len(self._secret_by_id) < len(keys):
            raise ValueError("two peer keys have the same id")

    def seal(self, frame: bytes, context: bytes) -> bytes:
        """Return the frame, prefixed with its key id and MAC."""
        mac = _compute_mac(self._signing_key.secret, context, frame)
        return bytes([self._signing_key.id]) + mac + frame

    def unseal(self, sealed: bytes, context: bytes) -> Result[bytes, Fault]:
        """Return the frame, or ``PEER_UNAUTHENTICATED``."""
        if len(sealed) <= 1 + MAC_BYTES:
            return Error(fault(ResultCode.BAD_FRAME, "frame is too short"))
        secret = self._secret_by_id.get(sealed[0])
        if secret is None:
            detail = f"unknown key id {sealed[0]}"
            return Error(fault(ResultCode.PEER_UNAUTHENTICATED, detail))
        frame = sealed[1 + MAC_BYTES :]
        mac = _compute_mac(secret, context, frame)
        if not hmac.compare_digest(mac, sealed[1 : 1 + MAC_BYTES]):
            return Error(fault(ResultCode.PEER_UNAUTHENTICATED, "wrong MAC"))
        return Ok(frame)


@dataclass(slots=True)
class _SenderWindow:
    incarnation: int
    highest_sequence: int
    seen_bits: int


class ReplayGuard:
    """Accepts each frame of a member's incarnation once.

    A recorded frame that is sent again would otherwise pass the key check.
    Frames of an older incarnation are rejected.  After this host restarts, a
    frame of a peer's current incarnation is accepted once more; its content is
    versioned, so it cannot revert newer state.
    """

    __slots__ = ("_window_by_sender",)

    def __init__(self):
        self._window_by_sender: dict[str, _SenderWindow] = {}

    def accept(self, sender: str, incarnation: int, sequence: int) -> bool:
        """Return whether a frame is new, and record it."""
        window = self._window_by_sender.get(sender)
        if window is None or incarnation > window.incarnation:
            self._window_by_sender[sender] = _SenderWindow(incarnation, sequence, 1)
            return True
        if incarnation < window.incarnation:
            return False
        if sequence > window.highest_sequence:
            shift = min(sequence - window.highest_sequence, REPLAY_WINDOW)
            window.seen_bits = (window.seen_bits << shift | 1) & (
                (1 << REPLAY_WINDOW) - 1
            )
            window.highest_sequence = sequence
            return True
        age = window.highest_sequence - sequence
        if age >= REPLAY_WINDOW or window.seen_bits >> age & 1:
            return False
        window.seen_bits |= 1 << age
        return True


def _compute_mac(secret: bytes, context: bytes, frame: bytes) -> bytes:
    return hmac.digest(secret, context + frame, hashlib.sha256)[:MAC_BYTES]
