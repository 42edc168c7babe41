"""Metrics that are kept as plain counts until somebody asks for them.

The metrics library takes 0.13 s of a start and 4 MB, and a record some 8 us.  A host
that is started again serves that much sooner without it, and one that nobody
scrapes never pays.  At the first scrape what was kept is handed over, and from then
on the library records directly.
"""

from collections import Counter, deque
from collections.abc import Callable

import msgspec

from radishfield.core import Outcome, ResultCode
from radishfield.telemetry._kinds import RequestKind

KEPT_TIMES = 20_000
"""Times that are kept for the histograms, about 3 MB at the most; a host of today
ends a few requests a second, so this holds an hour.  Counters lose nothing."""


class _Watch(msgspec.Struct, frozen=True):
    name: str
    description: str
    read: Callable[[], float]


class DeferredTelemetry:
    """The part of `Telemetry` that a router uses, loaded on first use."""

    __slots__ = (
        "_ended",
        "_ended_uncounted",
        "_first_tokens",
        "_loaded",
        "_refused",
        "_retried",
        "_watches",
    )

    def __init__(self):
        self._loaded = None
        self._refused: Counter[ResultCode] = Counter()
        self._retried: Counter[ResultCode] = Counter()
        self._ended: deque[tuple[RequestKind, Outcome, ResultCode, float]] = deque()
        self._ended_uncounted: Counter[tuple[RequestKind, Outcome, ResultCode]] = (
            Counter()
        )
        self._first_tokens: deque[float] = deque(maxlen=KEPT_TIMES)
        self._watches: list[_Watch] = []

    def refused(self, code: ResultCode) -> None:
        """Count a request that was refused, whatever the reason."""
        if self._loaded is None:
            self._refused[code] += 1
        else:
            self._loaded.refused(code)

    def retried(self, code: ResultCode) -> None:
        """Count an attempt after the first, by what failed before."""
        if self._loaded is None:
            self._retried[code] += 1
        else:
            self._loaded.retried(code)

    def ended(
        self, kind: RequestKind, outcome: Outcome, code: ResultCode, seconds: float
    ) -> None:
        """Count a request that ended, and its time since arrival."""
        if self._loaded is not None:
            self._loaded.ended(kind, outcome, code, seconds)
        elif len(self._ended) < KEPT_TIMES:
            self._ended.append((kind, outcome, code, seconds))
        else:
            self._ended_uncounted[(kind, outcome, code)] += 1

    def first_token(self, seconds: float) -> None:
        """Record the time from arrival to a request's first token."""
        if self._loaded is None:
            self._first_tokens.append(seconds)
        else:
            self._loaded.first_token(seconds)

    def watch(self, name: str, description: str, read: Callable[[], float]) -> None:
        """Export a value that is read at each scrape, such as a queue's length."""
        self._watches.append(_Watch(name, description, read))

    def exposition(self) -> bytes:
        """Return all metrics in Prometheus' text format."""
        if self._loaded is None:
            self._load()
        return self._loaded.exposition()

    def _load(self) -> None:
        from radishfield.telemetry._metrics import Telemetry

        loaded = Telemetry()
        for code, count in self._refused.items():
            loaded.refused(code, count)
        for code, count in self._retried.items():
            loaded.retried(code, count)
        for ended in self._ended:
            loaded.ended(*ended)
        for (kind, outcome, code), count in self._ended_uncounted.items():
            loaded.count_ended(kind, outcome, code, count)
        for seconds in self._first_tokens:
            loaded.first_token(seconds)
        for item in self._watches:
            loaded.watch(item.name, item.description, item.read)
        self._loaded = loaded
        for kept in (self._refused, self._retried, self._ended, self._first_tokens):
            kept.clear()
