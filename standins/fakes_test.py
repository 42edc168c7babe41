"""Tests of the in-memory platform: its faults are what other tests rely on."""

import trio
import trio.testing

from radishfield.core import Host, ResultCode, TrioClock
from standins.fakes import WRITES_PER_S, FakePlatform


def run(main):
    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_conditional_write_lets_one_of_two_win():
    async def main():
        platform = FakePlatform(TrioClock())
        assert (await platform.write("profile", "a", b"1", 0)).ok.version == 1
        problem = (await platform.write("profile", "a", b"2", 0)).error
        assert problem.code is ResultCode.PLATFORM_CONFLICT
        assert (await platform.read("profile", "a")).ok.value == b"1"

    run(main)


def test_lost_answer_took_effect_and_lost_write_did_not():
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
            quiet = await platform.watch("profile", 0, 5)
        assert quiet.ok.objects == () and trio.current_time() >= 5
        async with trio.open_nursery() as nursery:
            nursery.start_soon(platform.write, "profile", "told", b"", 0)
            batch = await platform.watch("profile", quiet.ok.revision, 5)
        assert [stored.name for stored in batch.ok.objects] == ["told"]
        assert platform.calls(kind="watch") == 2

    run(main)


def test_outage_breaks_waiting_watches_and_cut_off_callers_alone():
    async def main():
        platform = FakePlatform(TrioClock())
        cut = platform.as_caller("cut")
        platform.faults.cut_off.add("cut")
        assert (await cut.list("profile")).is_error()
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
