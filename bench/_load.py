"""Seeded load: who asks for how much, and when."""

import random
from dataclasses import dataclass

from radishfield.core import Priority, TargetKind
from radishfield.decisions import Work

MODEL = "review-40"


@dataclass(slots=True, frozen=True)
class Ask:
    """A request with what only the engine knows: the length of its answer."""

    work: Work
    tokens: int


@dataclass(slots=True, frozen=True)
class Pattern:
    """How load is drawn.

    Attributes
    ----------
    tps : float
        Tokens asked for per second, on average.
    shares : tuple of float
        Part of the requests of each workspace.
    who : str
        Beginning of the workspaces' names.
    """

    tps: float
    from_s: float = 0.0
    until_s: float = 60.0
    mean_tokens: int = 60
    deadline_s: float = 40.0
    shares: tuple[float, ...] = (0.1,) * 10
    prompt_tokens: int = 40
    name: str = "r"
    who: str = "workspace"


def draw(pattern: Pattern, seed: int) -> list[Ask]:
    """Return the requests of a pattern, in order of arrival."""
    chance = random.Random(seed)
    asks = []
    now = pattern.from_s
    per_second = pattern.tps / pattern.mean_tokens
    names = [f"{pattern.who}-{index}" for index in range(len(pattern.shares))]
    while True:
        now += chance.expovariate(per_second)
        if now >= pattern.until_s:
            return asks
        tokens = max(2, round(pattern.mean_tokens * chance.uniform(0.3, 1.7)))
        allowed = round(tokens / chance.uniform(0.6, 1.0))
        workspace = chance.choices(names, pattern.shares)[0]
        prompt = round(pattern.prompt_tokens * chance.uniform(0.5, 1.5))
        work = Work(
            f"{pattern.name}-{len(asks)}",
            workspace,
            MODEL,
            TargetKind.ENGINE,
            Priority.NORMAL,
            now,
            now + pattern.deadline_s,
            prompt,
            allowed,
        )
        asks.append(Ask(work, tokens))
