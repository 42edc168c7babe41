"""Faults that a test sets in an engine stand-in, and the record of what it ran."""

import os
from collections.abc import Callable
from dataclasses import dataclass, field

from radishfield.core import LayerRange

# Bounds memory: tests last seconds and need no more entries than this.
MAX_ENTRIES = 200_000


@dataclass(slots=True, frozen=True)
class EngineFaults:
    """Active faults; positions are token positions in an answer.

    Attributes
    ----------
    die_at : int or None
        The process ends while it computes this token.
    hang_at : int or None
        Steps from this token on never complete, on any connection.
    silent_at : int or None
        A connection that is open at this token stalls; new ones work.
    truncate_at : int or None
        The stream ends without an error before this token.
    corrupt_at : int or None
        This token's receipt lacks its last stage.
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
    """Layers that were run here for one token, or ``refused`` with the reason."""

    request_id: str
    attempt: int
    position: int
    layers: LayerRange
    refused: str = ""


@dataclass(slots=True, frozen=True)
class OrderRun:
    """An executed or refused order with its result code."""

    kind: str
    fencing: int
    result_code: int


@dataclass(slots=True)
class Record:
    """What an engine ran, for tests that check the answers that callers received."""

    starts: list[StartRun] = field(default_factory=list)
    steps: list[StepRun] = field(default_factory=list)
    orders: list[OrderRun] = field(default_factory=list)

    def step(self, run: StepRun) -> None:
        """Record a step unless ``MAX_ENTRIES`` is reached."""
        if len(self.steps) < MAX_ENTRIES:
            self.steps.append(run)


@dataclass(slots=True)
class Controls:
    """The active faults, the record, and the function that ends the process."""

    faults: EngineFaults = field(default_factory=EngineFaults)
    record: Record = field(default_factory=Record)
    die: Callable[[int], None] = os._exit
