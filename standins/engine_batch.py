"""Continuous batching in small: steps run together, a larger batch is slower."""

import heapq
import itertools

import trio

# A batch of eight takes about one and a half times as long as a single step,
# which is the shape that memory-bound decoding has.
COST_OF_ONE_MORE = 0.07
# Seconds of prefill for a token, as a part of a step: prompts are read in
# parallel, so many tokens cost as much as one step.
PREFILL_PART = 0.02
# Weight of the newest step in the mean that the load report carries.
MEAN_WEIGHT = 0.1


class Batcher:
    """Runs waiting steps in batches of up to ``slots``, urgent ones first."""

    __slots__ = ("step_s", "slots", "slow_factor", "mean_s", "_heap", "_order", "_wake")

    def __init__(self, step_s: float, slots: int):
        self.step_s = step_s
        self.slots = slots
        self.slow_factor = 1.0
        self.mean_s = step_s
        self._heap: list[tuple[int, int, int, trio.Event]] = []
        self._order = itertools.count()
        self._wake = trio.Event()

    @property
    def waiting(self) -> int:
        """Return how many steps wait for a batch."""
        return len(self._heap)

    async def step(self, priority: int, prefill_tokens: int) -> None:
        """Wait until this step has been run in a batch."""
        done = trio.Event()
        entry = (priority, next(self._order), prefill_tokens, done)
        heapq.heappush(self._heap, entry)
        self._wake.set()
        await done.wait()

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED):
        """Run batches until cancelled."""
        task_status.started()
        while True:
            await self._wake.wait()
            size = min(self.slots, len(self._heap))
            batch = [heapq.heappop(self._heap) for _ in range(size)]
            seconds = self._seconds(batch)
            self.mean_s += (seconds - self.mean_s) * MEAN_WEIGHT
            await trio.sleep(seconds)
            for _, _, _, done in batch:
                done.set()
            if not self._heap:
                self._wake = trio.Event()

    def _seconds(self, batch) -> float:
        prefill = sum(tokens for _, _, tokens, _ in batch) * PREFILL_PART
        grown = 1.0 + COST_OF_ONE_MORE * (len(batch) - 1) + prefill
        return self.step_s * self.slow_factor * grown
