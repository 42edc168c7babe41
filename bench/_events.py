"""Runs scheduled calls in virtual time."""

import heapq
import itertools
from collections.abc import Callable


class Events:
    """Queue of calls, ordered by time and then by the order of scheduling."""

    __slots__ = ("now", "_heap", "_sequence")

    def __init__(self):
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable, tuple]] = []
        self._sequence = itertools.count()

    def at(self, when: float, call: Callable, *args) -> None:
        """Schedule a call at a time in seconds."""
        heapq.heappush(self._heap, (when, next(self._sequence), call, args))

    def run(self, until: float) -> None:
        """Run the calls that are due before a time."""
        heap = self._heap
        while heap and heap[0][0] < until:
            self.now, _, call, args = heapq.heappop(heap)
            call(*args)
        self.now = until
