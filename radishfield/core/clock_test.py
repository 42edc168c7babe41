"""Tests of periodic tasks that share their ticks."""

import pytest
import trio
from trio.testing import MockClock

from radishfield.core import sleep_to_tick, until_tick_s


@pytest.mark.parametrize("started_at", [0.0, 0.013, 0.0999, 7.31])
def test_tasks_with_a_common_period_wake_at_the_same_moment(started_at):
    """An idle host's time goes into turns of the event loop, one for each timer."""

    async def wake(woken_at, delay_s, period_s):
        await trio.sleep(delay_s)
        for _ in range(10):
            await sleep_to_tick(period_s)
            woken_at.append(round(trio.current_time(), 6))

    async def scenario():
        woken_at: list[float] = []
        await trio.sleep(started_at)
        async with trio.open_nursery() as nursery:
            for delay_s, period_s in [(0.0, 0.05), (0.021, 0.1), (0.037, 0.1)]:
                nursery.start_soon(wake, woken_at, delay_s, period_s)
        return woken_at

    woken_at = trio.run(scenario, clock=MockClock(autojump_threshold=0))
    assert len(woken_at) == 30
    assert len(set(woken_at)) <= 21
    assert all(round(at / 0.05) * 0.05 == pytest.approx(at) for at in woken_at)


@pytest.mark.parametrize("period_s", [0.05, 0.1, 0.25, 0.06])
def test_no_sleep_between_ticks_is_without_length(period_s):
    """A rounding error before a tick kept a task busy in virtual time for ever."""

    async def scenario():
        lengths_s = []
        for _ in range(2000):
            lengths_s.append(until_tick_s(period_s))
            await trio.sleep(lengths_s[-1])
        return lengths_s

    lengths_s = trio.run(scenario, clock=MockClock(autojump_threshold=0))
    assert min(lengths_s) > 0.9 * period_s
