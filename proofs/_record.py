"""Records what fake targets ran, as the ground truth of every oracle."""

from collections import Counter
from dataclasses import dataclass, field

from radishfield.core import LayerRange


@dataclass(slots=True, frozen=True)
class Start:
    """An attempt that a first stage started."""

    request_id: str
    attempt: int
    target_ids: tuple[str, ...]
    at: float


@dataclass(slots=True, frozen=True)
class LayersRun:
    """A stage that ran its layers for one token."""

    target_id: str
    layers: LayerRange


@dataclass(slots=True, frozen=True)
class ServiceCall:
    """A plain service that ran a call."""

    request_id: str
    target_id: str
    at: float


TokenKey = tuple[str, int, int]


@dataclass(slots=True)
class Record:
    """Everything that targets ran, in order.

    Attributes
    ----------
    layers_by_token : dict
        Stages that ran, by request, attempt and position.
    """

    starts: list[Start] = field(default_factory=list)
    layers_by_token: dict[TokenKey, list[LayersRun]] = field(default_factory=dict)
    calls: list[ServiceCall] = field(default_factory=list)
    runs_by_request: Counter[str] = field(default_factory=Counter)
    open_streams: int = 0
    faults_played: int = 0

    def record_start(self, start: Start) -> None:
        """Record an attempt that started."""
        self.starts.append(start)
        self.runs_by_request[start.request_id] += 1

    def record_layers(self, token: TokenKey, run: LayersRun) -> None:
        """Record a stage that ran its layers for a token."""
        self.layers_by_token.setdefault(token, []).append(run)

    def record_call(self, call: ServiceCall) -> None:
        """Record a call that a plain service ran."""
        self.calls.append(call)
        self.runs_by_request[call.request_id] += 1
