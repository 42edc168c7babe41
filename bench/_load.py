"""Draws seeded load: arrival times, workspaces and lengths of requests."""

import random
from dataclasses import dataclass

from radishfield.core import Priority, TargetKind
from radishfield.decisions import Work

MODEL = "review-40"


@dataclass(slots=True, frozen=True)
class LoadRequest:
    """A request and the length of its answer, which only the engine knows."""

    work: Work
    tokens: int


@dataclass(slots=True, frozen=True)
class Pattern:
    """Parameters of randomly drawn load.

    Attributes
    ----------
    tps : float
        Tokens requested per second, on average.
    shares : tuple of float
        Share of the requests for each workspace.
    id_prefix : str
        Prefix of the request ids.
    workspace_prefix : str
        Prefix of the workspaces' names.
    """

    tps: float
    from_s: float = 0.0
    until_s: float = 60.0
    mean_tokens: int = 60
    deadline_s: float = 40.0
    shares: tuple[float, ...] = (0.1,) * 10
    prompt_tokens: int = 40
    id_prefix: str = "r"
    workspace_prefix: str = "workspace"


def draw(pattern: Pattern, seed: int) -> list[LoadRequest]:
    """Return the requests of a pattern, in order of arrival."""
    rng = random.Random(seed)
    requests = []
    now = pattern.from_s
    per_second = pattern.tps / pattern.mean_tokens
    names = [
        f"{pattern.workspace_prefix}-{index}" for index in range(len(pattern.shares))
    ]
    while True:
        now += rng.expovariate(per_second)
        if now >= pattern.until_s:
            return requests
        tokens = max(2, round(pattern.mean_tokens * rng.uniform(0.3, 1.7)))
        max_tokens = round(tokens / rng.uniform(0.6, 1.0))
        workspace = rng.choices(names, pattern.shares)[0]
        prompt = round(pattern.prompt_tokens * rng.uniform(0.5, 1.5))
        work = Work(
            f"{pattern.id_prefix}-{len(requests)}",
            workspace,
            MODEL,
            TargetKind.ENGINE,
            Priority.NORMAL,
            now,
            now + pattern.deadline_s,
            prompt,
            max_tokens,
        )
        requests.append(LoadRequest(work, tokens))
