"""What goes into the decisions and what comes out of them."""

import enum
from dataclasses import dataclass

from radishfield.core import Fault, Priority, Route, Target, TargetKind


@dataclass(slots=True, frozen=True)
class Work:
    """A request as the decisions see it: sizes and limits, no content.

    Attributes
    ----------
    arrived, deadline : float
        Clock readings in seconds.
    prefix_key : str
        Digest of the prompt's leading part, for cache affinity.
    """

    request_id: str
    workspace: str
    model: str
    kind: TargetKind
    priority: Priority
    arrived: float
    deadline: float
    prompt_tokens: int = 0
    max_tokens: int = 0
    idempotent: bool = True
    prefix_key: str = ""


@dataclass(slots=True, frozen=True)
class Queued:
    """The work was admitted; `Scheduler.take` will return it, once."""

    request_id: str


@dataclass(slots=True, frozen=True)
class Refused:
    """The work was not admitted, and never will be dispatched."""

    fault: Fault


@dataclass(slots=True, frozen=True)
class Dispatch:
    """Work to start now: on a route of stages, or on one service target."""

    work: Work
    attempt: int
    route: Route | None = None
    target: Target | None = None
    reason: str = ""


@dataclass(slots=True, frozen=True)
class Expired:
    """Work that left the queue without being dispatched."""

    work: Work
    fault: Fault


class FailureKind(enum.StrEnum):
    """How an attempt failed, as far as the entry host can tell."""

    REFUSED = "refused"
    CONNECT = "connect"
    BROKEN = "broken"
    SILENT = "silent"
    BAD_RECEIPT = "bad-receipt"
    ERROR = "error"


@dataclass(slots=True, frozen=True)
class Failure:
    """An attempt's failure.

    Attributes
    ----------
    target_id : str
        The stage held to be at fault, or the first stage where not known.
    started : bool
        Whether any byte of the request may have reached a target.
    committed : int
        Tokens committed so far, over all attempts.
    """

    request_id: str
    target_id: str
    kind: FailureKind
    started: bool
    committed: int = 0


@dataclass(slots=True, frozen=True)
class Retry:
    """Start the next attempt after a delay.

    Attributes
    ----------
    import_from : tuple of str
        Targets from which KV caches are to be exported for the new route;
        empty where rebuilding is expected to be sooner.
    """

    dispatch: Dispatch
    after_s: float = 0.0
    import_from: tuple[str, ...] = ()


@dataclass(slots=True, frozen=True)
class GiveUp:
    """End the request with this fault now."""

    fault: Fault
