"""How fast admitted work runs, and how fast waiting work leaves.

Load pattern: a forecast from declared speeds is wrong as soon as batches fill,
links slow down or a target dies.  Too fast a forecast admits work that ends
late; too slow a one refuses while targets stand idle.  Both figures are
therefore learned, from answers that ended and from tokens passed while work was
waiting.
"""

import math

from radishfield.core import Priority

SMOOTHING = 0.05
"""About the last twenty answers: a batch that fills shows within seconds."""

CAUTION = 2.0
"""Mean deviations added: under overload each admitted request is dispatched as
late as its forecast allows, so whatever the forecast leaves out ends late."""

WINDOW_S = 1.0
"""Throughput is judged over a second; shorter windows see single steps."""

EFFICIENCY_SMOOTHING = 0.2
EFFICIENCY_RANGE = (0.2, 1.2)
"""A share of the bound outside this is a fault of the measurement: nothing
passes more than the bound for long."""

INITIAL_EFFICIENCY = 0.9


class Pace:
    """Seconds for each expected token of a running request, with its spread."""

    __slots__ = ("mean_s", "spread_s", "_learned")

    def __init__(self, first_guess_s: float):
        self.mean_s = first_guess_s
        self.spread_s = 0.0
        self._learned = False

    def reset_guess(self, guess_s: float) -> None:
        """Replace the first guess while no answer has come yet."""
        if not self._learned:
            self.mean_s = guess_s

    def learn(self, run_s: float, cost: float) -> None:
        """Take in a request that ended."""
        sample = run_s / max(cost, 1.0)
        self._learned = True
        self.spread_s += SMOOTHING * (abs(sample - self.mean_s) - self.spread_s)
        self.mean_s += SMOOTHING * (sample - self.mean_s)

    def expected_s(self, cost: float) -> float:
        """Return the expected run of work of a cost."""
        return self.mean_s * cost

    def cautious_s(self, cost: float, cost_spread: float = 0.0) -> float:
        """Return a run that about nineteen in twenty stay under.

        The pace and the length err apart from each other, so their deviations
        add as squares.

        Parameters
        ----------
        cost_spread : float
            Mean deviation of the cost, as a part of the cost.
        """
        pace_spread = self.spread_s / max(self.mean_s, 1e-9)
        part = CAUTION * math.hypot(pace_spread, cost_spread)
        return self.mean_s * cost * (1 + part)


class Paces:
    """The pace of all work, and of each priority that engines are told.

    Tokens of a higher priority pass the others' at each stage, so the same route
    takes them less time.
    """

    __slots__ = ("overall", "_pace_by_priority")

    def __init__(self, first_guess_s: float):
        self.overall = Pace(first_guess_s)
        self._pace_by_priority: dict[Priority, Pace] = {}

    def reset_guess(self, guess_s: float) -> None:
        """Replace the first guess of those paces that nothing was learned of."""
        for pace in (self.overall, *self._pace_by_priority.values()):
            pace.reset_guess(guess_s)

    def at(self, priority: Priority) -> Pace:
        """Return the pace of work that engines are told this priority for."""
        pace = self._pace_by_priority.get(priority)
        if pace is None:
            pace = self._pace_by_priority[priority] = Pace(self.overall.mean_s)
        return pace

    def factor(self, priority: Priority) -> float:
        """Return a priority's pace over that of all work."""
        return self.at(priority).mean_s / max(self.overall.mean_s, 1e-9)

    def learn(self, priority: Priority, run_s: float, cost: float) -> None:
        """Take in a request that ended."""
        self.overall.learn(run_s, cost)
        self.at(priority).learn(run_s, cost)


class DrainRate:
    """Tokens per second that leave this host's queue under load."""

    __slots__ = ("_efficiency", "_passed", "_window_from")

    def __init__(self):
        self._efficiency = INITIAL_EFFICIENCY
        self._passed = 0.0
        self._window_from: float | None = None

    def tps(self, even_part_tps: float) -> float:
        """Return the rate, given this host's even part of the bound."""
        return max(even_part_tps * self._efficiency, 1e-6)

    def passed(self, tokens: float) -> None:
        """Count tokens that were committed."""
        self._passed += tokens

    def tick(self, now: float, waiting: bool, even_part_tps: float) -> None:
        """Close a window; only one with work waiting tells what can pass."""
        if not waiting:
            self._window_from = None
            return
        if self._window_from is None:
            self._window_from, self._passed = now, 0.0
            return
        elapsed = now - self._window_from
        if elapsed < WINDOW_S or even_part_tps <= 0:
            return
        sample = self._passed / elapsed / even_part_tps
        low, high = EFFICIENCY_RANGE
        sample = min(high, max(low, sample))
        self._efficiency += EFFICIENCY_SMOOTHING * (sample - self._efficiency)
        self._window_from, self._passed = now, 0.0
