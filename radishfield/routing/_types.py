"""What the router knows of routes, workspaces and targets: plain values."""

import enum
from collections.abc import Mapping

import msgspec

from radishfield.routing._links import Pair, pair_of

LEAST_CALLER_PATIENCE_S = 2.0
"""Callers of streams stay this long without an event, whatever their route says; by
the users' page, like the two figures below."""
OBJECTIVES_OF_PATIENCE = 4.0
GAPS_OF_PATIENCE = 8.0

UNNAMED_DELAY_MS = 0.5
"""Way between two zones where a service names none, as between halls of one city.
Without it another zone's targets would be as near as the own ones."""


class RouteKind(enum.StrEnum):
    """What may be repeated of a route's requests."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


class TargetPhase(enum.StrEnum):
    """Whether a target takes work, as it says itself."""

    READY = "ready"
    LEAVING = "leaving"


class LayerSpan(msgspec.Struct, frozen=True):
    """Layers ``first`` to ``end``, the end exclusive."""

    first: int
    end: int

    def __len__(self) -> int:
        return self.end - self.first


class ServiceShare(msgspec.Struct, frozen=True):
    """A service and the part of a route's requests that go there."""

    service: str
    weight: float


class RouteRule(msgspec.Struct, frozen=True):
    """How requests below one path prefix of one host name are served.

    Attributes
    ----------
    timeout_s : float
        Longest time that a caller is kept waiting for the end of an answer.
    objective_s : float
        Time to the answer, or to a stream's first event, that callers want.
    longest_gap_s : float
        Longest pause between two events of a stream that is still on time.
    max_attempts : int
        Targets that one request may be sent to.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_s: float
    objective_s: float
    priority: int
    shares: tuple[ServiceShare, ...]
    max_attempts: int
    public: bool = False
    resumable: bool = False
    longest_gap_s: float = 0.0

    @property
    def caller_patience_s(self) -> float:
        """Return for how long callers of a stream wait for its next event."""
        return max(
            LEAST_CALLER_PATIENCE_S,
            OBJECTIVES_OF_PATIENCE * self.objective_s,
            GAPS_OF_PATIENCE * self.longest_gap_s,
        )

    def allowed_silence_s(self, has_events: bool) -> float:
        """Return the longest silence of a stream that is still on time.

        A route may name neither time.  Taken for none at all, each stream's targets
        would be probed without a pause; so it is what the least patience implies.
        """
        if has_events:
            return self.longest_gap_s or LEAST_CALLER_PATIENCE_S / GAPS_OF_PATIENCE
        return self.objective_s or LEAST_CALLER_PATIENCE_S / OBJECTIVES_OF_PATIENCE

    @property
    def repeatable(self) -> bool:
        """Return whether a request that may have run may be sent again."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT


class Accelerator(msgspec.Struct, frozen=True):
    """A kind of card: its memory, and how much slower than the model's figures."""

    name: str
    memory_mb: float
    step_factor: float
    read_factor: float


class EngineSpec(msgspec.Struct, frozen=True):
    """What the targets of a layered model can do.

    Attributes
    ----------
    tokens_per_target : float
        Tokens whose cache fits the memory of a target that holds all layers.
    cache_bytes_per_token : float
        Cache of one token over all layers.
    step_ms, step_ms_per_request, step_ms_per_1k : float
        Time of one step over all layers: fixed, for each request that writes,
        for each thousand tokens of context.
    read_tokens_per_ms : float
        Prompt tokens read over all layers.
    load_s : float
        Seconds to load all layers.
    step_bytes : float
        What one token passes from part to part.
    zone_mbps : float
        Rate of the link between two zones; 0 where none is named.
    delay_ms_by_pair : mapping
        One way between two zones, by their names in order.
    report_lag_s : float
        Age of what a target reports of its work.
    """

    model: str
    slots: int
    layers: int
    layer_mb: float
    tokens_per_target: float
    cache_bytes_per_token: float
    step_ms: float
    step_ms_per_request: float
    step_ms_per_1k: float
    read_tokens_per_ms: float
    usual_prompt: int
    usual_answer: int
    load_s: float
    concurrent_loads: int
    step_bytes: float = 0.0
    zone_mbps: float = 0.0
    accelerator_by_name: Mapping[str, Accelerator] = msgspec.field(default_factory=dict)
    delay_ms_by_pair: Mapping[Pair, float] = msgspec.field(default_factory=dict)
    report_lag_s: float = 0.2

    def delay_ms(self, zone: str, other: str) -> float:
        """Return the way of a token between two zones; the longest if none is named."""
        longest_ms = max(self.delay_ms_by_pair.values(), default=UNNAMED_DELAY_MS)
        return self.delay_ms_by_pair.get(pair_of(zone, other), longest_ms)

    def transfer_ms(self, tokens: float) -> float:
        """Return the time for which tokens hold the link between two zones."""
        if self.zone_mbps <= 0:
            return 0.0
        return tokens * self.step_bytes * 8 / (self.zone_mbps * 1e6) * 1e3


class ServiceSpec(msgspec.Struct, frozen=True):
    """A service that routes point to; ``engine`` only where layers are placed."""

    name: str
    health_path: str
    max_connections: int
    engine: EngineSpec | None = None


class Workspace(msgspec.Struct, frozen=True):
    """A customer; a ``priority`` of its own goes before its route's."""

    name: str
    priority: int | None = None


class RequestLimits(msgspec.Struct, frozen=True):
    """What a caller may send, and how long a connection may stay idle."""

    max_body_bytes: int = 4 << 20
    idle_timeout_s: float = 15.0


class RoutingConfig(msgspec.Struct, frozen=True):
    """One version of the configuration, whole and never changed."""

    version: int
    routes: tuple[RouteRule, ...]
    service_by_name: Mapping[str, ServiceSpec]
    workspace_by_key: Mapping[str, Workspace]
    limits: RequestLimits = RequestLimits()
    keys_required: bool = False


class TargetRecord(msgspec.Struct, frozen=True):
    """A target as it last described itself.

    Attributes
    ----------
    started_ms : int
        Start of this incarnation; a target that starts again may keep its id,
        and then holds nothing of what it held before.
    """

    id: str
    address: str
    service: str
    zone: str
    phase: TargetPhase
    slots: int
    started_ms: int = 0
    accelerator: str = ""
    span: LayerSpan | None = None
    weights_version: int = 0

    @property
    def incarnation(self) -> tuple[str, int]:
        """Return what tells this start of the target from every other."""
        return (self.id, self.started_ms)


class TargetReport(msgspec.Struct, frozen=True):
    """What a target says of its work when asked.

    Attributes
    ----------
    order_count : int
        Orders that this incarnation has accepted.
    pace : float
        Over 1 where the target is slower than its kind.
    cache_used, cache_total : float
        Tokens times layers.
    stalled : tuple
        Ids of requests that wait for a dead part of their path, with its address.
    """

    started_ms: int
    busy: bool
    order_count: int
    waiting: int
    running: int
    cache_used: float
    cache_total: float
    pace: float = 1.0
    span: LayerSpan | None = None
    stalled: tuple[tuple[str, str], ...] = ()


class PathPart(msgspec.Struct, frozen=True):
    """One target of a path and the layers that it runs."""

    target_id: str
    address: str
    span: LayerSpan


Path = tuple[PathPart, ...]
