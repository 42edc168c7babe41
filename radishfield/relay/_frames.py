"""The messages by which one host asks another to connect it to a target.

The host that is asked sends a challenge first.  Request and reply carry a MAC over the
challenge by the key that only entry hosts have, so that neither can be forged or sent
again.  The target's bytes follow in frames: only a frame of length 0 says that the
target closed the connection, since the end of an answer without a length must not be
mistaken for the end of the host in between.
"""

import hashlib
import hmac
import secrets
import struct

import msgspec
from expression import Error, Ok, Result

from radishfield.core import UNREADABLE_ERRORS, Fault, ResultCode, fault

MAGIC = b"RFR1"
NONCE_BYTES = 16
CHALLENGE_BYTES = len(MAGIC) + NONCE_BYTES
MAC_BYTES = 16
LENGTH = struct.Struct(">H")
REPLY = struct.Struct(">H")
REPLY_BYTES = REPLY.size + MAC_BYTES
CHUNK = struct.Struct(">I")
MAX_REQUEST_BYTES = 512
MAX_CHUNK_BYTES = 64 << 10
KEY_BYTES = 32


class RelayRequest(msgspec.Struct, array_like=True):
    """A host asks for a connection to a target."""

    host_id: str
    address: str


def new_challenge() -> bytes:
    """Return the first bytes of a connection between hosts."""
    return MAGIC + secrets.token_bytes(NONCE_BYTES)


def encode_request(key: bytes, challenge: bytes, request: RelayRequest) -> bytes:
    """Return a request with its length and MAC."""
    body = msgspec.msgpack.encode(request)
    return LENGTH.pack(len(body)) + body + _mac(key, b"request", challenge, body)


def decode_request(
    key: bytes, challenge: bytes, body: bytes, mac: bytes
) -> Result[RelayRequest, Fault]:
    """Return the request, or ``PEER_UNAUTHENTICATED`` or ``BAD_FRAME``."""
    if not hmac.compare_digest(mac, _mac(key, b"request", challenge, body)):
        return Error(fault(ResultCode.PEER_UNAUTHENTICATED, "wrong MAC"))
    try:
        return Ok(msgspec.msgpack.decode(body, type=RelayRequest))
    except UNREADABLE_ERRORS as problem:
        return Error(fault(ResultCode.BAD_FRAME, str(problem)))


def encode_reply(key: bytes, challenge: bytes, code: ResultCode) -> bytes:
    """Return a reply: the code ``FINISHED`` says that the target is connected."""
    body = REPLY.pack(code)
    return body + _mac(key, b"reply", challenge, body)


def decode_reply(key: bytes, challenge: bytes, reply: bytes) -> Result[None, Fault]:
    """Return nothing if the target is connected, or the fault that the host named."""
    body, mac = reply[: REPLY.size], reply[REPLY.size :]
    (number,) = REPLY.unpack(body)
    if not hmac.compare_digest(mac, _mac(key, b"reply", challenge, body)):
        # Without the key the other host can only say that it does not know this one.
        return Error(fault(ResultCode.PEER_UNAUTHENTICATED, f"reply {number}"))
    if number == ResultCode.FINISHED:
        return Ok(None)
    try:
        return Error(fault(ResultCode(number), "other host"))
    except ValueError:
        return Error(fault(ResultCode.BAD_FRAME, f"reply {number}"))


def _mac(key: bytes, purpose: bytes, challenge: bytes, body: bytes) -> bytes:
    digest = hmac.new(key, purpose + challenge + body, hashlib.sha256).digest()
    return digest[:MAC_BYTES]
