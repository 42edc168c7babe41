"""Estimates the cost of a request in tokens from the requests that finished.

Callers set ``max_tokens`` far above what they use.  Counting requests would give a
review of 2,000 tokens the same weight as a lookup of 5; counting ``max_tokens``
would refuse work that fits.  So the used share of ``max_tokens`` is learned for
each model, with its spread.
"""

from radishfield.decisions._data import Work

PROMPT_TOKEN_COST = 0.1
"""A prompt token is run in parallel with its neighbours; engines report prefill
at about ten times the speed of generation."""

SMOOTHING = 0.02
"""About the last fifty answers count: enough to smooth, short enough to follow
a change of profile within a minute at one request a second."""

INITIAL_SHARE = 0.8
"""Before any answer, most of ``max_tokens`` is assumed to be used, so that errors
refuse work early rather than finish it late."""


class LengthEstimate:
    """The used share of ``max_tokens``, by model."""

    __slots__ = ("_share_by_model", "_spread_by_model")

    def __init__(self):
        self._share_by_model: dict[str, float] = {}
        self._spread_by_model: dict[str, float] = {}

    def expected_cost(self, work: Work) -> float:
        """Return the expected cost in generated tokens, prompt included."""
        share = self._share_by_model.get(work.model, INITIAL_SHARE)
        return work.prompt_tokens * PROMPT_TOKEN_COST + work.max_tokens * share + 1

    def relative_spread(self, work: Work) -> float:
        """Return the mean deviation of the cost, relative to the cost."""
        share = self._share_by_model.get(work.model, INITIAL_SHARE)
        return self._spread_by_model.get(work.model, 0.0) / max(share, 0.01)

    def learn(self, work: Work, generated: int) -> None:
        """Update the estimate with the length of a finished answer."""
        if work.max_tokens <= 0:
            return
        used = min(1.0, generated / work.max_tokens)
        share = self._share_by_model.get(work.model, INITIAL_SHARE)
        spread = self._spread_by_model.get(work.model, 0.0)
        self._share_by_model[work.model] = share + SMOOTHING * (used - share)
        self._spread_by_model[work.model] = spread + SMOOTHING * (
            abs(used - share) - spread
        )
