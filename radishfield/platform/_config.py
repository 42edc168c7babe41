"""Decodes the operators' configuration into the router's own types."""

from typing import Annotated

import msgspec
from expression import Error, Ok, Result

from radishfield.core import UNREADABLE_ERRORS, Fault, ResultCode, fault
from radishfield.routing import (
    Accelerator,
    EngineSpec,
    RequestLimits,
    RouteKind,
    RouteRule,
    RoutingConfig,
    ServiceShare,
    ServiceSpec,
    Workspace,
    pair_of,
)

Count = Annotated[int, msgspec.Meta(ge=0)]


class _Split(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct, rename="camel"):
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    name: str = ""
    slo_ms: float = 0.0
    priority: int = 1
    service: str = ""
    split: list[_Split] = []
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    gap_aim_ms: float = 0.0


class _AcceleratorKind(msgspec.Struct, rename="camel"):
    name: str
    mb: float
    pace: float
    """A factor on the time of a step: larger is slower."""
    read_x: float


class _Model(msgspec.Struct, rename="camel"):
    name: str
    load_s: float = 0.0


class _TypicalRequest(msgspec.Struct):
    prompt: float = 512.0
    answer: float = 128.0


class _Delay(msgspec.Struct):
    from_zone: str = msgspec.field(name="from")
    to_zone: str = msgspec.field(name="target")
    """The other zone, not a target as this project uses the word."""
    delay_ms: float = msgspec.field(name="delay_ms", default=0.0)


class _Engine(msgspec.Struct, rename="camel"):
    slots: int = 1
    kv_capacity: float = 0.0
    """Tokens whose cache fits a target that holds every layer."""
    kv_token_bytes: float = 0.0
    models: list[_Model] = []
    step_ms: float = msgspec.field(default=1.0, name="step_ms")
    per_seq_ms: float = msgspec.field(default=0.0, name="per_seq_ms")
    context_per_k: float = msgspec.field(default=0.0, name="context_per_k")
    read_per_s: float = msgspec.field(default=1000.0, name="read_per_s")
    loads_at_once: int = msgspec.field(default=1, name="loads_at_once")
    usual: _TypicalRequest = msgspec.field(default_factory=_TypicalRequest)
    layers: int = 0
    layer_mb: float = 0.0
    act_bytes: float = 0.0
    """Bytes that are sent for a token from one stage to the next."""
    pipe_mbps: float = 0.0
    kinds: list[_AcceleratorKind] = []
    delays: list[_Delay] = []
    report_lag_ms: float = msgspec.field(default=200.0, name="report_lag_ms")


class _Service(msgspec.Struct, rename="camel"):
    name: str
    health_path: str = "/healthz"
    max_conns: int = 100
    engine: _Engine | None = None


class _Limits(msgspec.Struct, rename="camel"):
    max_body_bytes: int = 4 << 20
    idle_timeout_ms: float = 15000.0
    max_header_bytes: int = 32 << 10
    header_timeout_ms: float = 15000.0


class _Tenant(msgspec.Struct, rename="camel"):
    name: str
    api_keys: list[str] = []
    priority: int | None = None


class _Config(msgspec.Struct, rename="camel"):
    version: Count
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] | None | msgspec.UnsetType = msgspec.UNSET
    """Without any, nobody's key is known; only a configuration that does not name them
    asks for none."""


_ROUTE_KIND_BY_NAME = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.ONCE,
    "streaming": RouteKind.STREAM,
}


def decode_config(spec: object) -> Result[RoutingConfig, Fault]:
    """Return the configuration, or a fault that says why it is malformed."""
    try:
        return Ok(_config(msgspec.convert(spec, _Config, strict=False)))
    except UNREADABLE_ERRORS as problem:
        return Error(fault(ResultCode.PLATFORM_MALFORMED, str(problem)))


def _config(raw: _Config) -> RoutingConfig:
    return RoutingConfig(
        version=raw.version,
        routes=tuple(_route(route) for route in raw.routes),
        service_by_name={item.name: _service(item) for item in raw.services},
        workspace_by_key=_workspaces(raw.tenants or []),
        limits=RequestLimits(
            raw.limits.max_body_bytes,
            raw.limits.idle_timeout_ms / 1000,
            raw.limits.max_header_bytes,
            raw.limits.header_timeout_ms / 1000,
        ),
        keys_required=raw.tenants is not msgspec.UNSET,
    )


def _route(raw: _Route) -> RouteRule:
    shares = tuple(ServiceShare(share.service, share.weight) for share in raw.split)
    # An unknown kind is treated as one whose requests must never be retried.
    return RouteRule(
        name=raw.name,
        host=raw.host.lower(),
        path_prefix=raw.path_prefix,
        kind=_ROUTE_KIND_BY_NAME.get(raw.kind, RouteKind.ONCE),
        timeout_s=raw.timeout_ms / 1000,
        objective_s=raw.slo_ms / 1000,
        priority=raw.priority,
        shares=shares or (ServiceShare(raw.service, 1.0),),
        max_attempts=max(1, raw.max_attempts),
        public=raw.public,
        resumable=raw.resumable,
        longest_gap_s=raw.gap_aim_ms / 1000,
    )


def _service(raw: _Service) -> ServiceSpec:
    engine = _engine(raw.engine) if raw.engine and raw.engine.layers else None
    return ServiceSpec(raw.name, raw.health_path, raw.max_conns, engine)


def _engine(raw: _Engine) -> EngineSpec:
    model = raw.models[0] if raw.models else _Model("")
    return EngineSpec(
        model=model.name,
        slots=raw.slots,
        layers=raw.layers,
        layer_mb=raw.layer_mb,
        tokens_per_target=raw.kv_capacity,
        cache_bytes_per_token=raw.kv_token_bytes,
        step_ms=raw.step_ms,
        step_ms_per_request=raw.per_seq_ms,
        step_ms_per_1k=raw.context_per_k,
        read_tokens_per_ms=raw.read_per_s / 1000,
        usual_prompt=int(raw.usual.prompt),
        usual_answer=int(raw.usual.answer),
        load_s=model.load_s,
        concurrent_loads=raw.loads_at_once,
        step_bytes=raw.act_bytes,
        zone_mbps=raw.pipe_mbps,
        accelerator_by_name={
            kind.name: Accelerator(kind.name, kind.mb, kind.pace, kind.read_x)
            for kind in raw.kinds
        },
        delay_ms_by_pair={
            pair_of(delay.from_zone, delay.to_zone): delay.delay_ms
            for delay in raw.delays
        },
        report_lag_s=raw.report_lag_ms / 1000,
    )


def _workspaces(tenants: list[_Tenant]) -> dict[str, Workspace]:
    return {
        key: Workspace(tenant.name, tenant.priority)
        for tenant in tenants
        for key in tenant.api_keys
    }
