"""Time limits that do not count the time in which this process was held up.

When a process has been held up, it finds a passed deadline before it reads what arrived
meanwhile.  A plain time limit then ends work whose result is already there.
"""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import trio

T = TypeVar("T")

HELD_UP_S = 0.05
"""Lateness of a timer that shows that the process was held up."""


async def run_within(limit_s: float, work: Callable[[], Awaitable[T]]) -> T:
    """Run work within a time limit, and return its result.

    If the process was held up when the limit passed, the work has as much time more,
    in which what arrived meanwhile is read.

    Raises
    ------
    trio.TooSlowError
        The work did not end in time.
    """
    ended = False
    problem: Exception | None = None
    with trio.CancelScope() as scope:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_cancel_after, limit_s, scope)
            try:
                result = await work()
            except Exception as raised:  # noqa: BLE001
                problem = raised
            ended = True
            nursery.cancel_scope.cancel()
    if not ended:
        raise trio.TooSlowError
    if problem is not None:
        raise problem
    return result


async def _cancel_after(limit_s: float, scope: trio.CancelScope) -> None:
    due_at = trio.current_time() + limit_s
    await trio.sleep_until(due_at)
    late_s = trio.current_time() - due_at
    if late_s >= HELD_UP_S:
        await trio.sleep(min(late_s, limit_s))
    scope.cancel()
