"""A small model of continuous batching, in which larger batches are slower."""

import heapq
import itertools

import trio

# A batch of eight takes about one and a half times as long as a single step,
# as in memory-bound decoding.
COST_PER_EXTRA_STEP = 0.07
# Prefill time of one token as a fraction of a step: prompt tokens are processed
# in parallel, so many of them cost as much as one step.
PREFILL_STEPS_PER_TOKEN = 0.02
# Weight of the newest batch in the mean step time of the load report.
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
        """Return the number of steps waiting for a batch."""
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
            seconds = self._batch_seconds(batch)
            self.mean_s += (seconds - self.mean_s) * MEAN_WEIGHT
            await trio.sleep(seconds)
            for _, _, _, done in batch:
                done.set()
            if not self._heap:
                self._wake = trio.Event()

    def _batch_seconds(self, batch) -> float:
        prefill = sum(tokens for _, _, tokens, _ in batch) * PREFILL_STEPS_PER_TOKEN
        cost = 1.0 + COST_PER_EXTRA_STEP * (len(batch) - 1) + prefill
        return self.step_s * self.slow_factor * cost
