"""Tests of the faults of the in-memory platform, on which other tests rely."""

import trio
import trio.testing

from radishfield.core import Host, ResultCode, TrioClock
from standins.fakes import WRITES_PER_S, FakePlatform


def run(main):
    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_second_write_with_the_same_expected_version_conflicts():
    async def main():
        platform = FakePlatform(TrioClock())
        assert (await platform.write("profile", "a", b"1", 0)).ok.version == 1
        problem = (await platform.write("profile", "a", b"2", 0)).error
        assert problem.code is ResultCode.PLATFORM_CONFLICT
        assert (await platform.read("profile", "a")).ok.value == b"1"

    run(main)


def test_write_with_lost_answer_takes_effect_and_lost_write_does_not():
    async def main():
        platform = FakePlatform(TrioClock())
        platform.faults.lost_answers = 1
        problem = (await platform.write("profile", "a", b"1", 0)).error
        assert problem.code is ResultCode.PLATFORM_AMBIGUOUS
        platform.faults.lost_writes = 1
        assert (await platform.write("profile", "b", b"1", 0)).is_error()
        names = [stored.name for stored in (await platform.list("profile")).ok.objects]
        assert names == ["a"]

    run(main)


def test_watch_wakes_on_a_change_and_not_on_a_skipped_one():
    async def main():
        platform = FakePlatform(TrioClock())
        platform.faults.skipped_events = 1
        async with trio.open_nursery() as nursery:
            nursery.start_soon(platform.write, "profile", "skipped", b"", 0)
            empty_batch = await platform.watch("profile", 0, 5)
        assert empty_batch.ok.objects == () and trio.current_time() >= 5
        async with trio.open_nursery() as nursery:
            nursery.start_soon(platform.write, "profile", "told", b"", 0)
            batch = await platform.watch("profile", empty_batch.ok.revision, 5)
        assert [stored.name for stored in batch.ok.objects] == ["told"]
        assert platform.calls(kind="watch") == 2

    run(main)


def test_outage_fails_waiting_watches_and_cut_off_affects_only_that_caller():
    async def main():
        platform = FakePlatform(TrioClock())
        cut_off_caller = platform.as_caller("cut")
        platform.faults.cut_off.add("cut")
        assert (await cut_off_caller.list("profile")).is_error()
        assert (await platform.list("profile")).is_ok()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(trio.testing.wait_all_tasks_blocked)
            nursery.start_soon(take_down, platform)
            watched = await platform.watch("profile", 0, 60)
        assert watched.error.code is ResultCode.PLATFORM_UNAVAILABLE
        assert trio.current_time() < 2

    async def take_down(platform):
        await trio.sleep(1)
        platform.set_down(True)

    run(main)


def test_rate_limit_and_lagging_host_list():
    async def main():
        platform = FakePlatform(TrioClock())
        platform.faults.host_list_lag_s = 5
        platform.set_hosts([Host("h", "z")])
        assert (await platform.hosts()).ok.hosts == ()
        await trio.sleep(5)
        assert (await platform.hosts()).ok.hosts == (Host("h", "z"),)
        results = [
            await platform.write("k", str(number), b"", 0)
            for number in range(WRITES_PER_S + 1)
        ]
        assert results[-2].is_ok()
        assert results[-1].error.code is ResultCode.PLATFORM_RATE_LIMITED

    run(main)
