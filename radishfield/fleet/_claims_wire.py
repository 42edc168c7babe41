"""Messages about claims as Cap'n Proto bytes; pycapnp serves as codec only."""

from dataclasses import dataclass, replace
from pathlib import Path

import capnp
from expression import Error, Ok, Result

from radishfield.core import Fault, ResultCode, fault
from radishfield.fleet._claims_book import MAX_ANSWER_BYTES, ClaimRecord, ClaimState
from radishfield.fleet._claims_keepers import KnownHost

_schema = capnp.load(str(Path(__file__).with_name("claims.capnp")))

# Largest message: an answer and a record, or the ids of a thousand hosts.
MAX_MESSAGE_BYTES = MAX_ANSWER_BYTES + 64 * 1024
MAX_LIFETIME_S = 24 * 3600.0
_TRAVERSAL_WORDS = 64 * 1024


@dataclass(slots=True, frozen=True)
class RecordAsk:
    """Asks a keeper to record a claim."""

    record: ClaimRecord
    known_digest: int
    superseded: tuple[str, ...] = ()


@dataclass(slots=True, frozen=True)
class RecordAnswer:
    """A keeper's vote.

    Attributes
    ----------
    vouches : bool
        Whether the keeper remembers every claim that may still be in force.
    held : ClaimRecord or None
        The claim that stands in the way.
    """

    is_recorded: bool
    vouches: bool
    held: ClaimRecord | None = None
    known: tuple[KnownHost, ...] = ()


@dataclass(slots=True, frozen=True)
class BookPage:
    """A part of a keeper's book; answers are left out."""

    vouches: bool
    is_last: bool
    records: tuple[ClaimRecord, ...]


def encode_ask(ask: RecordAsk, now: float) -> bytes:
    """Return the bytes of a question to a keeper."""
    message = _schema.RecordAsk.new_message(
        knownDigest=ask.known_digest, superseded=list(ask.superseded)
    )
    _fill(message.record, ask.record, now)
    return message.to_bytes_packed()


def decode_ask(payload: bytes, now: float) -> Result[RecordAsk, Fault]:
    """Return the question, or what is wrong with the bytes."""
    return _decoded(
        _schema.RecordAsk,
        payload,
        lambda message: RecordAsk(
            _record(message.record, now),
            message.knownDigest,
            tuple(message.superseded),
        ),
    )


def encode_answer(answer: RecordAnswer, now: float) -> bytes:
    """Return the bytes of a keeper's vote."""
    message = _schema.RecordAnswer.new_message(
        isRecorded=answer.is_recorded,
        vouches=answer.vouches,
        isHeld=answer.held is not None,
        known=[{"id": host.id, "zone": host.zone} for host in answer.known],
    )
    if answer.held is not None:
        _fill(message.held, answer.held, now)
    return message.to_bytes_packed()


def decode_answer(payload: bytes, now: float) -> Result[RecordAnswer, Fault]:
    """Return the keeper's vote, or what is wrong with the bytes."""
    return _decoded(
        _schema.RecordAnswer,
        payload,
        lambda message: RecordAnswer(
            message.isRecorded,
            message.vouches,
            _record(message.held, now) if message.isHeld else None,
            tuple(KnownHost(host.id, host.zone) for host in message.known),
        ),
    )


def encode_record(record: ClaimRecord, now: float) -> bytes:
    """Return the bytes of a record, to settle it or to ask for its state."""
    message = _schema.Record.new_message()
    _fill(message, record, now)
    return message.to_bytes_packed()


def decode_record(payload: bytes, now: float) -> Result[ClaimRecord, Fault]:
    """Return the record, or what is wrong with the bytes."""
    return _decoded(_schema.Record, payload, lambda message: _record(message, now))


def encode_state(record: ClaimRecord | None, now: float) -> bytes:
    """Return the bytes of a claimant's account of a claim of its own."""
    message = _schema.StateAnswer.new_message(isFound=record is not None)
    if record is not None:
        _fill(message.record, record, now)
    return message.to_bytes_packed()


def decode_state(payload: bytes, now: float) -> Result[ClaimRecord | None, Fault]:
    """Return the claimant's account, or what is wrong with the bytes."""
    return _decoded(
        _schema.StateAnswer,
        payload,
        lambda message: _record(message.record, now) if message.isFound else None,
    )


def encode_book_ask(after: tuple[str, str]) -> bytes:
    """Return the bytes of a question for the book after a place."""
    workspace, key = after
    message = _schema.BookAsk.new_message(afterWorkspace=workspace, afterKey=key)
    return message.to_bytes_packed()


def decode_book_ask(payload: bytes) -> Result[tuple[str, str], Fault]:
    """Return the place after which the book is asked for."""
    return _decoded(
        _schema.BookAsk,
        payload,
        lambda message: (message.afterWorkspace, message.afterKey),
    )


def encode_page(page: BookPage, now: float) -> bytes:
    """Return the bytes of a part of a book."""
    message = _schema.BookAnswer.new_message(vouches=page.vouches, isLast=page.is_last)
    records = message.init("records", len(page.records))
    for each, record in zip(records, page.records, strict=True):
        _fill(each, record, now)
    return message.to_bytes_packed()


def decode_page(payload: bytes, now: float) -> Result[BookPage, Fault]:
    """Return a part of a book, or what is wrong with the bytes."""
    return _decoded(
        _schema.BookAnswer,
        payload,
        lambda message: BookPage(
            message.vouches,
            message.isLast,
            tuple(_record(record, now) for record in message.records),
        ),
    )


def _fill(message, record: ClaimRecord, now: float) -> None:
    message.workspace = record.workspace
    message.key = record.key
    message.digest = record.digest
    message.claimId = record.claim_id
    message.hostId = record.host_id
    message.startNumber = record.start_number
    # Hosts share no clock; what is left of the lifetime is the same everywhere.
    message.lifetimeSeconds = record.expires_at - now
    message.state = record.state.value
    message.hasAnswer = record.answer is not None
    message.answer = record.answer or b""


def _record(message, now: float) -> ClaimRecord:
    # A lifetime that is not a number never expires and would fill the book.
    if not 0 <= message.lifetimeSeconds <= MAX_LIFETIME_S:
        raise ValueError("lifetime out of range")
    record = ClaimRecord(
        message.workspace,
        message.key,
        message.digest,
        message.claimId,
        message.hostId,
        message.startNumber,
        now + message.lifetimeSeconds,
        ClaimState(str(message.state)),
    )
    if message.hasAnswer:
        return replace(record, answer=bytes(message.answer))
    return record


def _decoded(kind, payload: bytes, read) -> Result:
    if len(payload) > MAX_MESSAGE_BYTES:
        return Error(fault(ResultCode.FRAME_TOO_LARGE, f"{len(payload)} bytes"))
    try:
        message = kind.from_bytes_packed(
            payload, traversal_limit_in_words=_TRAVERSAL_WORDS
        )
        return Ok(read(message))
    except (capnp.KjException, ValueError, UnicodeDecodeError) as problem:
        return Error(fault(ResultCode.BAD_FRAME, str(problem).splitlines()[0]))
