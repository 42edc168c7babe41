"""Tests of the limit that a target names, with hosts and targets in real time.

The limit holds for all hosts together, and for everything that reaches the target:
first attempts, retries, resumes, probes, and parts of a path.
"""

import itertools

import pytest
import trio

from radishfield.forwarding.conftest import open_testbed
from radishfield.routing import RateLimit
from standins.routed_config import config

HOSTS = 3
WINDOW_S = 4.0
TOLD_S = 0.5
"""A host has to keep the limit this long after the first answer that named it."""
RUN_S = 7.0


def allowed(per_s):
    """Return the requests that a target may get within `WINDOW_S`."""
    return 1.5 * per_s * WINDOW_S + 5


def most_in_a_window(times, since):
    """Return the largest number of times within `WINDOW_S` after a moment."""
    counted = [at for at in times if at >= since]
    return max(
        (sum(at <= other < at + WINDOW_S for other in counted) for at in counted),
        default=0,
    )


def play(tmp_path, scenario, **changes):
    async def main():
        with trio.fail_after(60):
            async with open_testbed(tmp_path) as testbed:
                testbed.store.put("config", "main", config(**changes))
                await scenario(testbed)

    trio.run(main)


async def load(testbed, path, method, per_s, seconds, replies):
    """Send requests to all hosts in turn, at a rate over all hosts."""
    fronts = itertools.cycle(testbed.fronts)
    ids = (f"{path}-{number}" for number in itertools.count(len(replies) * 1000))

    async def one(front, request_id):
        sent_at = trio.current_time()
        reply = await testbed.request(
            path, method, request_id=request_id, address=front, x_deadline_ms="4000"
        )
        replies.append((reply, trio.current_time() - sent_at))

    async with trio.open_nursery() as nursery:
        for _ in range(int(per_s * seconds)):
            nursery.start_soon(one, next(fronts), next(ids))
            await trio.sleep(1.0 / per_s)


def statuses(replies):
    return {reply.status for reply, _ in replies}


@pytest.mark.parametrize(
    ("path", "method"), [("/read/x", "GET"), ("/open/x", "GET"), ("/post/x", "POST")]
)
def test_plain_requests_of_all_hosts_stay_below_the_limit(tmp_path, path, method):
    """Guards against a limit that each host ignores, or keeps for itself alone."""

    async def scenario(testbed):
        limited = await testbed.add_plain("p1")
        await testbed.add_plain("p2")
        await testbed.start_zone(HOSTS)
        limited.limit = "2.0"
        named_at, replies = trio.current_time(), []
        await load(testbed, path, method, 30, RUN_S, replies)
        got = most_in_a_window(limited.arrived_at, named_at + TOLD_S + 0.5)
        assert got <= allowed(2.0)
        # The other target takes the rest.
        assert statuses(replies) == {200}

    play(tmp_path, scenario)


def test_streams_of_all_hosts_stay_below_the_limit(tmp_path):
    """Guards against a limit that holds for plain requests alone."""

    async def scenario(testbed):
        for number, (first, end) in enumerate([(0, 40), (0, 40), (40, 80), (40, 80)]):
            await testbed.add_layered(f"t{number + 1}", first, end)
        await testbed.start_zone(HOSTS)
        limited = testbed.layered[0]
        limited.limit = "2.0"
        named_at, replies = trio.current_time(), []
        await load(testbed, "/stream/x", "POST", 20, RUN_S, replies)
        got = most_in_a_window(limited.arrived_at, named_at + TOLD_S + 0.5)
        assert got <= allowed(2.0)
        assert statuses(replies) == {200}

    play(tmp_path, scenario)


def test_streams_stay_below_the_limit_of_a_later_stage(tmp_path):
    """Guards against counting only what a target gets as the first of a path."""

    async def scenario(testbed):
        for number, (first, end) in enumerate([(0, 40), (40, 80), (40, 80)]):
            await testbed.add_layered(f"t{number + 1}", first, end)
        routers = await testbed.start_zone(HOSTS)
        limited = testbed.layered[1]
        limited.limit = "2.0"
        for router in routers:
            view = router.view
            record, now = view.directory.find(limited.id), view.clock.now()
            view.limits.learn(RateLimit(record.id, record.started_ms, 2.0, now), now)
        named_at, replies = trio.current_time(), []
        await load(testbed, "/stream/x", "POST", 20, RUN_S, replies)
        got = most_in_a_window(limited.arrived_at, named_at)
        assert 0 < got <= allowed(2.0)
        assert statuses(replies) == {200}

    play(tmp_path, scenario)


def test_streams_are_refused_at_once_where_every_path_needs_a_limited_target(tmp_path):
    """Guards against streams that wait in line for a token until they time out."""

    async def scenario(testbed):
        for number, (first, end) in enumerate([(0, 40), (40, 80)]):
            await testbed.add_layered(f"t{number + 1}", first, end)
        await testbed.start_zone(HOSTS)
        testbed.layered[0].limit = "1.0"
        replies = []
        await load(testbed, "/stream/x", "POST", 20, RUN_S, replies)
        refused = [(reply, s) for reply, s in replies if reply.status == 503]
        assert len(refused) > 50
        for reply, _ in refused:
            assert float(reply.headers["retry-after"]) > 0
        waits = sorted(seconds for _, seconds in refused)
        assert waits[len(waits) // 2] < 0.2
        assert statuses(replies) == {200, 503}

    play(tmp_path, scenario)


def test_streams_wait_for_a_target_without_a_limit_that_is_only_suspected(tmp_path):
    """Guards against refusing streams for a limit while another target is in doubt."""

    async def scenario(testbed):
        for number, (first, end) in enumerate([(0, 40), (0, 40), (40, 80)]):
            await testbed.add_layered(f"t{number + 1}", first, end)
        routers = await testbed.start_zone(HOSTS)
        testbed.layered[0].limit = "0.5"
        await load(testbed, "/stream/x", "POST", 20, 1.0, [])
        for router in routers:
            view = router.view
            view.directory.suspect("t2", view.clock.now())
        replies = []
        await load(testbed, "/stream/x", "POST", 10, 0.6, replies)
        assert statuses(replies) == {200}

    play(tmp_path, scenario)


def test_a_host_that_starts_knows_the_limit_before_it_sends(tmp_path):
    """Guards against a restarted host that has to exceed a limit to learn of it."""

    async def scenario(testbed):
        limited = await testbed.add_plain("p1")
        await testbed.start_zone(HOSTS)
        limited.limit = "2"
        await load(testbed, "/post/x", "POST", 20, 1.0, [])
        (late,) = await testbed.start_zone(1)
        record = late.view.directory.find("p1")
        await testbed.until(lambda: late.view.limits.limit(record) is not None, 1.5)

    play(tmp_path, scenario)


def test_what_all_targets_can_take_is_used_and_the_rest_refused_at_once(tmp_path):
    """Guards against shares that lie idle, and callers that wait for nothing."""

    async def scenario(testbed):
        targets = [await testbed.add_plain("p1"), await testbed.add_plain("p2")]
        await testbed.start_zone(HOSTS)
        for target in targets:
            target.limit = "4"
        named_at, replies = trio.current_time(), []
        await load(testbed, "/post/x", "POST", 30, RUN_S, replies)
        for target in targets:
            since = named_at + TOLD_S + 0.5
            assert most_in_a_window(target.arrived_at, since) <= allowed(4.0)
            late = [at for at in target.arrived_at if at >= named_at + 3.0]
            assert len(late) >= 0.7 * 4.0 * (RUN_S - 3.0)
        refused = [(reply, s) for reply, s in replies if reply.status == 503]
        assert refused
        for reply, seconds in refused:
            assert float(reply.headers["retry-after"]) > 0
            assert seconds < 0.5
        assert statuses(replies) == {200, 503}

    play(tmp_path, scenario)


def test_a_limit_ends_when_it_is_no_longer_named(tmp_path):
    async def scenario(testbed):
        limited = await testbed.add_plain("p1")
        await testbed.start_zone(HOSTS)
        limited.limit = "2"
        await load(testbed, "/post/x", "POST", 20, 4.0, [])
        limited.limit = ""
        await load(testbed, "/post/x", "POST", 20, 2.0, [])
        replies = []
        await load(testbed, "/post/x", "POST", 20, 2.0, replies)
        assert statuses(replies) == {200}

    play(tmp_path, scenario)


def test_limit_of_a_later_stage_ends_when_its_reports_no_longer_name_it(tmp_path):
    """Guards against a limit that no answer to a caller's request can end."""

    async def scenario(testbed):
        for number, (first, end) in enumerate([(0, 40), (40, 80)]):
            await testbed.add_layered(f"t{number + 1}", first, end)
        limited = testbed.layered[1]
        # The hosts ask one target of a zone right after their start.
        limited.limit = "0.5"
        routers = await testbed.start_zone(HOSTS)
        record = routers[0].view.directory.find(limited.id)
        with trio.fail_after(5.0):
            while not all(router.view.limits.limit(record) for router in routers):
                await trio.sleep(0.05)
        limited.limit = ""
        await load(testbed, "/stream/x", "POST", 20, 4.0, [])
        replies = []
        await load(testbed, "/stream/x", "POST", 20, 2.0, replies)
        assert statuses(replies) == {200}

    play(tmp_path, scenario)


def test_a_limit_that_cannot_be_read_changes_nothing(tmp_path):
    async def scenario(testbed):
        limited = await testbed.add_plain("p1")
        await testbed.start_zone(HOSTS)
        limited.limit = "a few"
        replies = []
        await load(testbed, "/post/x", "POST", 20, 2.0, replies)
        assert statuses(replies) == {200}

    play(tmp_path, scenario)
