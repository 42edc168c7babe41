"""Decodes targets' entries and reports, and encodes the orders sent to them."""

import msgspec
from expression import Error, Ok, Result

from radishfield.core import Fault, ResultCode, fault
from radishfield.routing import (
    LayerSpan,
    Path,
    TargetPhase,
    TargetRecord,
    TargetReport,
)

REPORT_PATH = "/report"
ORDER_PATH = "/order"

_PHASE_BY_NAME = {"ready": TargetPhase.READY, "draining": TargetPhase.LEAVING}


class _Layers(msgspec.Struct):
    first: int = msgspec.field(name="from")
    end: int = msgspec.field(name="target")
    """Exclusive end of the range, not a target as this project uses the word."""
    version: int = 0


class _Entry(msgspec.Struct):
    service: str
    address: str = msgspec.field(name="addr")
    zone: str
    state: str
    slots: int = 1
    started_ms: int = msgspec.field(name="born", default=0)
    # The entry's own "seq" counts heartbeats, not orders as in a report.
    kind: str = ""
    layers: _Layers | None = None


class _Stalled(msgspec.Struct):
    id: str
    address: str = msgspec.field(name="addr")


class _Report(msgspec.Struct, rename="camel"):
    started_ms: int = msgspec.field(name="born", default=0)
    busy: bool = False
    order_count: int = msgspec.field(name="seq", default=0)
    waiting: int = 0
    running: int = 0
    kv_used: float = 0.0
    kv_total: float = 0.0
    pace: float = 1.0
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
    except msgspec.ValidationError as problem:
        return Error(fault(ResultCode.PLATFORM_MALFORMED, f"{name}: {problem}"))
    phase = _PHASE_BY_NAME.get(raw.state)
    if phase is None or not _is_address(raw.address):
        detail = f"{name}: bad state {raw.state!r} or address {raw.address!r}"
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


def decode_report(body: bytes) -> Result[TargetReport, Fault]:
    """Return a target's report on its work."""
    try:
        raw = msgspec.json.decode(body, type=_Report)
    except (msgspec.DecodeError, UnicodeDecodeError) as problem:
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
    if raw is None or raw.end <= raw.first:
        return None
    return LayerSpan(raw.first, raw.end)


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    return bool(host) and port.isdigit()
