"""OpenTelemetry metrics behind plain methods, scraped in Prometheus' text format.

The cost for each token limits a host's tokens per second: a histogram record takes
about 8 us, an increment of an integer well under 1 us.  So tokens are counted in a
plain integer that is read at each scrape, and only one in `TOKEN_GAP_SAMPLE` gaps
between tokens is recorded in the histogram.  Sampling is by count, not by value, so
the histogram's proportions stay correct; its count is not the number of tokens,
which has its own counter.
"""

from collections.abc import Callable, Mapping, Sequence

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from prometheus_client import CollectorRegistry, generate_latest

from radishfield.core import REFUSAL_CODES, Outcome, ResultCode
from radishfield.telemetry._kinds import RequestKind

# A prime, so that sampling does not align with the number of tokens per chunk.
TOKEN_GAP_SAMPLE = 7
# The users' limits, 0.34 s to the first token and 43 ms between tokens, are bucket
# edges, so that the share within them can be read without interpolation.
FIRST_TOKEN_BOUNDS_S = (0.05, 0.1, 0.2, 0.34, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0)
TOKEN_GAP_BOUNDS_S = (0.005, 0.01, 0.02, 0.03, 0.043, 0.06, 0.1, 0.25, 1.0, 5.0)
REQUEST_BOUNDS_S = (0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0, 300.0)

RETRY_CODES = tuple(code for code in ResultCode if 4000 < code < 5000)


class Telemetry:
    """The metrics of one entry host."""

    __slots__ = (
        "_registry",
        "_meter",
        "_refusals",
        "_retries",
        "_requests",
        "_first_token",
        "_token_gap",
        "_request_time",
        "_tokens",
        "_gaps_since_sample",
    )

    def __init__(self):
        self._registry = CollectorRegistry()
        reader = PrometheusMetricReader(
            disable_target_info=True,
            prefix="radishfield",
            scope_info_enabled=False,
            registry=self._registry,
        )
        provider = MeterProvider(metric_readers=[reader], shutdown_on_exit=False)
        self._meter = provider.get_meter("radishfield")
        self._refusals = self._meter.create_counter(
            "refusals", description="Requests refused, by result code."
        )
        self._retries = self._meter.create_counter(
            "retries", description="Attempts after the first, by what failed."
        )
        self._requests = self._meter.create_counter(
            "requests", description="Requests that ended, by outcome and code."
        )
        self._first_token = self._histogram(
            "first_token", FIRST_TOKEN_BOUNDS_S, "Time to the first token."
        )
        self._token_gap = self._histogram(
            "token_gap", TOKEN_GAP_BOUNDS_S, "Time between tokens, sampled."
        )
        self._request_time = self._histogram(
            "request", REQUEST_BOUNDS_S, "Time of whole requests."
        )
        self._tokens = 0
        self._gaps_since_sample = 0
        self._meter.create_observable_counter(
            "tokens", [self._observe_tokens], description="Tokens passed on."
        )
        self._initialize_series()

    def refused(self, code: ResultCode, count: int = 1) -> None:
        """Count refused requests by result code."""
        self._refusals.add(count, _code_labels(code))

    def retried(self, code: ResultCode, count: int = 1) -> None:
        """Count retries by the failure of the previous attempt."""
        self._retries.add(count, _code_labels(code))

    def ended(
        self, kind: RequestKind, outcome: Outcome, code: ResultCode, seconds: float
    ) -> None:
        """Count an ended request and record its time since arrival."""
        self.count_ended(kind, outcome, code, 1)
        labels = {"kind": str(kind), "outcome": str(outcome)}
        self._request_time.record(seconds, labels)

    def count_ended(
        self, kind: RequestKind, outcome: Outcome, code: ResultCode, count: int
    ) -> None:
        """Count ended requests without recording their times."""
        labels = {"kind": str(kind), "outcome": str(outcome)}
        self._requests.add(count, labels | {"code": str(int(code))})

    def first_token(self, seconds: float) -> None:
        """Record the time from arrival to a request's first token."""
        self._tokens += 1
        self._first_token.record(seconds)

    def token_gap(self, seconds: float) -> None:
        """Count a token after the first, and sample the time since the previous one."""
        self._tokens += 1
        self._gaps_since_sample += 1
        if self._gaps_since_sample == TOKEN_GAP_SAMPLE:
            self._gaps_since_sample = 0
            self._token_gap.record(seconds)

    def watch(self, name: str, description: str, read: Callable[[], float]) -> None:
        """Export a value that is read at each scrape, such as a queue length."""

        def observe(options: CallbackOptions) -> list[Observation]:
            return [Observation(read())]

        self._meter.create_observable_gauge(name, [observe], description=description)

    def watch_codes(
        self,
        name: str,
        description: str,
        codes: Sequence[ResultCode],
        read: Callable[[], Mapping[ResultCode, int]],
    ) -> None:
        """Export one counter per result code, zero if absent, read at each scrape."""

        def observe(options: CallbackOptions) -> list[Observation]:
            count_by_code = read()
            return [
                Observation(count_by_code.get(code, 0), _code_labels(code))
                for code in codes
            ]

        self._meter.create_observable_counter(name, [observe], description=description)

    def exposition(self) -> bytes:
        """Return all metrics in Prometheus' text format."""
        return generate_latest(self._registry)

    def _histogram(self, name: str, bounds: tuple[float, ...], description: str):
        return self._meter.create_histogram(
            name,
            unit="s",
            description=description,
            explicit_bucket_boundaries_advisory=list(bounds),
        )

    def _observe_tokens(self, options: CallbackOptions) -> list[Observation]:
        return [Observation(self._tokens)]

    def _initialize_series(self) -> None:
        """Export each reason from zero on, so that an alert sees its first rise."""
        for code in REFUSAL_CODES:
            self._refusals.add(0, _code_labels(code))
        for code in RETRY_CODES:
            self._retries.add(0, _code_labels(code))


class NullTelemetry(Telemetry):
    """Records nothing; for tests and for hosts whose metrics export is off."""

    __slots__ = ()

    def __init__(self):
        pass

    def refused(self, code):
        """Do nothing."""

    def retried(self, code):
        """Do nothing."""

    def ended(self, kind, outcome, code, seconds):
        """Do nothing."""

    def first_token(self, seconds):
        """Do nothing."""

    def token_gap(self, seconds):
        """Do nothing."""

    def watch(self, name, description, read):
        """Do nothing."""

    def watch_codes(self, name, description, codes, read):
        """Do nothing."""

    def exposition(self):
        """Return no metrics."""
        return b""


def _code_labels(code: ResultCode) -> dict[str, str]:
    reason = code.name.lower().replace("_", "-")
    return {"code": str(int(code)), "reason": reason}
