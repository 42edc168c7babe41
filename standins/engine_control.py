"""What a test may order an engine stand-in to do wrong, and what it really ran."""

import os
from collections.abc import Callable
from dataclasses import dataclass, field

from radishfield.core import LayerRange

# A record is read by tests of seconds; older entries would only fill memory.
MAX_ENTRIES = 200_000


@dataclass(slots=True, frozen=True)
class EngineFaults:
    """Faults in force; each position counts the tokens of an answer.

    Attributes
    ----------
    die_at : int or None
        The process ends in the middle of this token.
    hang_at : int or None
        Steps from this token on never end, on any connection.
    silent_at : int or None
        Connections open at this token go silent; new ones work.
    truncate_at : int or None
        The stream ends in order before this token.
    corrupt_at : int or None
        This token's receipt misses its last stage.
    slow_factor : float
        Multiplies the time of each step.
    refuse : bool
        New streams are refused before they start.
    """

    die_at: int | None = None
    hang_at: int | None = None
    silent_at: int | None = None
    truncate_at: int | None = None
    corrupt_at: int | None = None
    slow_factor: float = 1.0
    refuse: bool = False


@dataclass(slots=True, frozen=True)
class StartRun:
    """A stream that was started here as the first stage."""

    request_id: str
    attempt: int
    position: int


@dataclass(slots=True, frozen=True)
class StepRun:
    """Layers that were run here for one token; ``refused`` says why not."""

    request_id: str
    attempt: int
    position: int
    layers: LayerRange
    refused: str = ""


@dataclass(slots=True, frozen=True)
class OrderRun:
    """An order that was carried out, or the number of its refusal."""

    kind: str
    fencing: int
    result_code: int


@dataclass(slots=True)
class Record:
    """What an engine really did, for tests that judge what callers got."""

    starts: list[StartRun] = field(default_factory=list)
    steps: list[StepRun] = field(default_factory=list)
    orders: list[OrderRun] = field(default_factory=list)

    def step(self, run: StepRun) -> None:
        """Note a step, within the bound."""
        if len(self.steps) < MAX_ENTRIES:
            self.steps.append(run)


@dataclass(slots=True)
class Controls:
    """The faults in force, and how the process ends when told to die."""

    faults: EngineFaults = field(default_factory=EngineFaults)
    record: Record = field(default_factory=Record)
    die: Callable[[int], None] = os._exit
