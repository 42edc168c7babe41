"""Measures how busy this process's event loop is."""

import time

import msgspec
import trio


class LoopUse(msgspec.Struct, frozen=True):
    """How an event loop spent some time.

    Attributes
    ----------
    seconds : float
        Length of that time.
    idle_share : float
        Share of it in which the loop waited because no task could run.
    turns : int
        Turns of the loop, in each of which every ready task ran one step.
    """

    seconds: float
    idle_share: float
    turns: int

    @property
    def turn_s(self) -> float:
        """Return the mean processing time of a turn."""
        busy_s = (1.0 - self.idle_share) * self.seconds
        return busy_s / self.turns if self.turns else self.seconds


class LoopMeter(trio.abc.Instrument):
    """Adds up the time in which trio's loop waits for input or a timer.

    A loop that has work polls for input without waiting, so that a process which gets
    too little of a processor is seen to be busy all the time, whatever its share is.
    """

    def __init__(self):
        self._began_at = time.monotonic()
        self._idle_s = 0.0
        self._turns = 0
        self._waits_since: float | None = None

    def before_io_wait(self, timeout: float) -> None:
        """Note the start of a wait; trio calls this once a turn."""
        self._turns += 1
        self._waits_since = time.monotonic() if timeout > 0.0 else None

    def after_io_wait(self, timeout: float) -> None:
        """Add a wait that has ended."""
        if self._waits_since is not None:
            self._idle_s += time.monotonic() - self._waits_since
            self._waits_since = None

    def take(self) -> LoopUse:
        """Return the use of the loop since the last call."""
        now = time.monotonic()
        seconds = max(now - self._began_at, 1e-6)
        use = LoopUse(seconds, min(1.0, self._idle_s / seconds), self._turns)
        self._began_at, self._idle_s, self._turns = now, 0.0, 0
        return use
