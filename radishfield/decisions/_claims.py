"""Slots in flight that one attempt holds."""

from dataclasses import dataclass

from radishfield.core import Route, Target
from radishfield.decisions._limits import TargetLoad
from radishfield.decisions._routes import Crossing


@dataclass(slots=True, frozen=True)
class Claim:
    """Slots that one attempt holds at targets and on links between zones.

    Attributes
    ----------
    token_s : float
        Seconds per token planned for the route with full batches.
    expected_s : float
        Seconds per token expected, queues included.
    """

    loads: tuple[TargetLoad, ...]
    crossings: tuple[Crossing, ...]
    long: bool
    token_s: float
    expected_s: float
    route: Route | None = None
    target: Target | None = None
