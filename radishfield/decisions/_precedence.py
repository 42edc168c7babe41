"""The priority that is sent to the engines with a request's tokens.

When a few workspaces keep every batch full, or long answers run beside short
ones, fair queueing does not help a request that is already running: at each
stage its token waits behind those of the heavy ones.  Engines honour
priorities, so short work of a workspace with little work is sent one step above
its own priority, and long work one step below.  The former is rare by
definition and takes almost nothing from the others.  The latter takes longer
than any caller waits for a token anyway.
"""

from radishfield.core import Priority
from radishfield.decisions._queues import Lane

LIGHT_FACTOR = 2.0
"""Times below an even share of the running work at which a workspace is light.
Equal workspaces vary by less, so none of them is light."""


class WorkspaceLoad:
    """Expected tokens waiting or running, by workspace; idle ones use no memory."""

    __slots__ = ("_cost_by_workspace", "_count_by_workspace", "_total")

    def __init__(self):
        self._cost_by_workspace: dict[str, float] = {}
        self._count_by_workspace: dict[str, int] = {}
        self._total = 0.0

    def begin(self, workspace: str, cost: float) -> None:
        """Add admitted work."""
        self._total += cost
        costs, counts = self._cost_by_workspace, self._count_by_workspace
        costs[workspace] = costs.get(workspace, 0.0) + cost
        counts[workspace] = counts.get(workspace, 0) + 1

    def end(self, workspace: str, cost: float) -> None:
        """Subtract work that ended, in whatever way."""
        self._total = max(0.0, self._total - cost)
        self._cost_by_workspace[workspace] -= cost
        self._count_by_workspace[workspace] -= 1
        if not self._count_by_workspace[workspace]:
            del self._count_by_workspace[workspace]
            del self._cost_by_workspace[workspace]

    def is_light(self, workspace: str, extra: float = 0.0) -> bool:
        """Tell whether a workspace has little work, with ``extra`` tokens added."""
        own = self._cost_by_workspace.get(workspace, 0.0) + extra
        workspaces = len(self._cost_by_workspace) or 1
        return own * LIGHT_FACTOR * workspaces < self._total


HIGHER = {p: Priority(max(Priority.URGENT, p - 1)) for p in Priority}
LOWER = {p: Priority(min(Priority.LOW, p + 1)) for p in Priority}


def engine_priority(priority: Priority, lane: Lane, light: bool) -> Priority:
    """Return the priority to send to the engines."""
    if light and lane is Lane.SHORT:
        return HIGHER[priority]
    if lane is Lane.LONG and not light:
        return LOWER[priority]
    return priority


def raised_priority(priority: Priority) -> Priority:
    """Return the priority for interrupted work, as its caller has already waited."""
    return HIGHER[priority]
