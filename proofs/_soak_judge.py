"""What a soak found, and whether a stream that ended early had a reason to.

A stream that a target had begun is to reach its caller whole.  Just these excuse one
that does not, each at a time between its first byte and its last:

- its router was stopped, killed or told to leave;
- the relay of a target that it passed did harm;
- the store's relay did harm.

No change of the configuration excuses one, and no slow link.  Targets are never told
to fail.
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
    """What was sent, what came back, and what broke a promise.

    Attributes
    ----------
    excused : int
        Begun streams that ended early and had a reason to.
    crashes : int
        Targets that ended under requests which crash them.
    queued_s : float
        Longest wait of a byte before a router's link.
    late_s : float
        Longest time for which the soak's own process was held up: for as long all
        its targets seem silent.
    """

    faults: list[str] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)
    status_by_request: dict[str, int] = field(default_factory=dict)
    statuses: Counter[str] = field(default_factory=Counter)
    excused: int = 0
    crashes: int = 0
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
    whole: bool

    @property
    def cut(self) -> bool:
        """Return whether it ended in mid answer, or by a failure of the router's."""
        if self.status >= 500:
            return not self.signed
        return not self.whole


class Harms:
    """What was harmed, and when."""

    def __init__(self):
        self._times_by_name: dict[str, list[list[float]]] = defaultdict(list)

    @contextmanager
    def noted(self, name: str) -> Iterator[None]:
        """Note a harm from its begin to its end."""
        times = [trio.current_time(), math.inf]
        self._times_by_name[name].append(times)
        try:
            yield
        finally:
            times[1] = trio.current_time()

    def excuse(self, end: StreamEnd, passed: Iterable[str]) -> bool:
        """Return whether something excuses a stream's end.

        Parameters
        ----------
        passed : iterable of str
            Relays of the targets that it passed.
        """
        return any(
            since <= end.ended_at and until >= end.sent_at
            for name in (end.router, STORE, *passed)
            for since, until in self._times_by_name[name]
        )
