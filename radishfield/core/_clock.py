"""The two clocks: the host's own, and trio's for virtual time in tests."""

import time
from typing import Protocol

import trio


class Clock(Protocol):
    """Seconds that never go back and that count while the host is suspended."""

    def now(self) -> float:
        """Return the reading in seconds; only differences have a meaning."""


class SystemClock:
    """Seconds since boot, suspension included.

    ``CLOCK_MONOTONIC`` stands still while a host is suspended.  A lease holder
    that slept through its lease would wake, see no time gone, and go on giving
    orders beside its successor.  ``CLOCK_BOOTTIME`` counts the sleep, so the
    holder sees its lease lapsed before it sends anything.
    """

    __slots__ = ()

    def now(self) -> float:
        """Return seconds since boot."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class TrioClock:
    """Trio's own time, so that services run in a test's virtual time."""

    __slots__ = ()

    def now(self) -> float:
        """Return trio's current time in seconds."""
        return trio.current_time()
