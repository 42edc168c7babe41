"""Inputs and results of scheduling decisions."""

import enum
from dataclasses import dataclass

from radishfield.core import Fault, Priority, ResultCode, Route, Target, TargetKind


@dataclass(slots=True, frozen=True)
class Work:
    """A request as the scheduler sees it: sizes and limits, no content.

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
    """The work was not admitted and is never dispatched."""

    fault: Fault

    @property
    def reason(self) -> str:
        """Return the reason as a metric label."""
        return reason_label(self.fault.code)


@dataclass(slots=True, frozen=True)
class Dispatch:
    """Work to start now: on a route of stages, or on one service target.

    Attributes
    ----------
    engine_priority : Priority
        Priority sent to the engines; it may differ from the work's own.
    """

    work: Work
    attempt: int
    route: Route | None = None
    target: Target | None = None
    reason: str = ""
    engine_priority: Priority = Priority.NORMAL


@dataclass(slots=True, frozen=True)
class Expired:
    """Work that left the queue without being dispatched."""

    work: Work
    fault: Fault

    @property
    def reason(self) -> str:
        """Return the reason as a metric label."""
        return reason_label(self.fault.code)


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
        The stage assumed to be at fault, or the first stage if that is unknown.
    started : bool
        Whether any byte of the request may have reached a target.
    committed : int
        Tokens committed so far, over all attempts.
    retry_after_s : float or None
        Seconds after which a target that refused asks for a retry.
    """

    request_id: str
    target_id: str
    kind: FailureKind
    started: bool
    committed: int = 0
    retry_after_s: float | None = None


@dataclass(slots=True, frozen=True)
class Retry:
    """Start the next attempt after a delay.

    Attributes
    ----------
    code : ResultCode
        Why the previous attempt ended.
    reason : str
        Failure kind and resumption method, as a metric label.
    import_from : tuple of str
        Targets from which KV caches are to be exported for the new route;
        empty if a rebuild is expected to be faster.
    """

    dispatch: Dispatch
    after_s: float = 0.0
    import_from: tuple[str, ...] = ()
    code: ResultCode = ResultCode.STREAM_BROKEN

    @property
    def reason(self) -> str:
        """Return why and how the request continues, as a metric label."""
        return self.dispatch.reason


@dataclass(slots=True, frozen=True)
class GiveUp:
    """End the request with this fault now."""

    fault: Fault

    @property
    def reason(self) -> str:
        """Return the reason as a metric label."""
        return reason_label(self.fault.code)


def reason_label(code: ResultCode) -> str:
    """Return a result code as a metric label, such as ``queue-full``."""
    return code.name.lower().replace("_", "-")
