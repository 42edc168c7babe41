"""The places in flight that one attempt holds."""

from dataclasses import dataclass

from radishfield.core import Route, Target
from radishfield.decisions._limits import TargetLoad
from radishfield.decisions._routes import Crossing


@dataclass(slots=True, frozen=True)
class Claim:
    """Places in flight that one attempt holds.

    Attributes
    ----------
    token_s : float
        Seconds that a token should take on the route with full batches.
    expected_s : float
        Seconds that a token is expected to take, queues included.
    """

    loads: tuple[TargetLoad, ...]
    crossings: tuple[Crossing, ...]
    long: bool
    token_s: float
    expected_s: float
    route: Route | None = None
    target: Target | None = None
