"""What the fakes of targets write down: the ground truth of every oracle."""

from dataclasses import dataclass, field

from radishfield.core import LayerRange


@dataclass(slots=True, frozen=True)
class Start:
    """An attempt that a first stage began."""

    request_id: str
    attempt: int
    target_ids: tuple[str, ...]
    at: float


@dataclass(slots=True, frozen=True)
class LayersRun:
    """A stage that ran its layers for one token of one attempt."""

    request_id: str
    attempt: int
    position: int
    target_id: str
    layers: LayerRange


@dataclass(slots=True, frozen=True)
class ServiceCall:
    """A plain service that ran a call."""

    request_id: str
    target_id: str
    at: float


@dataclass(slots=True)
class Record:
    """Everything that targets really ran, in order."""

    starts: list[Start] = field(default_factory=list)
    layers: list[LayersRun] = field(default_factory=list)
    calls: list[ServiceCall] = field(default_factory=list)
    open_streams: int = 0
    faults_played: int = 0

    def runs_of(self, request_id: str) -> int:
        """Return how often a request was begun, by any target."""
        starts = sum(start.request_id == request_id for start in self.starts)
        calls = sum(call.request_id == request_id for call in self.calls)
        return starts + calls

    def layers_of(
        self, request_id: str, attempt: int, position: int
    ) -> tuple[LayersRun, ...]:
        """Return the stages that ran for one token of one attempt, in order."""
        return tuple(
            run
            for run in self.layers
            if (run.request_id, run.attempt, run.position)
            == (request_id, attempt, position)
        )
