"""Messages about claims as Cap'n Proto bytes; pycapnp serves as codec only."""

from dataclasses import dataclass
from pathlib import Path

import capnp
from expression import Error, Result

from radishfield.core import Fault, ResultCode, fault
from radishfield.fleet._claims_book import MAX_ANSWER_BYTES, ClaimRecord, ClaimState
from radishfield.fleet._packed import read_packed

_schema = capnp.load(str(Path(__file__).with_name("claims.capnp")))

MAX_MESSAGE_BYTES = MAX_ANSWER_BYTES + 4 * 1024
MAX_LIFETIME_S = 24 * 3600.0
_TRAVERSAL_WORDS = 64 * 1024


@dataclass(slots=True, frozen=True)
class StateAsk:
    """Asks a host how the run behind a claim went."""

    place: str
    claim_id: str


def encode_ask(ask: StateAsk) -> bytes:
    """Return the bytes of a question."""
    message = _schema.StateAsk.new_message(place=ask.place, claimId=ask.claim_id)
    return message.to_bytes_packed()


def decode_ask(payload: bytes) -> Result[StateAsk, Fault]:
    """Return the question, or what is wrong with the bytes."""
    return _decoded(
        _schema.StateAsk,
        payload,
        lambda message: StateAsk(message.place, message.claimId),
    )


def encode_record(record: ClaimRecord, now: float) -> bytes:
    """Return the bytes of a record, for a copy of its answer."""
    message = _schema.Record.new_message()
    _fill(message, record, now)
    return message.to_bytes_packed()


def decode_record(payload: bytes, now: float) -> Result[ClaimRecord, Fault]:
    """Return the record, or what is wrong with the bytes."""
    return _decoded(_schema.Record, payload, lambda message: _record(message, now))


def encode_state(record: ClaimRecord | None, now: float) -> bytes:
    """Return the bytes of a host's account of a claim."""
    message = _schema.StateAnswer.new_message(isFound=record is not None)
    if record is not None:
        _fill(message.record, record, now)
    return message.to_bytes_packed()


def decode_state(payload: bytes, now: float) -> Result[ClaimRecord | None, Fault]:
    """Return the host's account, or what is wrong with the bytes."""
    return _decoded(
        _schema.StateAnswer,
        payload,
        lambda message: _record(message.record, now) if message.isFound else None,
    )


def _fill(message, record: ClaimRecord, now: float) -> None:
    message.place = record.place
    message.digest = record.digest
    message.claimId = record.claim_id
    message.hostId = record.host_id
    message.lifetimeSeconds = max(0.0, record.expires_at - now)
    message.state = record.state.value
    message.hasAnswer = record.answer is not None
    message.answer = record.answer or b""


def _record(message, now: float) -> ClaimRecord:
    lifetime_s = min(max(0.0, message.lifetimeSeconds), MAX_LIFETIME_S)
    return ClaimRecord(
        message.place,
        message.digest,
        message.claimId,
        message.hostId,
        now + lifetime_s,
        ClaimState(str(message.state)),
        bytes(message.answer) if message.hasAnswer else None,
    )


def _decoded(kind, payload: bytes, read) -> Result:
    if len(payload) > MAX_MESSAGE_BYTES:
        return Error(fault(ResultCode.FRAME_TOO_LARGE, f"{len(payload)} bytes"))
    return read_packed(kind, payload, read, _TRAVERSAL_WORDS)
