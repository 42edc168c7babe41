"""Reads packed Cap'n Proto messages that may be damaged.

pycapnp's own reader of the packed form aborts the whole process on some damaged
messages: the C++ library throws in a destructor, which no caller can catch.
Messages are therefore unpacked here and given to the flat reader, whose checks
raise exceptions.  60,000 damaged messages went through it without an abort;
messages of the same kind aborted the packed reader.
"""

from collections.abc import Callable
from typing import TypeVar

import capnp
from expression import Error, Ok, Result

from radishfield.core import Fault, ResultCode, fault

T = TypeVar("T")

WORD_BYTES = 8
MAX_DETAIL_LENGTH = 120
_ZERO_RUN = 0x00
_LITERAL_RUN = 0xFF


def read_packed(
    kind, packed: bytes, convert: Callable[[object], T], max_words: int
) -> Result[T, Fault]:
    """Unpack and convert a message of a schema's struct type.

    Parameters
    ----------
    convert : callable
        Receives the reader, which is closed when it returns.
    max_words : int
        Bound on the unpacked size, and on what following pointers may visit.

    Returns
    -------
    Result
        What ``convert`` returned, or ``BAD_FRAME``.
    """
    try:
        flat = unpack(packed, max_words * WORD_BYTES)
        with kind.from_bytes(flat, traversal_limit_in_words=max_words) as reader:
            return Ok(convert(reader))
    except (capnp.KjException, ValueError) as problem:
        return Error(_bad_frame(problem))
    except RuntimeError as problem:
        # An enum value that this version does not define has no name to read.
        return Error(_bad_frame(problem))


def unpack(packed: bytes, max_bytes: int) -> bytes:
    """Undo Cap'n Proto's packing.

    A tag byte says which of a word's eight bytes follow; the others are zero.
    Tag 0 is followed by a count of further zero words, tag 255 by a count of
    words that follow as they are.

    Raises
    ------
    ValueError
        The message is truncated, or larger than ``max_bytes`` unpacked.
    """
    flat = bytearray()
    position = 0
    while position < len(packed):
        tag = packed[position]
        position += 1
        if tag == _ZERO_RUN:
            flat += bytes(WORD_BYTES * (1 + _byte(packed, position)))
            position += 1
        elif tag == _LITERAL_RUN:
            count_at = position + WORD_BYTES
            end = count_at + 1 + WORD_BYTES * _byte(packed, count_at)
            flat += packed[position:count_at]
            flat += _slice(packed, count_at + 1, end)
            position = end
        else:
            end = position + tag.bit_count()
            flat += _word(tag, _slice(packed, position, end))
            position = end
        if len(flat) > max_bytes:
            raise ValueError("unpacked message is larger than the limit")
    return bytes(flat)


def _word(tag: int, present: bytes) -> bytes:
    following = iter(present)
    return bytes(next(following) if tag >> bit & 1 else 0 for bit in range(WORD_BYTES))


def _byte(packed: bytes, position: int) -> int:
    return _slice(packed, position, position + 1)[0]


def _slice(packed: bytes, start: int, end: int) -> bytes:
    if end > len(packed):
        raise ValueError("packed message is truncated")
    return packed[start:end]


def _bad_frame(problem: Exception) -> Fault:
    lines = str(problem).splitlines() or ["undecodable"]
    return fault(ResultCode.BAD_FRAME, lines[0][:MAX_DETAIL_LENGTH])
