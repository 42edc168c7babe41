"""Cap'n Proto forms of the messages about the fleet between entry hosts.

pycapnp serves as a codec only: its own RPC needs another event loop.  A message
that does not decode, or is larger than its limits, is returned as ``BAD_FRAME``.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import TypeVar

import capnp
from expression import Result

from radishfield.core import (
    Fault,
    LayerRange,
    LoadReport,
    StoredObject,
)
from radishfield.fleet._facts import FactVersion
from radishfield.fleet._packed import read_packed

T = TypeVar("T")

_schema = capnp.load(str(Path(__file__).with_name("fleet.capnp")))

TRAVERSAL_WORDS = 1 << 19
"""4 MB: bounds the unpacked size of a message, whatever size it declares."""


def decode(
    kind, payload: bytes, convert: Callable[[object], T], words: int = TRAVERSAL_WORDS
) -> Result[T, Fault]:
    """Decode and convert a packed message; a malformed one returns a fault."""
    return read_packed(kind, payload, convert, words)


def encode_facts(facts: Sequence[StoredObject]) -> bytes:
    """Encode a batch of facts."""
    message = _schema.FactBatch.new_message()
    _fill_facts(message.init("facts", len(facts)), facts)
    return message.to_bytes_packed()


def decode_facts(payload: bytes) -> Result[Sequence[StoredObject], Fault]:
    """Decode a batch of facts."""
    return decode(_schema.FactBatch, payload, lambda batch: _facts(batch.facts))


def encode_sync_question(bucket_digests: Sequence[int]) -> bytes:
    """Encode the digests of the requesting host's table."""
    message = _schema.SyncQuestion.new_message(bucketDigests=list(bucket_digests))
    return message.to_bytes_packed()


def decode_sync_question(payload: bytes) -> Result[Sequence[int], Fault]:
    """Decode the digests of the requesting host's table."""
    return decode(
        _schema.SyncQuestion, payload, lambda request: list(request.bucketDigests)
    )


def encode_sync_answer(
    is_filled: bool, versions: Sequence[FactVersion], bucket_digests: Sequence[int]
) -> bytes:
    """Encode the versions at the answering host where the digests differ."""
    message = _schema.SyncAnswer.new_message(
        isKnown=is_filled, bucketDigests=list(bucket_digests)
    )
    _fill_versions(message.init("versions", len(versions)), versions)
    return message.to_bytes_packed()


def decode_sync_answer(
    payload: bytes,
) -> Result[tuple[bool, Sequence[FactVersion], Sequence[int]], Fault]:
    """Decode whether the other host knows its table, its versions and digests."""
    return decode(
        _schema.SyncAnswer,
        payload,
        lambda answer: (
            answer.isKnown,
            _versions(answer.versions),
            list(answer.bucketDigests),
        ),
    )


def encode_exchange(
    wanted: Sequence[FactVersion], offered: Sequence[StoredObject]
) -> bytes:
    """Encode the requested facts and the newer ones sent along."""
    message = _schema.SyncExchange.new_message()
    _fill_versions(message.init("wanted", len(wanted)), wanted)
    _fill_facts(message.init("offered", len(offered)), offered)
    return message.to_bytes_packed()


def decode_exchange(
    payload: bytes,
) -> Result[tuple[Sequence[FactVersion], Sequence[StoredObject]], Fault]:
    """Decode the requested facts and the newer ones sent along."""
    return decode(
        _schema.SyncExchange,
        payload,
        lambda exchange: (_versions(exchange.wanted), _facts(exchange.offered)),
    )


def encode_versions(versions: Sequence[FactVersion]) -> bytes:
    """Encode the versions active at a host."""
    message = _schema.ProfileVersions.new_message()
    _fill_versions(message.init("versions", len(versions)), versions)
    return message.to_bytes_packed()


def decode_versions(payload: bytes) -> Result[Sequence[FactVersion], Fault]:
    """Decode the versions active at a host."""
    return decode(
        _schema.ProfileVersions, payload, lambda answer: _versions(answer.versions)
    )


@dataclass(slots=True, frozen=True)
class BriefLoad:
    """The fields of a load report that change frequently."""

    target_hash: int
    in_flight: int
    queued: int
    step_s: float


@dataclass(slots=True, frozen=True)
class LoadBatch:
    """Complete load reports, and brief ones for targets reported completely before."""

    reports: Sequence[LoadReport]
    briefs: Sequence[BriefLoad]


def encode_loads(batch: LoadBatch) -> bytes:
    """Encode a batch of load reports; counts are capped at 65,535."""
    message = _schema.LoadBatch.new_message(
        targetHashes=[brief.target_hash for brief in batch.briefs],
        inFlight=[min(brief.in_flight, 0xFFFF) for brief in batch.briefs],
        queued=[min(brief.queued, 0xFFFF) for brief in batch.briefs],
        stepMs=[min(round(brief.step_s * 1e3), 0xFFFF) for brief in batch.briefs],
    )
    entries = message.init("reports", len(batch.reports))
    for entry, report in zip(entries, batch.reports, strict=True):
        _fill_load_report(entry, report)
    return message.to_bytes_packed()


def decode_loads(payload: bytes) -> Result[LoadBatch, Fault]:
    """Decode a batch of load reports."""
    return decode(_schema.LoadBatch, payload, _load_batch)


def _load_batch(reader) -> LoadBatch:
    columns = (reader.targetHashes, reader.inFlight, reader.queued, reader.stepMs)
    briefs = [
        BriefLoad(target_hash, in_flight, queued, step_ms / 1e3)
        for target_hash, in_flight, queued, step_ms in zip(*columns, strict=True)
    ]
    return LoadBatch([_load_report(entry) for entry in reader.reports], briefs)


def _fill_load_report(entry, report: LoadReport) -> None:
    entry.targetId = report.target_id
    entry.incarnation = report.incarnation
    entry.firstLayer = report.layers.first
    entry.endLayer = report.layers.end
    entry.model = report.model
    entry.modelVersion = report.model_version
    entry.inFlight = report.in_flight
    entry.queued = report.queued
    entry.slots = report.slots
    entry.stepUs = min(int(report.step_s * 1e6), 0xFFFFFFFF)
    entry.leaving = report.leaving
    entry.checksFencing = report.checks_fencing
    entry.measuredMsAgo = min(int(report.measured_s_ago * 1e3), 0xFFFFFFFF)


def _load_report(entry) -> LoadReport:
    return LoadReport(
        target_id=entry.targetId,
        incarnation=entry.incarnation,
        layers=LayerRange(entry.firstLayer, entry.endLayer),
        model=entry.model,
        model_version=entry.modelVersion,
        in_flight=entry.inFlight,
        queued=entry.queued,
        slots=entry.slots,
        step_s=entry.stepUs / 1e6,
        leaving=entry.leaving,
        checks_fencing=entry.checksFencing,
        measured_s_ago=entry.measuredMsAgo / 1e3,
    )


def _fill_facts(entries, facts: Sequence[StoredObject]) -> None:
    for entry, fact in zip(entries, facts, strict=True):
        entry.kind = fact.kind
        entry.name = fact.name
        entry.version = fact.version
        entry.value = fact.value


def _facts(entries) -> list[StoredObject]:
    return [
        StoredObject(entry.kind, entry.name, entry.version, bytes(entry.value))
        for entry in entries
    ]


def _fill_versions(entries, versions: Sequence[FactVersion]) -> None:
    for entry, version in zip(entries, versions, strict=True):
        entry.kind = version.kind
        entry.name = version.name
        entry.version = version.version


def _versions(entries) -> list[FactVersion]:
    return [FactVersion(entry.kind, entry.name, entry.version) for entry in entries]
