"""Telemetry that keeps plain counts until the first scrape.

Loading the metrics library takes 0.13 s and 4 MB, and each record some 8 us.  Without
it a restarted host serves that much sooner, and a host that is never scraped never
pays.  The first scrape transfers the kept values to the library, which records
directly from then on.
"""

from collections import Counter, deque
from collections.abc import Callable

import msgspec

from radishfield.core import Outcome, ResultCode
from radishfield.telemetry._kinds import RequestKind

KEPT_TIMES = 20_000
"""Durations kept for the histograms, about 3 MB at most: an hour of requests at a
few per second.  Counters stay complete beyond this."""


class _Gauge(msgspec.Struct, frozen=True):
    name: str
    description: str
    read: Callable[[], float]


class DeferredTelemetry:
    """The methods of `Telemetry` that a router uses; loads it at the first scrape."""

    __slots__ = (
        "_ended",
        "_ended_untimed",
        "_first_tokens",
        "_loaded",
        "_refused",
        "_retried",
        "_gauges",
    )

    def __init__(self):
        self._loaded = None
        self._refused: Counter[ResultCode] = Counter()
        self._retried: Counter[ResultCode] = Counter()
        self._ended: deque[tuple[RequestKind, Outcome, ResultCode, float]] = deque()
        self._ended_untimed: Counter[tuple[RequestKind, Outcome, ResultCode]] = (
            Counter()
        )
        self._first_tokens: deque[float] = deque(maxlen=KEPT_TIMES)
        self._gauges: list[_Gauge] = []

    def refused(self, code: ResultCode) -> None:
        """Count a refused request by its result code."""
        if self._loaded is None:
            self._refused[code] += 1
        else:
            self._loaded.refused(code)

    def retried(self, code: ResultCode) -> None:
        """Count a retry by the failure of the previous attempt."""
        if self._loaded is None:
            self._retried[code] += 1
        else:
            self._loaded.retried(code)

    def ended(
        self, kind: RequestKind, outcome: Outcome, code: ResultCode, seconds: float
    ) -> None:
        """Count an ended request and record its time since arrival."""
        if self._loaded is not None:
            self._loaded.ended(kind, outcome, code, seconds)
        elif len(self._ended) < KEPT_TIMES:
            self._ended.append((kind, outcome, code, seconds))
        else:
            self._ended_untimed[(kind, outcome, code)] += 1

    def first_token(self, seconds: float) -> None:
        """Record the time from arrival to a request's first token."""
        if self._loaded is None:
            self._first_tokens.append(seconds)
        else:
            self._loaded.first_token(seconds)

    def watch(self, name: str, description: str, read: Callable[[], float]) -> None:
        """Export a value that is read at each scrape, such as a queue length."""
        self._gauges.append(_Gauge(name, description, read))

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
        for (kind, outcome, code), count in self._ended_untimed.items():
            loaded.count_ended(kind, outcome, code, count)
        for seconds in self._first_tokens:
            loaded.first_token(seconds)
        for gauge in self._gauges:
            loaded.watch(gauge.name, gauge.description, gauge.read)
        self._loaded = loaded
        for kept in (self._refused, self._retried, self._ended, self._first_tokens):
            kept.clear()
