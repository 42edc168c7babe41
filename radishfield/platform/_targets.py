"""Decodes targets' entries and reports, and encodes the orders sent to them.

Entries may have other writers.  One that is not wholly of the published form names no
target, whichever of its fields is at fault.
"""

import re
from collections.abc import Mapping
from typing import Annotated

import msgspec
from expression import Error, Ok, Result

from radishfield.core import UNREADABLE_ERRORS, Fault, ResultCode, fault
from radishfield.routing import (
    LayerSpan,
    Path,
    TargetPhase,
    TargetRecord,
    TargetReport,
)
from radishfield.web import split_ip_address

REPORT_PATH = "/report"
ORDER_PATH = "/order"

_PHASE_BY_NAME = {"ready": TargetPhase.READY, "draining": TargetPhase.LEAVING}
_TARGET_ID = re.compile("[!-~]{1,256}")
"""An id is sent as a header's value."""
MAX_COUNT = 1 << 53
"""Largest whole number that every writer of JSON keeps exactly."""
MAX_SLOTS = 1 << 16
MAX_LAYERS = 1 << 16

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
Slots = Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
Layer = Annotated[int, msgspec.Meta(ge=0, le=MAX_LAYERS)]
Amount = Annotated[float, msgspec.Meta(ge=0, le=float(MAX_COUNT))]
# Control characters and U+FFFD, which stands for bytes that could not be read.
Text = Annotated[
    str, msgspec.Meta(pattern=r"\A[^\x00-\x1f\x7f-\x9f\ufffd]*\Z", max_length=256)
]


class _Layers(msgspec.Struct):
    first: Layer = msgspec.field(name="from")
    end: Layer = msgspec.field(name="target")
    """Exclusive end of the range, not a target as this project uses the word."""
    version: Count = 0

    def __post_init__(self):
        if self.end < self.first:
            raise ValueError("the layers end before they begin")


class _Entry(msgspec.Struct):
    service: Text
    address: str = msgspec.field(name="addr")
    zone: Text
    state: str
    slots: Slots
    software_version: Text = msgspec.field(name="version")
    cold_left_ms: float = msgspec.field(name="coldLeftMs")
    heartbeats: int = msgspec.field(name="seq")
    """Not the count of orders, which a report has by the same name."""
    started_ms: Count = msgspec.field(name="born", default=0)
    kind: Text = ""
    layers: _Layers | None = None


class _Stalled(msgspec.Struct):
    id: str
    address: str = msgspec.field(name="addr")


class _Report(msgspec.Struct, rename="camel"):
    busy: bool
    order_count: Count = msgspec.field(name="seq")
    started_ms: Count = msgspec.field(name="born", default=0)
    waiting: Count = 0
    running: Count = 0
    kv_used: Amount = 0.0
    kv_total: Amount = 0.0
    pace: Amount = 1.0
    layers: _Layers | None = None
    stalled: list[_Stalled] = []


class _PlaceOrder(msgspec.Struct, rename="camel", omit_defaults=True):
    operation: str
    strategy: str
    first: int = msgspec.field(name="from")
    end: int = msgspec.field(name="target")
    fence: int | None = None
    expected_orders: int | None = msgspec.field(name="expectRev", default=None)


class _RepathOrder(msgspec.Struct):
    operation: str
    id: str
    path: str


def decode_target(name: str, spec: object) -> Result[TargetRecord, Fault]:
    """Return the target of an entry, or a fault that says why there is none."""
    try:
        raw = msgspec.convert(spec, _Entry)
        split_ip_address(raw.address)
    except UNREADABLE_ERRORS as problem:
        return Error(fault(ResultCode.PLATFORM_MALFORMED, f"{name}: {problem}"))
    phase = _PHASE_BY_NAME.get(raw.state)
    if phase is None or not _TARGET_ID.fullmatch(name):
        detail = f"{name}: bad state {raw.state[:64]!r} or id"
        return Error(fault(ResultCode.PLATFORM_MALFORMED, detail))
    return Ok(
        TargetRecord(
            id=name,
            address=raw.address,
            service=raw.service,
            zone=raw.zone,
            phase=phase,
            slots=raw.slots,
            started_ms=raw.started_ms,
            accelerator=raw.kind,
            span=_span(raw.layers),
            weights_version=raw.layers.version if raw.layers else 0,
        )
    )


def read_beats(spec: Mapping[str, object]) -> int:
    """Return how often a target has written an entry that `decode_target` took."""
    return int(spec["seq"])


def decode_report(body: bytes) -> Result[TargetReport, Fault]:
    """Return a target's report on its work."""
    try:
        raw = msgspec.json.decode(body, type=_Report)
    except UNREADABLE_ERRORS as problem:
        return Error(fault(ResultCode.MALFORMED_ANSWER, str(problem)))
    return Ok(
        TargetReport(
            started_ms=raw.started_ms,
            busy=raw.busy,
            order_count=raw.order_count,
            waiting=raw.waiting,
            running=raw.running,
            cache_used=raw.kv_used,
            cache_total=raw.kv_total,
            pace=raw.pace,
            span=_span(raw.layers),
            stalled=tuple((item.id, item.address) for item in raw.stalled),
        )
    )


def encode_place_order(span: LayerSpan, fence: int, expected_orders: int) -> bytes:
    """Return the body of an order to hold exactly these layers."""
    order = _PlaceOrder("place", "queue", span.first, span.end, fence, expected_orders)
    return msgspec.json.encode(order)


def encode_repath_order(request_id: str, path: Path) -> bytes:
    """Return the body of an order to move a running request to another path."""
    return msgspec.json.encode(_RepathOrder("repath", request_id, format_path(path)))


def format_path(path: Path) -> str:
    """Return a path in the text form that targets read."""
    return ",".join(
        f"{stage.address}={stage.span.first}-{stage.span.end}" for stage in path
    )


def _span(raw: _Layers | None) -> LayerSpan | None:
    if raw is None or raw.end == raw.first:
        return None
    return LayerSpan(raw.first, raw.end)
