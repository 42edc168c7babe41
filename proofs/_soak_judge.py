"""Holds a soak's findings, and decides whether a stream had a reason to end early.

A stream that a target has started must reach its caller complete.  Only these faults
excuse one that does not, each at a time between its first byte and its last:

- its router was stopped, killed or told to leave;
- the relay of a target that it passed had a fault;
- the store's relay had a fault;
- none of its runs was answered with a sound success (told only beside stuttering
  targets).

Neither a change of the configuration nor a slow link excuses one.  Targets are never
told to fail.
"""

import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import trio

STORE = "store"


@dataclass(slots=True)
class Findings:
    """Requests sent, answers received, and violations of guarantees.

    Attributes
    ----------
    excused : int
        Started streams that ended early and had a reason to.
    crashes : int
        Targets that crashed under requests which crash them.
    limits : int
        Times that a target named a limit.
    rests : int
        Times that a target asked for rest.
    doubled : int
        Second answers of targets to one request.
    reads : tuple of int
        Reads served, and reads that ran, beside stuttering targets.
    queued_s : float
        Longest wait of a byte before a router's link.
    late_s : float
        Longest delay of the soak's own process, during which all its targets seem
        silent.
    """

    faults: list[str] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    status_by_request: dict[str, int] = field(default_factory=dict)
    statuses: Counter[str] = field(default_factory=Counter)
    excused: int = 0
    crashes: int = 0
    limits: int = 0
    rests: int = 0
    doubled: int = 0
    reads: tuple[int, int] = (0, 0)
    queued_s: float = 0.0
    late_s: float = 0.0


@dataclass(slots=True)
class StreamEnd:
    """How one stream's answer ended for its caller.

    Attributes
    ----------
    signed : bool
        The answer bears a target's signature, so it is not the router's own.
    """

    request_id: str
    router: str
    sent_at: float
    ended_at: float
    status: int
    signed: bool
    complete: bool

    @property
    def is_aborted(self) -> bool:
        """Return whether it ended in mid answer, or by an error of the router."""
        if self.status >= 500:
            return not self.signed
        return not self.complete


class FaultLog:
    """The times of faults, by the name of the router or relay."""

    def __init__(self):
        self._times_by_name: dict[str, list[list[float]]] = defaultdict(list)

    @contextmanager
    def record(self, name: str) -> Iterator[None]:
        """Record a fault from its start to its end."""
        times = [trio.current_time(), math.inf]
        self._times_by_name[name].append(times)
        try:
            yield
        finally:
            times[1] = trio.current_time()

    def overlaps(self, names: Iterable[str], since: float, until: float) -> bool:
        """Return whether some of these had a fault within a time."""
        return any(
            began <= until and ended >= since
            for name in names
            for began, ended in self._times_by_name[name]
        )

    def is_excused(self, end: StreamEnd, relays: Iterable[str]) -> bool:
        """Return whether a fault excuses a stream's end.

        Parameters
        ----------
        relays : iterable of str
            Names of the relays of the targets that it passed.
        """
        names = (end.router, STORE, *relays)
        return self.overlaps(names, end.sent_at, end.ended_at)
