"""Tests of the connections to targets."""

import time

import trio

from radishfield.core import SystemClock
from radishfield.forwarding._connections import Outgoing, TargetConnections
from radishfield.forwarding.conftest import play
from radishfield.relay import CONNECT_TIMEOUT_S

HELD_UP_PASSES = 4


def test_connection_that_opens_while_the_host_is_held_up_is_used(tmp_path):
    """Guards against healthy targets taken for unreachable by a host that is late."""

    async def scenario(testbed):
        target = await testbed.add_plain("p1")
        connections = TargetConnections(SystemClock())
        headers = [
            (b"host", target.address.encode()),
            (b"x-expect-instance", b"p1"),
            (b"x-request-id", b"r1"),
        ]
        request = Outgoing("GET", b"/read/x", headers)
        results = []

        async def send():
            results.append(await connections.send(target.address, request, fresh=True))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send)
            while not connections.opened:
                await trio.sleep(0)
            # The connection is opened in one of these passes of the event loop.
            for _ in range(HELD_UP_PASSES):
                time.sleep(CONNECT_TIMEOUT_S * 0.75)
                await trio.sleep(0)
        (result,) = results
        assert result.is_ok(), result.error
        await result.ok.close(reusable=False)

    play(tmp_path, scenario)
