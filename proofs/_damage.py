"""Fuzzes the decoders of messages between hosts, in a separate process.

A damaged packed message can crash the whole process inside the codec.  The test
that starts this module then sees the signal instead of crashing as well.
"""

import functools
import sys

from hypothesis import given
from hypothesis import strategies as st

from proofs._profiles import ci_profile
from radishfield.core import ResultCode, StoredObject
from radishfield.edges import _peer_frames as frames
from radishfield.fleet import FactVersion, Update, _claims_wire, _wire
from radishfield.fleet._claims_book import ClaimRecord

EXAMPLES = 1_500
NOW = 100.0
FACT = StoredObject("profile", "review", 3, b"{}" * 20)
RECORD = ClaimRecord("place", "digest", "id@h0.1.1", "h0", 500.0)
UPDATE = Update("h9", "z0", "h9:1", 7)
REFUSALS = frozenset(
    {ResultCode.BAD_FRAME, ResultCode.FRAME_TOO_LARGE, ResultCode.SCHEMA_VERSION}
)

# Each decoder with a valid message.
GOOD_BY_DECODER = {
    frames.decode_frame: frames.encode_frame(
        frames.Frame(UPDATE, 1, 5, 6, frames.News("t", b"payload"), updates=(UPDATE,))
    ),
    frames.decode_question: frames.encode_question(
        frames.Question("h1", "h2", 4, "t", b"p")
    ),
    frames.decode_updates: frames.encode_updates((UPDATE, UPDATE)),
    _wire.decode_facts: _wire.encode_facts((FACT, FACT)),
    _wire.decode_sync_question: _wire.encode_sync_question((1, 2, 3)),
    _wire.decode_sync_answer: _wire.encode_sync_answer(
        True, (FactVersion("profile", "review", 3),), (1, 2)
    ),
    _wire.decode_exchange: _wire.encode_exchange(
        (FactVersion("profile", "review", 3),), (FACT,)
    ),
    _claims_wire.decode_ask: _claims_wire.encode_ask(
        _claims_wire.StateAsk("place", "id@h0.1.1")
    ),
    functools.partial(_claims_wire.decode_record, now=NOW): _claims_wire.encode_record(
        RECORD, NOW
    ),
    functools.partial(_claims_wire.decode_state, now=NOW): _claims_wire.encode_state(
        RECORD, NOW
    ),
}
DECODERS = list(GOOD_BY_DECODER)


@st.composite
def damaged(draw, good: bytes) -> bytes:
    """Return a message that is truncated, extended, or has bytes changed."""
    data = bytearray(good)
    for _ in range(draw(st.integers(0, 4))):
        if data:
            data[draw(st.integers(0, len(data) - 1))] = draw(st.integers(0, 255))
    end = draw(st.integers(0, len(data)))
    tail = draw(st.sampled_from((b"", b"\0" * 16, b"\xff" * 64, bytes(data))))
    return draw(st.sampled_from((bytes(data), bytes(data[:end]), bytes(data) + tail)))


def check_good_messages() -> None:
    """Check that each decoder accepts its undamaged message."""
    for decode, good in GOOD_BY_DECODER.items():
        assert decode(good).is_ok(), decode


@ci_profile(EXAMPLES)
@given(index=st.integers(0, len(DECODERS) - 1), data=st.data())
def check_damaged_messages(index: int, data) -> None:
    """Check that damage comes back as a numbered value."""
    decode = DECODERS[index]
    decoded = decode(data.draw(damaged(GOOD_BY_DECODER[decode])))
    if decoded.is_error():
        assert decoded.error.code in REFUSALS, decoded.error


if __name__ == "__main__":
    check_good_messages()
    check_damaged_messages()
    sys.exit(0)
