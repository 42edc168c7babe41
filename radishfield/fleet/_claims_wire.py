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
    """Query for the state of the run behind a claim."""

    place: str
    claim_id: str


def encode_ask(ask: StateAsk) -> bytes:
    """Return the bytes of a state query."""
    message = _schema.StateAsk.new_message(place=ask.place, claimId=ask.claim_id)
    return message.to_bytes_packed()


def decode_ask(payload: bytes) -> Result[StateAsk, Fault]:
    """Return the state query, or a fault if the bytes are malformed."""
    return _decode(
        _schema.StateAsk,
        payload,
        lambda message: StateAsk(message.place, message.claimId),
    )


def encode_record(record: ClaimRecord, now: float) -> bytes:
    """Return the bytes of a record, to copy its answer to another host."""
    message = _schema.Record.new_message()
    _fill_record(message, record, now)
    return message.to_bytes_packed()


def decode_record(payload: bytes, now: float) -> Result[ClaimRecord, Fault]:
    """Return the record, or a fault if the bytes are malformed."""
    return _decode(_schema.Record, payload, lambda message: _read_record(message, now))


def encode_state(record: ClaimRecord | None, now: float) -> bytes:
    """Return the bytes of the answer to a state query."""
    message = _schema.StateAnswer.new_message(isFound=record is not None)
    if record is not None:
        _fill_record(message.record, record, now)
    return message.to_bytes_packed()


def decode_state(payload: bytes, now: float) -> Result[ClaimRecord | None, Fault]:
    """Return the record in the answer, if any, or a fault if it is malformed."""
    return _decode(
        _schema.StateAnswer,
        payload,
        lambda message: _read_record(message.record, now) if message.isFound else None,
    )


def _fill_record(message, record: ClaimRecord, now: float) -> None:
    message.place = record.place
    message.digest = record.digest
    message.claimId = record.claim_id
    message.hostId = record.host_id
    message.lifetimeSeconds = max(0.0, record.expires_at - now)
    message.state = record.state.value
    message.hasAnswer = record.answer is not None
    message.answer = record.answer or b""


def _read_record(message, now: float) -> ClaimRecord:
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


def _decode(struct_type, payload: bytes, read) -> Result:
    if len(payload) > MAX_MESSAGE_BYTES:
        return Error(fault(ResultCode.FRAME_TOO_LARGE, f"{len(payload)} bytes"))
    return read_packed(struct_type, payload, read, _TRAVERSAL_WORDS)
