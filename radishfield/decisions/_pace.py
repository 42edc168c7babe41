"""Learned estimates of token times and of the queue's drain rate.

A forecast from declared speeds is wrong as soon as batches fill, links slow
down or a target dies.  A forecast that is too fast admits work that ends late.
One that is too slow refuses work while targets are idle.  Both estimates are
therefore learned, from answers that ended and from tokens passed while work was
waiting.
"""

import math

from radishfield.core import Priority

SMOOTHING = 0.05
"""Averages about the last twenty answers, so a filling batch shows in seconds."""

DEVIATION_FACTOR = 2.0
"""Mean deviations added to a forecast.  Under overload each admitted request is
dispatched as late as its forecast allows, so any run beyond the forecast ends
late."""

WINDOW_S = 1.0
"""Throughput is measured over a second, since shorter windows see single steps."""

EFFICIENCY_SMOOTHING = 0.2
EFFICIENCY_RANGE = (0.2, 1.2)
"""A fraction of the bound outside this range is a measurement error, since
nothing passes more than the bound for long."""

INITIAL_EFFICIENCY = 0.9


class TokenTime:
    """Seconds for each expected token of a running request, with its spread."""

    __slots__ = ("mean_s", "spread_s", "_learned")

    def __init__(self, initial_s: float):
        self.mean_s = initial_s
        self.spread_s = 0.0
        self._learned = False

    def reset_initial(self, initial_s: float) -> None:
        """Replace the initial estimate if no request has ended yet."""
        if not self._learned:
            self.mean_s = initial_s

    def learn(self, run_s: float, cost: float) -> None:
        """Update the estimate with a request that ended."""
        sample = run_s / max(cost, 1.0)
        self._learned = True
        self.spread_s += SMOOTHING * (abs(sample - self.mean_s) - self.spread_s)
        self.mean_s += SMOOTHING * (sample - self.mean_s)

    def expected_s(self, cost: float) -> float:
        """Return the expected run time of work of a cost."""
        return self.mean_s * cost

    def conservative_s(self, cost: float, cost_spread: float = 0.0) -> float:
        """Return a run time that about nineteen in twenty requests stay under.

        The errors of the token time and of the length are independent, so their
        deviations add as squares.

        Parameters
        ----------
        cost_spread : float
            Mean deviation of the cost, as a fraction of the cost.
        """
        time_spread = self.spread_s / max(self.mean_s, 1e-9)
        margin = DEVIATION_FACTOR * math.hypot(time_spread, cost_spread)
        return self.mean_s * cost * (1 + margin)


class TokenTimes:
    """Token times of all work, and of each priority that is sent to engines.

    Tokens of a higher priority overtake the others at each stage, so they take
    less time on the same route.
    """

    __slots__ = ("overall", "_token_time_by_priority")

    def __init__(self, initial_s: float):
        self.overall = TokenTime(initial_s)
        self._token_time_by_priority: dict[Priority, TokenTime] = {}

    def reset_initial(self, initial_s: float) -> None:
        """Replace the initial estimate of each token time not learned yet."""
        for token_time in (self.overall, *self._token_time_by_priority.values()):
            token_time.reset_initial(initial_s)

    def at(self, priority: Priority) -> TokenTime:
        """Return the token time of work sent to engines with this priority."""
        token_time = self._token_time_by_priority.get(priority)
        if token_time is None:
            token_time = self._token_time_by_priority[priority] = TokenTime(
                self.overall.mean_s
            )
        return token_time

    def factor(self, priority: Priority) -> float:
        """Return the ratio of a priority's token time to that of all work."""
        return self.at(priority).mean_s / max(self.overall.mean_s, 1e-9)

    def learn(self, priority: Priority, run_s: float, cost: float) -> None:
        """Update both estimates with a request that ended."""
        self.overall.learn(run_s, cost)
        self.at(priority).learn(run_s, cost)


class DrainRate:
    """Tokens per second that leave this host's queue under load."""

    __slots__ = ("_efficiency", "_tokens", "_window_start")

    def __init__(self):
        self._efficiency = INITIAL_EFFICIENCY
        self._tokens = 0.0
        self._window_start: float | None = None

    def tps(self, even_share_tps: float) -> float:
        """Return the rate, given this host's even share of the bound."""
        return max(even_share_tps * self._efficiency, 1e-6)

    def add_tokens(self, tokens: float) -> None:
        """Count tokens that were committed."""
        self._tokens += tokens

    def tick(self, now: float, waiting: bool, even_share_tps: float) -> None:
        """Close a window; only windows with work waiting measure what can pass."""
        if not waiting:
            self._window_start = None
            return
        if self._window_start is None:
            self._window_start, self._tokens = now, 0.0
            return
        elapsed = now - self._window_start
        if elapsed < WINDOW_S or even_share_tps <= 0:
            return
        sample = self._tokens / elapsed / even_share_tps
        low, high = EFFICIENCY_RANGE
        sample = min(high, max(low, sample))
        self._efficiency += EFFICIENCY_SMOOTHING * (sample - self._efficiency)
        self._window_start, self._tokens = now, 0.0
