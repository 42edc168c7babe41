"""Hosts of which one gets most of the new connections."""

from dataclasses import dataclass, field
from itertools import count

import httpcore
import pytest
import trio

from radishfield.forwarding.conftest import open_testbed
from standins.routed_config import config

HOSTS = 5
PLAIN, LAYERED = 8, 4
OTHERS_EVERY = 20
"""One of this many requests still reaches another host."""
CALM_S, SKEWED_S = 4.0, 6.0
LEARNED_S = 2.0
"""Time after which hosts know the limits that targets name, and have tokens."""
NOTICE_S = 3.0
"""Time after which the host has to serve its callers (``contactMs``)."""
REQUEST_INTERVAL_S = 0.035
KINDS = {"read": "GET", "post": "POST", "stream": "POST"}


@dataclass
class Scene:
    """Callers that move to one host; ``tries`` has when each was sent, and its end."""

    testbed: object
    numbers: count = field(default_factory=count)
    tries: list = field(default_factory=list)

    async def call(self, kind, host):
        number = next(self.numbers)
        sent_at = trio.current_time()
        try:
            reply = await self.testbed.request(
                f"/{kind}/x",
                KINDS[kind],
                request_id=f"{kind}-{number}",
                body=b"" if kind == "read" else b"body %d" % number,
                address=self.testbed.fronts[host],
            )
            served = reply.status == 200 and reply.whole
        except (httpcore.ReadError, httpcore.ConnectError):
            served = False
        self.tries.append((sent_at, served))

    async def load(self, kinds):
        """Send requests to all hosts in turn, then nearly all of them to one."""
        began_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            number = 0
            while (passed_s := trio.current_time() - began_at) < CALM_S + SKEWED_S:
                host = number % HOSTS
                if passed_s >= CALM_S and number % OTHERS_EVERY:
                    host = 0
                kind = kinds[number % len(kinds)]
                nursery.start_soon(self.call, kind, host)
                number += 1
                await trio.sleep(REQUEST_INTERVAL_S)
        return began_at + CALM_S

    def share(self, since, until=float("inf")):
        ends = [served for at, served in self.tries if since <= at < until]
        assert len(ends) > 30
        return sum(ends) / len(ends)


def play(tmp_path, scenario):
    async def main():
        with trio.fail_after(60.0):
            async with open_testbed(tmp_path) as testbed:
                testbed.store.put("config", "main", config())
                for number in range(PLAIN):
                    await testbed.add_plain(f"p{number}")
                for number in range(LAYERED):
                    await testbed.add_layered(f"t{number}", 0, 80)
                await testbed.start_zone(HOSTS)
                await scenario(Scene(testbed))

    trio.run(main)


def fail_each_fifth(testbed):
    for number, target in enumerate(testbed.plain):
        failures = ["error", "", "", "", ""] * 200
        target.failures = failures[number % 5 :]


def limit_plain_targets(testbed):
    for target in testbed.plain:
        target.limit = "12.0"


@pytest.mark.parametrize(
    ("prepare", "kinds"),
    [
        (lambda testbed: None, ("read", "post", "stream", "stream")),
        (fail_each_fifth, ("read",)),
        (limit_plain_targets, ("read", "post")),
    ],
)
def test_host_with_most_connections_serves_them_as_all_hosts_did(
    tmp_path, prepare, kinds
):
    """Guards against shares per host that stay even when the load is not."""

    async def scenario(scene):
        prepare(scene.testbed)
        moved_at = await scene.load(kinds)
        before = scene.share(moved_at - CALM_S + LEARNED_S, moved_at)
        assert before >= 0.9
        assert before >= 0.9
        assert scene.share(moved_at + NOTICE_S) >= 0.95 * before

    play(tmp_path, scenario)


def test_other_hosts_serve_when_the_one_with_most_connections_ends(tmp_path):
    """Guards against shares that stay with a host which is gone."""

    async def scenario(scene):
        fail_each_fifth(scene.testbed)
        await scene.load(("read", "stream"))
        scene.testbed.scopes[0].cancel()
        await trio.sleep(NOTICE_S)
        ended_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            for number in range(60):
                kind = ("read", "stream")[number % 2]
                nursery.start_soon(scene.call, kind, 1 + number % (HOSTS - 1))
                await trio.sleep(REQUEST_INTERVAL_S)
        assert scene.share(ended_at) >= 0.95

    play(tmp_path, scenario)
