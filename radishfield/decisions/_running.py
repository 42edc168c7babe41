"""A dispatched request, with the capacity it holds and its progress."""

from radishfield.decisions._claims import Claim
from radishfield.decisions._data import Dispatch
from radishfield.decisions._lengths import PROMPT_TOKEN_COST
from radishfield.decisions._pool import Pool

SAMPLE_TOKENS = 8
"""Tokens after which a stream's token time is measured, or the time that they
should take.  So a slow target shows within a few tokens, not at the end of an
answer."""


class RunningRequest:
    """A request in flight, over all its attempts.

    Attributes
    ----------
    last_at : float
        When the last token arrived, or the attempt started.
    refused_until : float
        When a target that refused an attempt may have free capacity again.
    suspected : bool
        Whether the silence since the last token was counted against a target.
    """

    __slots__ = (
        "pool",
        "dispatch",
        "claim",
        "started_at",
        "cost",
        "tokens",
        "ever_started",
        "refused_until",
        "suspected",
        "_holds_claim",
        "_sample_at",
        "_sample_tokens",
        "last_progress_at",
    )

    def __init__(
        self, pool: Pool, dispatch: Dispatch, claim: Claim, now: float, cost: float
    ):
        self.pool = pool
        self.dispatch = dispatch
        self.claim = claim
        self.started_at = now
        self.cost = cost
        self.tokens = 0
        self.ever_started = False
        self.refused_until = now
        self.suspected = False
        self._holds_claim = True
        self._sample_at: float | None = None
        self._sample_tokens = 0
        self.last_progress_at = now

    def advance(self, position: int, now: float) -> int:
        """Record a committed position, from 0; return the number of new tokens."""
        new = max(0, position + 1 - self.tokens)
        self.tokens += new
        self.suspected = False
        self.last_progress_at = now
        if self._sample_at is None:
            self._sample_at, self._sample_tokens = now, self.tokens
        return new

    def sample_token_s(self) -> float | None:
        """Return the seconds for a token, every few tokens, else None."""
        tokens = self.tokens - self._sample_tokens
        if tokens < 1 or self._sample_at is None:
            return None
        elapsed_s = self.last_progress_at - self._sample_at
        if tokens < SAMPLE_TOKENS and elapsed_s < SAMPLE_TOKENS * self.claim.expected_s:
            return None
        token_s = elapsed_s / tokens
        self._sample_at, self._sample_tokens = self.last_progress_at, self.tokens
        return token_s

    def cost_so_far(self) -> float:
        """Return the prompt and the committed tokens, as a cost."""
        prompt = self.dispatch.work.prompt_tokens * PROMPT_TOKEN_COST
        return prompt + self.tokens + 1

    def measures_token_time(self) -> bool:
        """Tell whether its time from start to now measures the token time."""
        plain = self.claim.route is None
        return self.dispatch.attempt == 1 and (plain or self.tokens > 0)

    def release(self) -> None:
        """Release the held claim, once."""
        if self._holds_claim:
            self.pool.end(self.claim)
            self._holds_claim = False

    def restart(self, dispatch: Dispatch, claim: Claim, at: float) -> None:
        """Start the next attempt; the caller counts its claim as in flight."""
        self.dispatch = dispatch
        self.claim = claim
        self.suspected = False
        self._holds_claim = True
        self._sample_at = None
        self.last_progress_at = at
