"""Defines the data types that all packages exchange.

All are frozen data classes with slots.  Units are in the names: ``_s`` seconds,
``_tps`` tokens per second, ``_bytes`` bytes.  Times are readings of a `Clock`,
never wall-clock time, unless a name says ``unix``.
"""

import enum
from collections.abc import Sequence
from dataclasses import dataclass

from radishfield.core._codes import ResultCode


class Priority(enum.IntEnum):
    """How urgent a profile's work is; a lower number is served first."""

    URGENT = 0
    HIGH = 1
    NORMAL = 2
    LOW = 3


class TargetKind(enum.StrEnum):
    """Whether a target is a model engine or a plain service."""

    ENGINE = "engine"
    SERVICE = "service"


class TargetState(enum.StrEnum):
    """Whether a target may be given new work."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


class HostState(enum.StrEnum):
    """A host's state as the platform lists it."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(slots=True, frozen=True, order=True)
class LayerRange:
    """The half-open range ``[first, end)`` of a model's layers."""

    first: int
    end: int


@dataclass(slots=True, frozen=True)
class Profile:
    """A named class of work, as operators publish it.

    Attributes
    ----------
    deadline_s : float
        Time by which a request must finish, in seconds from its arrival.
    idempotent : bool
        Whether a request may run more than once.
    version : int
        Increases by one with each accepted change; a retired profile keeps its
        version as a tombstone, so that no stale copy can restore it.
    change_id : str
        Id of the change that made this version; it shows whether a write whose
        answer was lost took effect.
    """

    name: str
    model: str
    kind: TargetKind = TargetKind.ENGINE
    priority: Priority = Priority.NORMAL
    deadline_s: float = 30.0
    idempotent: bool = True
    version: int = 0
    change_id: str = ""
    retired: bool = False


@dataclass(slots=True, frozen=True)
class Host:
    """A machine in the platform's list of live and leaving hosts.

    ``address`` is ``ip:port`` of an entry host's peer socket, empty for other
    hosts; a new entry host finds its first peers by it.
    """

    id: str
    zone: str
    state: HostState = HostState.LIVE
    address: str = ""


class MemberState(enum.StrEnum):
    """An entry host's state as its peers see it."""

    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


@dataclass(slots=True, frozen=True)
class Member:
    """An entry host as its peers see it; ``incarnation`` increases at each start."""

    id: str
    zone: str
    address: str
    incarnation: int
    state: MemberState = MemberState.LIVE


@dataclass(slots=True, frozen=True)
class Target:
    """A model engine that holds a range of layers, or a plain service.

    Attributes
    ----------
    address : str
        ``ip:port``.
    incarnation : int
        Increases each time the target starts; a target that is leaving stays
        so until then.
    speed_tps : float
        Declared tokens per second through its layers; 0 where not known.
    slots : int
        Requests that it runs in one batch.
    checks_fencing : bool
        Whether it refuses an order that carries an old fencing number.
    """

    id: str
    host: str
    zone: str
    address: str
    kind: TargetKind = TargetKind.ENGINE
    model: str = ""
    model_version: str = "1"
    layers: LayerRange = LayerRange(0, 0)
    model_layers: int = 0
    incarnation: int = 1
    speed_tps: float = 0.0
    slots: int = 8
    checks_fencing: bool = False
    state: TargetState = TargetState.LIVE


@dataclass(slots=True, frozen=True)
class Link:
    """A directed link between two zones (or within one)."""

    from_zone: str
    to_zone: str
    latency_s: float
    tokens_per_s: float


@dataclass(slots=True, frozen=True)
class Stage:
    """A stage of a route: a target and the layers it runs for this request."""

    target_id: str
    address: str
    layers: LayerRange


@dataclass(slots=True, frozen=True)
class Route:
    """The stages that a request passes through, in order, of one model version."""

    stages: tuple[Stage, ...]
    model: str = ""
    model_version: str = "1"
    model_layers: int = 0


@dataclass(slots=True, frozen=True)
class Hop:
    """One stage's part of a receipt: which target ran which layers."""

    target_id: str
    layers: LayerRange


@dataclass(slots=True, frozen=True)
class Receipt:
    """Proof of the stages that computed one token.

    A token is committed only if its receipt is for the current attempt and the
    next position, and its hops are the route's stages in order.
    """

    request_id: str
    attempt: int
    position: int
    hops: tuple[Hop, ...]


@dataclass(slots=True, frozen=True)
class Token:
    """One generated token with its receipt; ``finish`` is set on the last one."""

    position: int
    text: str
    receipt: Receipt
    finish: str | None = None


@dataclass(slots=True, frozen=True)
class Sampling:
    """How an engine selects each token; None keeps the engine's own default."""

    temperature: float | None = None
    top_p: float | None = None
    seed: int | None = None
    stop: tuple[str, ...] = ()
    presence_penalty: float | None = None
    frequency_penalty: float | None = None


@dataclass(slots=True, frozen=True)
class Request:
    """A model request, as the caller edge forwards it.

    Attributes
    ----------
    arrived, deadline : float
        Clock readings in seconds.
    body_digest : str
        Digest of the normalised body; an idempotency key that is reused with
        another digest is refused.
    shared_parts : tuple of str
        Digests of the parts of the prompt that other prompts may have, in their order.
    """

    id: str
    workspace: str
    profile: Profile
    prompt: str
    max_tokens: int
    arrived: float
    deadline: float
    priority: Priority = Priority.NORMAL
    idempotency_key: str = ""
    body_digest: str = ""
    prompt_tokens: int = 0
    sampling: Sampling = Sampling()
    shared_parts: tuple[str, ...] = ()


@dataclass(slots=True, frozen=True)
class Finished:
    """The result of a model request that succeeded.

    Attributes
    ----------
    reason : str
        The engine's finish reason, ``stop`` or ``length``.
    code : ResultCode
        ``FINISHED``, or ``REPLAYED`` where a retry got the first run's answer.
    """

    reason: str
    code: ResultCode = ResultCode.FINISHED


@dataclass(slots=True, frozen=True)
class ServiceRequest:
    """A call to a plain service, with method, path, body and safe headers."""

    id: str
    workspace: str
    profile: Profile
    method: str
    path: str
    body: bytes
    arrived: float
    deadline: float
    headers: tuple[tuple[str, str], ...] = ()
    priority: Priority = Priority.NORMAL
    idempotency_key: str = ""
    body_digest: str = ""


@dataclass(slots=True, frozen=True)
class ServiceAnswer:
    """A plain service's complete answer."""

    status: int
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()
    code: ResultCode = ResultCode.FINISHED


@dataclass(slots=True, frozen=True)
class StreamStart:
    """What the first stage of a route receives at the start of an attempt.

    Attributes
    ----------
    committed : tuple of str
        Texts of the tokens committed by earlier attempts; generation
        continues at position ``len(committed)``.
    timeout_s : float
        Seconds until the request's deadline; the target stops by itself then.
    """

    request_id: str
    attempt: int
    route: Route
    prompt: str
    committed: tuple[str, ...]
    max_tokens: int
    timeout_s: float
    priority: Priority = Priority.NORMAL
    sampling: Sampling = Sampling()


@dataclass(slots=True, frozen=True)
class KvState:
    """An exported KV cache: the layers and positions that it covers."""

    request_id: str
    target_id: str
    layers: LayerRange
    positions: int
    blob: bytes


@dataclass(slots=True, frozen=True)
class LoadReport:
    """A target's report of its load, which is seconds old when it arrives.

    Attributes
    ----------
    measured_s_ago : float
        Age of the figures when they were sent.
    step_s : float
        Mean seconds for one token step at the present batch.
    """

    target_id: str
    incarnation: int
    layers: LayerRange
    model: str
    model_version: str
    in_flight: int
    queued: int
    slots: int
    step_s: float
    leaving: bool = False
    checks_fencing: bool = False
    measured_s_ago: float = 0.0


@dataclass(slots=True, frozen=True)
class CacheEvent:
    """A prompt prefix that a target stored in, or dropped from, its cache."""

    target_id: str
    sequence: int
    prefix: str
    stored: bool


def covers_model_once(ranges: Sequence[LayerRange], model_layers: int) -> bool:
    """Return whether the ranges, in order, run every layer exactly once."""
    next_layer = 0
    for layer_range in ranges:
        if layer_range.first != next_layer or layer_range.end <= layer_range.first:
            return False
        next_layer = layer_range.end
    return next_layer == model_layers and model_layers > 0
