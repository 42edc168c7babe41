"""Plain targets that fail requests while they seem healthy."""

from collections import Counter

import trio

from radishfield.forwarding.conftest import play
from standins.routed_config import config, route

HOSTS = 9
POSTS = 72
POST_INTERVAL_S = 0.12
"""Hosts report to each other what has failed four times a second."""
MAX_FAILED = 6
"""Three failures are enough; some more requests are sent until all hosts know."""


def test_target_that_fails_is_avoided_by_all_hosts_together(tmp_path):
    """Guards against hosts that each have to fail requests of their own to notice."""

    async def scenario(testbed):
        testbed.store.put("config", "main", config())
        for number in range(3):
            await testbed.add_plain(f"p{number}")
        testbed.plain[0].failures = ["error"] * POSTS
        await testbed.start_zone(HOSTS)
        statuses = Counter()

        async def post(number):
            reply = await testbed.request(
                "/post/x",
                "POST",
                request_id=f"post-{number}",
                body=b"%d" % number,
                address=testbed.fronts[number % HOSTS],
            )
            statuses[reply.status] += 1

        async with trio.open_nursery() as nursery:
            for number in range(POSTS):
                nursery.start_soon(post, number)
                await trio.sleep(POST_INTERVAL_S)
        assert statuses[500] <= MAX_FAILED
        assert statuses[200] + statuses[500] == POSTS

    play(tmp_path, scenario)


STREAMS = 60
STREAM_INTERVAL_S = 0.1
LEARNED_S = 2.0
"""Time in which all hosts learn of a target that loses its answers."""


def test_first_target_that_loses_its_answers_is_avoided_by_all_hosts(tmp_path):
    """Guards against streams that use up their attempts at targets known to fail."""

    async def scenario(testbed):
        routes = [route("stream", "streaming", "pool")]
        testbed.store.put("config", "main", config(routes=routes))
        for number in range(3):
            await testbed.add_layered(f"t{number}", 0, 80)
        failing = testbed.layered[0]
        failing.loses_starts = True
        await testbed.start_zone(3)
        statuses = Counter()

        async def stream(number):
            reply = await testbed.request(
                "/stream/x",
                "POST",
                request_id=f"stream-{number}",
                body=b"%d" % number,
                address=testbed.fronts[number % 3],
            )
            statuses[reply.status] += 1

        runs_when_learned = 0
        async with trio.open_nursery() as nursery:
            for number in range(STREAMS):
                if number * STREAM_INTERVAL_S == LEARNED_S:
                    runs_when_learned = failing.runs.total()
                nursery.start_soon(stream, number)
                await trio.sleep(STREAM_INTERVAL_S)
        later_streams = STREAMS - LEARNED_S / STREAM_INTERVAL_S
        assert failing.runs.total() - runs_when_learned <= 0.1 * later_streams
        assert statuses[200] == STREAMS

    play(tmp_path, scenario)
