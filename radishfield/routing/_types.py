"""Defines the value types for routes, workspaces and targets."""

import enum
import math
from collections.abc import Mapping

import msgspec

from radishfield.routing._links import Pair, pair_of

MIN_CALLER_TIMEOUT_S = 2.0
"""Minimum time for which callers of streams wait for an event, on any route.  This and
the two factors below are requirements of the users."""
TIMEOUT_PER_OBJECTIVE = 4.0
TIMEOUT_PER_GAP = 8.0

DEFAULT_DELAY_MS = 0.5
"""One-way delay between two zones if a service configures none, as between halls of
one city.  Without it, targets in other zones would appear as near as local ones."""


class RouteKind(enum.StrEnum):
    """Which requests of a route may be retried."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


class TargetPhase(enum.StrEnum):
    """Whether a target accepts work, as stated in its own record."""

    READY = "ready"
    LEAVING = "leaving"


class LayerSpan(msgspec.Struct, frozen=True):
    """Layers from ``first`` up to but not including ``end``."""

    first: int
    end: int

    def __len__(self) -> int:
        return self.end - self.first


class ServiceShare(msgspec.Struct, frozen=True):
    """A service and the share of a route's requests that are sent to it."""

    service: str
    weight: float


class RouteRule(msgspec.Struct, frozen=True):
    """How requests under one path prefix of one host name are served.

    Attributes
    ----------
    timeout_s : float
        Longest time that a caller waits for the end of an answer.
    objective_s : float
        Desired time to the answer, or to a stream's first event.
    longest_gap_s : float
        Longest pause between two events of a stream that is still on time.
    max_attempts : int
        Number of targets that one request may be sent to.
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
        """Return how long callers of a stream wait for its next event."""
        return max(
            MIN_CALLER_TIMEOUT_S,
            TIMEOUT_PER_OBJECTIVE * self.objective_s,
            TIMEOUT_PER_GAP * self.longest_gap_s,
        )

    def allowed_silence_s(self, has_events: bool) -> float:
        """Return the longest time without events for which a stream is on time.

        A route may define neither time.  With an allowed silence of zero, the targets
        of each stream would be probed without a pause, so the default is derived from
        the minimum caller timeout.
        """
        if has_events:
            return self.longest_gap_s or MIN_CALLER_TIMEOUT_S / TIMEOUT_PER_GAP
        return self.objective_s or MIN_CALLER_TIMEOUT_S / TIMEOUT_PER_OBJECTIVE

    @property
    def first_event_due_s(self) -> float:
        """Return the time in which a stream begins on time; infinite if none is set."""
        return self.objective_s if self.objective_s > 0.0 else math.inf

    @property
    def repeatable(self) -> bool:
        """Return whether a request that may have been executed may be retried."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT


class Accelerator(msgspec.Struct, frozen=True):
    """An accelerator type: its memory, and its slowdown over the model's figures."""

    name: str
    memory_mb: float
    step_factor: float
    read_factor: float


class EngineSpec(msgspec.Struct, frozen=True):
    """Capacity and speed of the targets of a layered model.

    Attributes
    ----------
    tokens_per_target : float
        Tokens whose cache fits the memory of a target that holds all layers.
    cache_bytes_per_token : float
        Cache of one token over all layers.
    step_ms, step_ms_per_request, step_ms_per_1k : float
        Time of one step over all layers: fixed, per request that generates tokens,
        and per thousand tokens of context.
    read_tokens_per_ms : float
        Rate of reading prompt tokens through all layers.
    load_s : float
        Seconds to load all layers.
    step_bytes : float
        Bytes that one token sends from stage to stage.
    zone_mbps : float
        Rate of the link between two zones; 0 if none is configured.
    delay_ms_by_pair : mapping
        One-way delay between two zones, by their sorted names.
    report_lag_s : float
        Age of a target's load report.
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

    @property
    def usual_tokens(self) -> int:
        """Return the tokens that a typical request occupies at its end."""
        return self.usual_prompt + self.usual_answer

    @property
    def layer_cache_bytes(self) -> float:
        """Return the cache of one token at one layer."""
        return self.cache_bytes_per_token / self.layers

    def delay_ms(self, zone: str, other: str) -> float:
        """Return the one-way delay between zones, by default the longest configured."""
        longest_ms = max(self.delay_ms_by_pair.values(), default=DEFAULT_DELAY_MS)
        return self.delay_ms_by_pair.get(pair_of(zone, other), longest_ms)

    def transfer_ms(self, tokens: float) -> float:
        """Return the time for which tokens occupy the link between two zones."""
        if self.zone_mbps <= 0:
            return 0.0
        return tokens * self.step_bytes * 8 / (self.zone_mbps * 1e6) * 1e3


class ServiceSpec(msgspec.Struct, frozen=True):
    """A service that routes refer to; ``engine`` only for layered models."""

    name: str
    health_path: str
    max_connections: int
    engine: EngineSpec | None = None


class Workspace(msgspec.Struct, frozen=True):
    """A customer; its own ``priority`` overrides that of the route."""

    name: str
    priority: int | None = None


class RequestLimits(msgspec.Struct, frozen=True):
    """Limits on what callers send, and on the time that they take or stay idle.

    Attributes
    ----------
    header_timeout_s : float
        Time for the head of a request.
    """

    max_body_bytes: int = 4 << 20
    idle_timeout_s: float = 15.0
    max_header_bytes: int = 32 << 10
    header_timeout_s: float = 15.0


class RoutingConfig(msgspec.Struct, frozen=True):
    """One complete, immutable version of the configuration."""

    version: int
    routes: tuple[RouteRule, ...]
    service_by_name: Mapping[str, ServiceSpec]
    workspace_by_key: Mapping[str, Workspace]
    limits: RequestLimits = RequestLimits()
    keys_required: bool = False


class TargetRecord(msgspec.Struct, frozen=True):
    """The latest record that a target wrote about itself.

    Attributes
    ----------
    started_ms : int
        Start of this incarnation; a restarted target may keep its id, but holds
        nothing of what it held before.
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
        """Return a key that distinguishes this run of the target from all others."""
        return (self.id, self.started_ms)


class TargetReport(msgspec.Struct, frozen=True):
    """A target's report on its work, in reply to a probe.

    Attributes
    ----------
    order_count : int
        Number of orders that this incarnation has accepted.
    pace : float
        Slowdown factor; above 1 if the target is slower than its type.
    cache_used, cache_total : float
        In tokens times layers.
    stalled : tuple
        Ids of requests that wait for a dead stage of their path, with the address of
        that stage.
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


class PathStage(msgspec.Struct, frozen=True):
    """One stage of a path: a target and the layers that it runs."""

    target_id: str
    address: str
    span: LayerSpan


Path = tuple[PathStage, ...]
