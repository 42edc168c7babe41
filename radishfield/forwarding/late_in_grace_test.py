"""Calls over open connections while hosts leave, until their processes are gone."""

import h11
import pytest
import trio

from radishfield.forwarding.conftest import open_testbed
from standins.link_cuts import LinkCuts, NewConnections, OpenConnections
from standins.routed_config import config, request_headers, route

GRACE_S = 6.0
WORK_S = 0.8
TIMEOUT_MS = 1500
CALLERS = 4
BODY = b"x" * 2000


class Caller:
    """Sends posts over one connection after the other until none opens any more.

    Attributes
    ----------
    answered, cut : set of str
        Requests with a whole answer, and those without.
    """

    def __init__(self, name, address, body_s):
        self.name = name
        self.host, _, port = address.rpartition(":")
        self.port = int(port)
        self.body_s = body_s
        self.answered, self.cut = set(), set()

    async def call_until_gone(self):
        number = 0
        while True:
            try:
                stream = await trio.open_tcp_stream(self.host, self.port)
            except OSError:
                return
            async with stream:
                while True:
                    number += 1
                    if not await self._call(stream, f"{self.name}-{number}"):
                        break

    async def _call(self, stream, request_id):
        """Send a request and read its answer; return whether another may follow."""
        client = h11.Connection(h11.CLIENT)
        headers = [*request_headers(request_id, None).items()]
        headers += [("Content-Length", str(len(BODY)))]
        headers = [(name, value) for name, value in headers]
        head = client.send(
            h11.Request(method="POST", target="/post/x", headers=headers)
        )
        try:
            await stream.send_all(head + BODY[:1000])
            await trio.sleep(self.body_s)
            await stream.send_all(BODY[1000:])
            client.send(h11.Data(data=BODY))
            client.send(h11.EndOfMessage())
            while True:
                match client.next_event():
                    case h11.EndOfMessage():
                        self.answered.add(request_id)
                        client.start_next_cycle()
                        return True
                    case h11.ConnectionClosed():
                        break
                    case event if event is h11.NEED_DATA:
                        client.receive_data(await stream.receive_some())
        except (OSError, trio.BrokenResourceError, h11.ProtocolError):
            pass
        if request_id not in self.answered:
            self.cut.add(request_id)
        return False


@pytest.mark.parametrize(
    ("leaving", "relayed", "body_s", "changed_ms"),
    [
        ((0,), False, 0.0, 0),
        ((0,), False, 0.7, 0),
        ((0,), False, 0.0, 300),
        ((0,), False, 0.0, 9000),
        ((1,), True, 0.0, 0),
        ((0, 1), True, 0.0, 0),
        ((0, 1), True, 0.7, 9000),
    ],
)
def test_no_call_that_was_passed_on_is_cut_while_hosts_leave(
    tmp_path, leaving, relayed, body_s, changed_ms
):
    """Guards against calls late in the grace that run and get no answer."""
    cuts = LinkCuts()

    def versions(version, timeout_ms):
        rule = route("post", "non_idempotent", "portal", maxAttempts=1)
        rule |= {"timeoutMs": timeout_ms, "public": True}
        return config(version, routes=[rule])

    async def scenario(testbed):
        testbed.stops = [trio.Event(), trio.Event()]
        testbed.more_settings = f"grace = {GRACE_S}s"
        testbed.store.put("config", "main", versions(1, TIMEOUT_MS))
        for number in range(4):
            target = await testbed.add_plain(f"p{number}")
            target.work_s = WORK_S
        await testbed.start_zone(2)
        first = testbed.routers[0]
        await testbed.until(lambda: first.view.peers.heard == 1)
        if relayed:
            ports = [int(each.address.rpartition(":")[2]) for each in testbed.plain]
            cuts.cut(["host-0"], ports, NewConnections.REFUSED, OpenConnections.RESET)
            await trio.sleep(2.5)
        callers = [
            Caller(f"c{number}", testbed.fronts[0], body_s) for number in range(CALLERS)
        ]

        async def leave():
            await trio.sleep(2.0)
            for number in leaving:
                testbed.stops[number].set()
            if changed_ms:
                await trio.sleep(2.0)
                testbed.store.put("config", "main", versions(2, changed_ms))
            if 0 not in leaving:
                await trio.sleep(GRACE_S)
                testbed.stops[0].set()

        testbed.nursery.start_soon(leave)
        async with trio.open_nursery() as nursery:
            for caller in callers:
                nursery.start_soon(caller.call_until_gone)
        ran = {name for target in testbed.plain for name in target.ran}
        answered = set().union(*(caller.answered for caller in callers))
        assert len(answered & ran) >= CALLERS
        assert set().union(*(caller.cut for caller in callers)) & ran == set()

    async def main():
        with trio.fail_after(60.0), cuts.installed():
            async with open_testbed(tmp_path) as testbed:
                await scenario(testbed)

    trio.run(main)
