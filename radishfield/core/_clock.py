"""Defines the system clock, and trio's clock for virtual time in tests."""

import math
import time
from typing import Protocol

import trio

TICK_ROUNDING = 1e-6
"""Share of a period before a tick that counts as the tick.  A sleep may end a rounding
error before it, and the next one would have no length."""


class Clock(Protocol):
    """A monotonic clock that also advances while the host is suspended."""

    def now(self) -> float:
        """Return the reading in seconds; only differences are meaningful."""


class SystemClock:
    """Seconds since boot, suspension included.

    ``CLOCK_MONOTONIC`` stops while a host is suspended.  A lease holder that was
    suspended until its lease expired would resume without noticing, and send
    orders at the same time as its successor.  ``CLOCK_BOOTTIME`` includes the
    suspension, so the holder detects the expiry before it sends anything.
    """

    __slots__ = ()

    def now(self) -> float:
        """Return seconds since boot."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class TrioClock:
    """Trio's clock, so that services run in a test's virtual time."""

    __slots__ = ()

    def now(self) -> float:
        """Return trio's current time in seconds."""
        return trio.current_time()


def until_tick_s(period_s: float) -> float:
    """Return the time until the next multiple of a period on trio's clock.

    Periodic tasks whose periods divide one another wake in the same turn of the event
    loop.  An idle host has ten of them, and a turn for each costs it more than what
    they do.
    """
    now = trio.current_time()
    ticks = math.floor(now / period_s + TICK_ROUNDING) + 1
    return ticks * period_s - now


async def sleep_to_tick(period_s: float) -> None:
    """Sleep until the next multiple of a period on trio's clock."""
    await trio.sleep(until_tick_s(period_s))
