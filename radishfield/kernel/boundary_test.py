"""Tests of what a defect in one piece of work ends, and what it does not."""

from itertools import pairwise

import pytest
import trio
import trio.testing

from radishfield.core import TrioClock
from radishfield.kernel import WorkBoundary
from radishfield.kernel._boundary import FIRST_PAUSE_S, MAX_PAUSE_S, MAX_SUBJECTS


def play(scenario):
    async def main():
        await scenario(WorkBoundary(TrioClock()))

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


async def fail():
    raise UnicodeError("a label is too long")


def test_defect_ends_the_work_for_its_subject_only():
    """Guards against a process that ends by the work for one target."""

    async def scenario(boundary):
        done = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(boundary.run, "measure", "t1", fail)
            await trio.sleep(0.1)
            done.append("after")
        assert done == ["after"] and boundary.defects == 1
        assert boundary.is_paused("measure", "t1")
        assert not boundary.is_paused("measure", "t2")
        assert not boundary.is_paused("order", "t1")

    play(scenario)


def test_work_that_fails_again_and_again_is_tried_after_growing_pauses():
    """Guards against a defect that is hidden for good, or that takes all the time."""

    async def scenario(boundary):
        tried_at = []

        async def work():
            tried_at.append(trio.current_time())
            raise KeyError("t1")

        while trio.current_time() < 400.0:
            await boundary.run("measure", "t1", work)
            await trio.sleep(0.1)
        # The work is asked for every tenth of a second.
        pauses = [round(later - at) for at, later in pairwise(tried_at)]
        assert pauses[0] == pytest.approx(FIRST_PAUSE_S, abs=0.5)
        assert pauses[-1] == pytest.approx(MAX_PAUSE_S, abs=0.5)
        assert pauses == sorted(pauses) and len(tried_at) < 25

    play(scenario)


def test_pause_is_short_again_after_a_quiet_time():
    async def scenario(boundary):
        await boundary.run("measure", "t1", fail)
        await trio.sleep(2 * FIRST_PAUSE_S + 0.1)
        await boundary.run("measure", "t1", fail)
        await trio.sleep(FIRST_PAUSE_S + 0.1)
        assert not boundary.is_paused("measure", "t1")

    play(scenario)


def test_cancellation_passes_beside_a_defect_and_alone():
    """Guards against work that goes on after its host was told to leave."""

    async def scenario(boundary):
        with trio.move_on_after(1.0) as scope:
            with boundary.contain("serve"):
                await trio.sleep_forever()
        assert scope.cancelled_caught and boundary.defects == 0

        async def fail_on_cancel():
            try:
                await trio.sleep_forever()
            finally:
                raise ValueError("while closing")

        with trio.move_on_after(1.0) as scope:
            with boundary.contain("serve"):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(fail_on_cancel)
                    nursery.start_soon(trio.sleep_forever)
            # The scope is cancelled, so nothing may wait here.
            await trio.sleep_forever()
        assert scope.cancelled_caught and boundary.defects == 1

    play(scenario)


def test_end_of_the_process_passes():
    boundary = WorkBoundary(TrioClock())
    with pytest.raises(KeyboardInterrupt), boundary.contain("serve"):
        raise KeyboardInterrupt


def test_pauses_of_many_subjects_take_bounded_memory():
    """Guards against a writer that names another subject each time."""

    async def scenario(boundary):
        for number in range(MAX_SUBJECTS + 10):
            await boundary.run("measure", f"t{number}", fail)
        assert len(boundary._pause_by_subject) == MAX_SUBJECTS

    play(scenario)


def test_pass_of_a_service_that_fails_is_tried_again_after_growing_pauses():
    """Guards against a service that ends by one pass, or takes all the time."""

    async def scenario(boundary):
        tried_at = []

        async def work(result):
            tried_at.append(trio.current_time())
            if len(tried_at) < 5:
                raise KeyError("t1")
            return result

        assert await boundary.complete("store.follow", "config", work, "done") == "done"
        pauses = [later - at for at, later in pairwise(tried_at)]
        assert pauses == [FIRST_PAUSE_S * 2**number for number in range(4)]
        assert boundary.defects == 4
        with trio.move_on_after(1.0) as scope:
            await boundary.complete("wait", "", trio.sleep_forever)
        assert scope.cancelled_caught and boundary.defects == 4

    play(scenario)
