"""Tests of the platform client against the stand-in over loopback HTTP."""

import random

import msgspec
import trio

from radishfield.core import Host, ResultCode, TrioClock
from radishfield.edges import HttpPlatform, PlatformSettings
from radishfield.web import CallBudget, backoff_s
from standins.fakes import FakePlatform
from standins.platform import FaultChange, PlatformApp, serve_platform


def with_platform(main, **settings):
    """Run ``main(platform, fake)`` against a stand-in on a free port."""

    async def run():
        fake = FakePlatform(TrioClock())
        async with trio.open_nursery() as nursery:
            urls = await nursery.start(serve_platform, PlatformApp(fake), 0)
            address = urls[0].removeprefix("http://")
            platform = HttpPlatform(
                PlatformSettings(address, "host-1", **settings), TrioClock()
            )
            await main(platform, fake)
            nursery.cancel_scope.cancel()

    trio.run(run)


def test_objects_hosts_and_watch_work_over_http():
    async def main(platform, fake):
        value = random.Random(1).randbytes(1 << 20)
        assert (await platform.write("profile", "a b/c", value, 0)).ok.version == 1
        assert (await platform.read("profile", "a b/c")).ok.value == value
        listing = (await platform.list("profile")).ok
        assert [stored.name for stored in listing.objects] == ["a b/c"]
        batch = (await platform.watch("profile", 0, 1)).ok
        assert batch.revision == listing.revision and len(batch.objects) == 1
        fake.set_hosts([Host("h", "z", address="127.0.0.1:1")])
        assert (await platform.hosts()).ok.hosts[0].address == "127.0.0.1:1"
        conflict = (await platform.write("profile", "a b/c", b"", 0)).error
        assert conflict.code is ResultCode.PLATFORM_CONFLICT
        missing = (await platform.read("profile", "none")).error
        assert missing.code is ResultCode.OBJECT_NOT_FOUND
        too_large = (await platform.write("p", "l", value + b"x", 0)).error
        assert too_large.code is ResultCode.VALUE_TOO_LARGE
        assert fake.calls("host-1", "write") == 2
        assert platform.calls_by_kind["write"] == 2

    with_platform(main)


def test_write_with_lost_answer_is_ambiguous_and_is_not_retried():
    """A write takes effect and the connection closes before its answer.

    The caller must learn that the outcome is unknown.  A retry by the client would
    conflict with its own first attempt, as if another operator had written.
    """

    async def main(platform, fake):
        fake.faults.lost_answers = 1
        problem = (await platform.write("profile", "a", b"1", 0)).error
        assert problem.code is ResultCode.PLATFORM_AMBIGUOUS
        assert fake.calls("host-1", "write") == 1
        assert (await platform.read("profile", "a")).ok.value == b"1"

    with_platform(main)


def test_outage_is_retried_within_the_budget_and_a_slow_answer_times_out():
    """The platform is down, then slow: reads fail in bounded time and calls.

    A refused write is reported to have had no effect.  The outcome of a write that
    timed out is unknown.
    """

    async def main(platform, fake):
        fake.faults.down = True
        refused = (await platform.write("profile", "a", b"1", 0)).error
        assert refused.code is ResultCode.PLATFORM_UNAVAILABLE
        assert (await platform.list("profile")).is_error()
        assert fake.calls(kind="list") == 2
        fake.faults.down = False
        fake.faults.delay_s = 1.0
        slow = (await platform.write("profile", "a", b"1", 0)).error
        assert slow.code is ResultCode.PLATFORM_AMBIGUOUS
        for _ in range(8):
            with trio.move_on_after(0.05):
                await platform.read("profile", "a")
        spent = (await platform.read("profile", "a")).error
        assert spent.code is ResultCode.PLATFORM_RATE_LIMITED
        assert spent.retry_after_s > 0

    with_platform(main, timeout_s=0.1, tries=2, burst_calls=10, calls_per_s=0.1)


def test_budget_refills_and_backoff_is_bounded():
    budget = CallBudget(calls_per_s=2, burst=2, level=2)
    assert budget.take(0) and budget.take(0) and not budget.take(0)
    assert budget.next_call_in_s() == 0.5
    assert budget.take(0.5) and not budget.take(0.5)
    waits = [backoff_s(failures, random.Random(failures)) for failures in range(50)]
    assert 0 < min(waits) and max(waits) <= 5.0


def test_control_routes_set_faults_and_return_call_counts():
    async def main(platform, fake):
        app = PlatformApp(fake)
        change = FaultChange(down=True, cut_off={"host-2"})
        status, _ = app._control(["faults"], "PUT", msgspec.json.encode(change))
        assert status == 200 and fake.faults.down and fake.faults.delay_s == 0
        await platform.list("profile")
        status, body = app._control(["calls"], "GET", b"")
        assert b'"caller":"host-1","kind":"list"' in body

    with_platform(main, tries=1)
