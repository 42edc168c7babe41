"""Requests under which targets end, seen by several hosts."""

import trio

from radishfield.forwarding.conftest import world
from standins.routed_config import config
from standins.routed_targets import CRASHING_BODY

HOSTS = 3
TARGETS = 9
MOST_ENDED = 4
"""Three ends are proof; a fourth attempt may be on its way while they are told."""
PAUSE_S = 0.5
"""Pause between two attempts of the caller."""


def play(tmp_path, scene, hosts=HOSTS, limit_s=30.0):
    """Play a scene in a zone of hosts before whole targets of both kinds."""

    async def main():
        with trio.fail_after(limit_s):
            async with world(tmp_path) as played:
                played.store.put("config", "main", config())
                for number in range(TARGETS):
                    await played.add_plain(f"p{number}")
                    await played.add_layered(f"t{number}", 0, 80)
                routers = await played.start_zone(hosts)
                await played.until(
                    lambda: all(r.view.peers.heard == hosts - 1 for r in routers)
                )
                await scene(played)

    trio.run(main)


async def crash(played, path, host, number):
    """Send a request that ends the targets which run it."""
    return await played.request(
        path,
        "GET" if path.startswith("/read") else "POST",
        request_id=f"crash-{host}-{number}",
        body=CRASHING_BODY,
        address=played.fronts[host],
    )


async def crash_everywhere(played, path, rounds=3):
    """Send the request through each host in turn; return what callers got."""
    replies = []
    for number in range(rounds):
        for host in range(len(played.fronts)):
            replies.append(await crash(played, path, host, number))
            await trio.sleep(PAUSE_S)
    return replies


def test_stream_that_crashes_its_targets_is_sent_on_by_no_host(tmp_path):
    """Guards against each host, and each attempt, finding out anew at more targets."""

    async def scene(played):
        replies = await crash_everywhere(played, "/stream/x")
        assert len(played.ended) <= MOST_ENDED
        assert {reply.status for reply in replies[-HOSTS:]} == {503}

    play(tmp_path, scene)


def test_plain_request_that_crashes_its_targets_is_sent_on_by_no_host(tmp_path):
    """Guards against the same for requests with one whole answer."""

    async def scene(played):
        replies = await crash_everywhere(played, "/read/x")
        assert len(played.ended) <= MOST_ENDED
        assert {reply.status for reply in replies[-HOSTS:]} == {503}

    play(tmp_path, scene)


def test_request_that_may_run_once_crashes_no_more_targets_by_coming_again(tmp_path):
    """Guards against attempts that are each sent once, a target each, without end."""

    async def scene(played):
        replies = await crash_everywhere(played, "/post/x")
        assert len(played.ended) <= MOST_ENDED
        assert {reply.status for reply in replies[-HOSTS:]} == {503}

    play(tmp_path, scene)
