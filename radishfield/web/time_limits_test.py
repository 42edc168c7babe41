"""Tests of time limits in a process that is held up."""

import time

import pytest
import trio
from trio.testing import MockClock

from radishfield.web import run_within

LIMIT_S = 0.2


async def ends_after(passes):
    """Return after some passes of the event loop, as work does whose input is there."""
    for _ in range(passes):
        await trio.sleep(0)
    return "result"


def hold_up(seconds):
    """Block the event loop, as other processes that take the processor do."""
    time.sleep(seconds)


def test_work_whose_input_arrived_while_the_process_was_held_up_is_not_ended():
    """Guards against a limit that is found passed before the input is read."""

    async def main():
        async with trio.open_nursery() as nursery:

            async def hold_up_once():
                await trio.sleep(0)
                hold_up(LIMIT_S + 0.3)

            nursery.start_soon(hold_up_once)
            assert await run_within(LIMIT_S, lambda: ends_after(passes=8)) == "result"

    trio.run(main)


def test_work_that_does_not_end_in_time_is_ended():
    async def main():
        started_at = trio.current_time()
        with pytest.raises(trio.TooSlowError):
            await run_within(LIMIT_S, trio.sleep_forever)
        assert trio.current_time() - started_at == pytest.approx(LIMIT_S)

    trio.run(main, clock=MockClock(autojump_threshold=0))


def test_work_that_does_not_end_while_the_process_is_held_up_is_ended():
    """Guards against a limit that is extended again and again."""

    async def main():
        async with trio.open_nursery() as nursery:

            async def hold_up_again_and_again():
                while True:
                    hold_up(0.1)
                    await trio.sleep(0)

            nursery.start_soon(hold_up_again_and_again)
            with trio.fail_after(10.0), pytest.raises(trio.TooSlowError):
                await run_within(LIMIT_S, trio.sleep_forever)
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_an_error_of_the_work_is_raised_as_it_is():
    async def fail():
        raise ValueError("wrong")

    async def main():
        with pytest.raises(ValueError, match="wrong"):
            await run_within(LIMIT_S, fail)

    trio.run(main, clock=MockClock(autojump_threshold=0))
