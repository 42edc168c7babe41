"""Runs trio tasks in virtual time from plain calls, such as hypothesis rules.

Hypothesis calls its rules as ordinary functions, whereas trio normally owns the
event loop.  Therefore trio runs in guest mode, with the queue in this module as
the host loop: a rule starts tasks and pumps the queue until its condition holds.
Time advances only inside `Loop.pass_time`, from one deadline to the next, and
trio's order of ready tasks is seeded, so that a seed reproduces the same run.
"""

import queue
from collections.abc import Awaitable, Callable

import trio
import trio.testing

# A rule takes a few thousand ticks at most.  More than this limit means that tasks
# wake each other for ever without time passing, which would hang the test.
MAX_TICKS = 400_000
Job = Callable[[], Awaitable[object]]


class LoopStuckError(AssertionError):
    """The tasks kept running without any progress."""


class Loop:
    """A trio run under a `MockClock` that advances only in `pass_time`."""

    __slots__ = ("_ready", "_outcome", "_nursery", "_stop", "_clock")

    def __init__(self, seed: int):
        # Trio has no public switch for a reproducible order of ready tasks.  Its own
        # hypothesis plugin sets the same private names.
        trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
        trio._core._run._r.seed(seed)
        self._ready: queue.SimpleQueue = queue.SimpleQueue()
        self._outcome: list = []
        self._nursery: trio.Nursery | None = None
        self._stop = trio.Event()
        self._clock = trio.testing.MockClock(autojump_threshold=0)
        trio.lowlevel.start_guest_run(
            self._main,
            run_sync_soon_threadsafe=self._ready.put,
            done_callback=self._outcome.append,
            host_uses_signal_set_wakeup_fd=True,
            clock=self._clock,
        )
        self._pump(lambda: self._nursery is not None)

    @property
    def now(self) -> float:
        """Return the virtual time in seconds."""
        return self._clock.current_time()

    def start(self, job: Job) -> None:
        """Start a task, which first runs when the loop is pumped next."""
        self._nursery.start_soon(job)

    def run(self, job: Job) -> object:
        """Run a coroutine to its end and return its result."""
        results: list[object] = []

        async def keep_result() -> None:
            results.append(await job())

        self.start(keep_result)
        self._pump(lambda: results)
        return results[0]

    def settle(self) -> None:
        """Run all tasks until every one of them waits, without time passing."""
        self.run(trio.testing.wait_all_tasks_blocked)

    def pass_time(self, seconds: float) -> None:
        """Advance the time from deadline to deadline, then settle."""

        async def sleep() -> None:
            await trio.sleep(seconds)

        self.run(sleep)
        self.settle()

    @property
    def has_crashed(self) -> bool:
        """Return whether a task's exception has ended the loop."""
        return bool(self._outcome)

    def close(self) -> None:
        """Cancel all running tasks, and raise what a task raises on its way out."""
        if self.has_crashed:
            return
        self._nursery.cancel_scope.cancel()
        self._pump(lambda: self._outcome, through_end=True)
        self._outcome[0].unwrap()

    async def _main(self) -> None:
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await trio.sleep_forever()

    def _pump(self, until: Callable[[], object], through_end: bool = False) -> None:
        for _ in range(MAX_TICKS):
            if until():
                return
            if self._outcome and not through_end:
                self._outcome[0].unwrap()
            self._ready.get(timeout=10)()
        raise LoopStuckError(f"tasks still running after {MAX_TICKS} ticks")
