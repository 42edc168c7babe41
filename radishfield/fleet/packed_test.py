"""Tests of reading packed messages that may be damaged."""

import random

import pytest

from radishfield.core import ResultCode
from radishfield.fleet import read_packed
from radishfield.fleet._claims_book import ClaimRecord
from radishfield.fleet._claims_wire import _schema, encode_record
from radishfield.fleet._packed import unpack

MAX_WORDS = 4096


def packed_record():
    return encode_record(ClaimRecord("p", "d", "c", "h", 9.0, answer=b"x" * 50), 0.0)


def test_packed_message_is_read_back():
    read = read_packed(
        _schema.Record, packed_record(), lambda record: record.claimId, MAX_WORDS
    )
    assert read.ok == "c"


def test_damaged_message_does_not_abort_the_process():
    """A peer's damaged message returns a numbered fault, whatever the damage.

    Bytes are changed, the end is truncated, or both.  pycapnp's packed reader
    aborts the process on some of these messages.
    """
    rng = random.Random(1)
    packed = packed_record()
    faults = 0
    for _ in range(3000):
        damaged = bytearray(packed)
        for _ in range(rng.randint(1, 4)):
            damaged[rng.randrange(len(damaged))] = rng.randrange(256)
        end = rng.randrange(len(damaged)) if rng.random() < 0.3 else None
        read = read_packed(
            _schema.Record,
            bytes(damaged[:end]),
            lambda record: (record.claimId, str(record.state), bytes(record.answer)),
            MAX_WORDS,
        )
        if read.is_error():
            assert read.error.code is ResultCode.BAD_FRAME
            faults += 1
    assert faults > 1000


@pytest.mark.parametrize("packed", [b"\x00", b"\xff12345678", b"\xff", b"\x03a"])
def test_a_truncated_message_is_refused(packed):
    with pytest.raises(ValueError):
        unpack(packed, 1 << 20)


def test_a_small_message_cannot_unpack_to_a_large_one():
    with pytest.raises(ValueError):
        unpack(b"\x00\xff" * 1000, 1 << 16)
