"""Which priority an engine is told for a request's tokens.

Load pattern: a few workspaces keep every batch full, or long answers run beside
short ones.  Fair turns in the queue do not help a request that already runs:
at each stage its token waits behind those of the heavy ones.  Engines honour
priorities, so a request of a workspace that holds little is told one step
higher than its own priority, and a long one a step lower.  The former are few
by definition, so they take next to nothing from the others; the latter take
longer than anyone waits for a token anyway.
"""

from radishfield.core import Priority
from radishfield.decisions._queues import Lane

LIGHT_FACTOR = 2.0
"""Times under an even share of the running work at which a workspace is light:
equal workspaces scatter by less, so none of them is."""


class HeldShares:
    """Expected tokens that wait or run, by workspace; idle ones take no memory."""

    __slots__ = ("_cost_by_workspace", "_count_by_workspace", "_total")

    def __init__(self):
        self._cost_by_workspace: dict[str, float] = {}
        self._count_by_workspace: dict[str, int] = {}
        self._total = 0.0

    def begin(self, workspace: str, cost: float) -> None:
        """Count admitted work in."""
        self._total += cost
        costs, counts = self._cost_by_workspace, self._count_by_workspace
        costs[workspace] = costs.get(workspace, 0.0) + cost
        counts[workspace] = counts.get(workspace, 0) + 1

    def end(self, workspace: str, cost: float) -> None:
        """Count work out that ended in whatever way."""
        self._total = max(0.0, self._total - cost)
        self._cost_by_workspace[workspace] -= cost
        self._count_by_workspace[workspace] -= 1
        if not self._count_by_workspace[workspace]:
            del self._count_by_workspace[workspace]
            del self._cost_by_workspace[workspace]

    def is_light(self, workspace: str, more: float = 0.0) -> bool:
        """Tell whether a workspace holds little, with so much more."""
        own = self._cost_by_workspace.get(workspace, 0.0) + more
        workspaces = len(self._cost_by_workspace) or 1
        return own * LIGHT_FACTOR * workspaces < self._total


HIGHER = {p: Priority(max(Priority.URGENT, p - 1)) for p in Priority}
LOWER = {p: Priority(min(Priority.LOW, p + 1)) for p in Priority}


def engine_priority(priority: Priority, lane: Lane, light: bool) -> Priority:
    """Return the priority that the engines are told."""
    if light and lane is Lane.SHORT:
        return HIGHER[priority]
    if lane is Lane.LONG and not light:
        return LOWER[priority]
    return priority


def raised(priority: Priority) -> Priority:
    """Return the priority for work that was cut: its caller has waited already."""
    return HIGHER[priority]
