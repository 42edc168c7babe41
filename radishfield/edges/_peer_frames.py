"""Frames between entry hosts, as typed values and as packed Cap'n Proto."""

from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import capnp
from expression import Error, Ok, Result

from radishfield.core import Fault, MemberState, ResultCode, fault
from radishfield.fleet import Update, read_packed

SCHEMA_VERSION = 1
"""Increased when an older host would misread a frame, not when a field is added."""

ACCEPTED_VERSIONS = (1,)
"""During a rolling upgrade: the current version and the previous one."""

MAX_DATAGRAM_BYTES = 1_400
"""Fits one Ethernet packet; losing any fragment loses a fragmented datagram."""

MAX_MESSAGE_BYTES = 2 << 20
"""A platform value has up to a megabyte and is sent in one message."""

_FRAME_WORDS = 4_096
_MESSAGE_WORDS = 1 << 19
# Traversal limits of 32 KB and 4 MB: a few packed bytes can expand to far more.

_schema = capnp.load(str(Path(__file__).with_name("peer.capnp")))


@dataclass(slots=True, frozen=True)
class Ping:
    """Requests an `Ack` from a member."""


@dataclass(slots=True, frozen=True)
class Ack:
    """Answers a `Ping` or a `Relay`."""


@dataclass(slots=True, frozen=True)
class Relay:
    """Requests a probe of the member at an address on the sender's behalf."""

    address: str


@dataclass(slots=True, frozen=True)
class News:
    """A datagram for the handler of a topic."""

    topic: str
    payload: bytes


@dataclass(slots=True, frozen=True)
class Frame:
    """One datagram; ``sender`` is the sending host's update about itself."""

    sender: Update
    sequence: int
    digest: int
    number: int
    body: Ping | Ack | Relay | News
    updates: tuple[Update, ...] = ()


@dataclass(slots=True, frozen=True)
class Question:
    """A request on a connection; a host rejects one for another recipient."""

    sender: str
    recipient: str
    number: int
    topic: str
    payload: bytes


@dataclass(slots=True, frozen=True)
class Answer:
    """The answer to the request of the same number."""

    number: int
    result: Result[bytes, Fault]


def encode_frame(frame: Frame) -> bytes:
    """Return a frame's packed form."""
    message = _schema.Frame.new_message(
        schemaVersion=SCHEMA_VERSION,
        sequence=frame.sequence,
        digest=frame.digest,
        number=frame.number,
    )
    _fill_update(message.init("sender"), frame.sender)
    entries = message.init("updates", len(frame.updates))
    for entry, update in zip(entries, frame.updates, strict=True):
        _fill_update(entry, update)
    match frame.body:
        case Ping():
            message.body.ping = None
        case Ack():
            message.body.ack = None
        case Relay(address):
            message.body.relay = address
        case News(topic, payload):
            news = message.body.init("news")
            news.topic = topic
            news.payload = payload
    return message.to_bytes_packed()


def decode_frame(data: bytes) -> Result[Frame, Fault]:
    """Return the frame, or why it is dropped."""
    return read_packed(_schema.Frame, data, _parse_frame, _FRAME_WORDS).bind(
        _check_version
    )


def encode_question(question: Question) -> bytes:
    """Return a request's packed form."""
    return _schema.Question.new_message(
        schemaVersion=SCHEMA_VERSION,
        sender=question.sender,
        recipient=question.recipient,
        number=question.number,
        topic=question.topic,
        payload=question.payload,
    ).to_bytes_packed()


def decode_question(data: bytes) -> Result[Question, Fault]:
    """Return the request, or why it is dropped."""
    parsed = read_packed(_schema.Question, data, _parse_question, _MESSAGE_WORDS)
    return parsed.bind(_check_version)


def encode_answer(answer: Answer) -> bytes:
    """Return an answer's packed form."""
    message = _schema.Answer.new_message(number=answer.number)
    match answer.result:
        case Result(tag="ok", ok=payload):
            message.payload = payload
        case Result(tag="error", error=problem):
            message.faultCode = int(problem.code)
            message.faultDetail = problem.detail
            message.retryAfterMs = int((problem.retry_after_s or 0.0) * 1_000)
    return message.to_bytes_packed()


def decode_answer(data: bytes) -> Result[Answer, Fault]:
    """Return the answer, or why it is dropped."""
    return read_packed(_schema.Answer, data, _parse_answer, _MESSAGE_WORDS)


def encode_updates(updates: Sequence[Update]) -> bytes:
    """Return the packed form of a complete member list."""
    message = _schema.Updates.new_message()
    entries = message.init("updates", len(updates))
    for entry, update in zip(entries, updates, strict=True):
        _fill_update(entry, update)
    return message.to_bytes_packed()


def decode_updates(data: bytes) -> Result[Sequence[Update], Fault]:
    """Return a complete member list, or why it is dropped."""
    return read_packed(
        _schema.Updates,
        data,
        lambda reader: [_parse_update(entry) for entry in reader.updates],
        _MESSAGE_WORDS,
    )


@dataclass(slots=True, frozen=True)
class _Versioned:
    """A message and the schema version it was written with."""

    schema_version: int
    message: object


def _check_version(versioned: _Versioned) -> Result:
    if versioned.schema_version not in ACCEPTED_VERSIONS:
        detail = str(versioned.schema_version)
        return Error(fault(ResultCode.SCHEMA_VERSION, detail))
    return Ok(versioned.message)


def _parse_frame(reader) -> _Versioned:
    if reader.schemaVersion not in ACCEPTED_VERSIONS:
        return _Versioned(reader.schemaVersion, None)
    frame = Frame(
        sender=_parse_update(reader.sender),
        sequence=reader.sequence,
        digest=reader.digest,
        number=reader.number,
        body=_parse_body(reader.body),
        updates=tuple(_parse_update(entry) for entry in reader.updates),
    )
    return _Versioned(reader.schemaVersion, frame)


def _parse_question(reader) -> _Versioned:
    question = Question(
        reader.sender,
        reader.recipient,
        reader.number,
        reader.topic,
        bytes(reader.payload),
    )
    return _Versioned(reader.schemaVersion, question)


def _parse_answer(reader) -> Answer:
    result: Result[bytes, Fault] = Ok(bytes(reader.payload))
    if reader.faultCode:
        retry_after_s = reader.retryAfterMs / 1_000 or None
        code = ResultCode(reader.faultCode)
        result = Error(fault(code, reader.faultDetail, retry_after_s))
    return Answer(reader.number, result)


def _parse_body(reader) -> Ping | Ack | Relay | News:
    match reader.which():
        case "ping":
            return Ping()
        case "ack":
            return Ack()
        case "relay":
            return Relay(reader.relay)
        case "news":
            return News(reader.news.topic, bytes(reader.news.payload))
        case other:
            raise ValueError(f"unknown frame body {other}")


def _fill_update(entry, update: Update) -> None:
    entry.id = update.id
    entry.zone = update.zone
    entry.address = update.address
    entry.incarnation = update.incarnation
    entry.refutation = update.refutation
    entry.state = update.state.value
    if update.accuser:
        entry.accuser = update.accuser


def _parse_update(entry) -> Update:
    return Update(
        id=entry.id,
        zone=entry.zone,
        address=entry.address,
        incarnation=entry.incarnation,
        refutation=entry.refutation,
        state=MemberState(str(entry.state)),
        accuser=entry.accuser,
    )
