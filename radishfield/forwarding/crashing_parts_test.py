"""Parts of prompts that crash targets, whatever else their requests hold."""

from dataclasses import dataclass, field
from itertools import count

import httpcore
import pytest
import trio

from radishfield.forwarding.conftest import open_testbed
from standins.routed_config import config

HOSTS = 3
TARGETS = 10
RESTART_S = 1.5
"""Time after which a crashed target is back under another id."""
CONTACT_S = 3.0
"""Time after the fifth crash from which few requests reach targets (``contactMs``)."""
MAX_LATE = 3
PROVEN_AFTER = 5
SCENE_S = 12.0
SOUND_INTERVAL_S = 0.1
CRASHING_INTERVAL_S = 0.4
EVENTS, GAP_S = 12, 0.03
FIRST_PARTS = ("f0", "f1")
SECOND_PARTS = ("a0", "a1", "a2")
BAD, OTHER_BAD = "bad0", "bad1"


@dataclass
class Scene:
    """Sound streams, and streams with a part that crashes targets, over all hosts.

    Attributes
    ----------
    sound : list of tuple
        Time at which each sound first try was sent, and whether it was served.
    replies : list of tuple
        Time and status of each answer to a request with a bad part.
    """

    testbed: object
    numbers: count = field(default_factory=count)
    sound: list = field(default_factory=list)
    replies: list = field(default_factory=list)

    async def call(self, parts, host=None, request_id=None):
        number = next(self.numbers)
        host = number % len(self.testbed.fronts) if host is None else host
        prefix = ",".join(f"{part}:10" for part in parts)
        try:
            reply = await self.testbed.request(
                "/stream/x",
                "POST",
                request_id=request_id or f"r{number}",
                body=prefix.encode(),
                address=self.testbed.fronts[host],
                x_prompt_prefix=prefix,
            )
        except (httpcore.ReadError, httpcore.ConnectError):
            return 0, False
        return reply.status, reply.whole

    async def call_sound(self):
        number = next(self.numbers)
        first = FIRST_PARTS[number % len(FIRST_PARTS)]
        second = SECOND_PARTS[number % len(SECOND_PARTS)]
        sent_at = trio.current_time()
        answer = await self.call((first, second, f"own{number}"))
        self.sound.append((sent_at, answer == (200, True)))

    async def call_crashing(self, parts, repeats=0):
        number = next(self.numbers)
        for _ in range(1 + repeats):
            answer = await self.call((*parts, f"own{number}"))
            self.replies.append((trio.current_time(), answer[0]))
            if answer[0] == 200:
                return
            await trio.sleep(0.1)

    async def send_sound(self):
        async with trio.open_nursery() as nursery:
            while True:
                nursery.start_soon(self.call_sound)
                await trio.sleep(SOUND_INTERVAL_S)

    async def send_crashing(self, draw_parts, interval_s, repeats=0):
        async with trio.open_nursery() as nursery:
            while True:
                nursery.start_soon(self.call_crashing, draw_parts(), repeats)
                await trio.sleep(interval_s)

    def fifth_crash_at(self):
        """Return when the fifth target crashed, or the last one if fewer did."""
        arrivals = self.testbed.fleet.crashing_arrivals
        assert arrivals
        return arrivals[:PROVEN_AFTER][-1][0]

    def late_arrivals(self, since=None):
        since = self.fifth_crash_at() + CONTACT_S if since is None else since
        arrivals = self.testbed.fleet.crashing_arrivals
        return [request_id for at, request_id in arrivals if at > since]

    def sound_share(self, since, until=float("inf")):
        outcomes = [served for at, served in self.sound if since <= at < until]
        assert len(outcomes) >= 20
        return sum(outcomes) / len(outcomes)


def middle(bad=BAD):
    """Return a function that draws the parts of a request with a bad one inside."""
    numbers = count()
    return lambda: (
        FIRST_PARTS[next(numbers) % len(FIRST_PARTS)],
        bad,
        SECOND_PARTS[next(numbers) % len(SECOND_PARTS)],
    )


def first(bad=BAD):
    """Return a function that draws the parts of a request with a bad one first."""
    numbers = count()
    return lambda: (bad, SECOND_PARTS[next(numbers) % len(SECOND_PARTS)])


def play(tmp_path, scenario, bad=(BAD,), limit_s=60.0):
    """Run a scenario in a zone of hosts whose crashed targets come back."""

    async def main():
        with trio.fail_after(limit_s):
            async with open_testbed(tmp_path) as testbed:
                testbed.store.put("config", "main", config())
                testbed.fleet.crashing_parts.update(bad)
                for number in range(TARGETS):
                    await testbed.add_layered(
                        f"t{number}", 0, 80, events=EVENTS, gap_s=GAP_S
                    )
                routers = await testbed.start_zone(HOSTS)
                await testbed.until(
                    lambda: all(r.view.peers.heard == HOSTS - 1 for r in routers)
                )
                testbed.nursery.start_soon(testbed.restart_crashed, RESTART_S)
                await scenario(Scene(testbed))

    trio.run(main)


async def run_load(scene, draws, seconds=SCENE_S, repeats=0, calm_s=2.0):
    """Send sound requests, and after a while those of each draw beside them.

    Returns
    -------
    float
        When the first crashing request was sent.
    """
    async with trio.open_nursery() as nursery:
        nursery.start_soon(scene.send_sound)
        await trio.sleep(calm_s)
        began_at = trio.current_time()
        for draw in draws:
            nursery.start_soon(
                scene.send_crashing, draw, CRASHING_INTERVAL_S * len(draws), repeats
            )
        await trio.sleep(seconds)
        nursery.cancel_scope.cancel()
    return began_at


def check_sound(scene, began_at):
    """Check that sound requests are served as before from twice the contact time on."""
    before = scene.sound_share(0.0, began_at)
    after = scene.sound_share(scene.fifth_crash_at() + 2 * CONTACT_S)
    assert after >= 0.95 * before


@pytest.mark.parametrize("repeats", [0, 2])
@pytest.mark.parametrize("place", [middle, first])
def test_part_that_crashes_targets_is_kept_from_them(tmp_path, place, repeats):
    """Guards against counting crashes by whole requests, no two of which are alike."""

    async def scenario(scene):
        began_at = await run_load(scene, [place()], repeats=repeats)
        assert len(scene.late_arrivals()) <= MAX_LATE
        check_sound(scene, began_at)
        assert scene.replies[-1][1] == 503

    play(tmp_path, scenario)


def test_two_parts_that_crash_targets_are_both_found(tmp_path):
    """Guards against blaming what two crashing parts share, or only one of them."""

    async def scenario(scene):
        draws = [middle(BAD), middle(OTHER_BAD)]
        began_at = await run_load(scene, draws, SCENE_S + 2.0)
        arrivals = scene.testbed.fleet.crashing_arrivals
        since = arrivals[: 2 * PROVEN_AFTER][-1][0] + CONTACT_S
        assert len(scene.late_arrivals(since)) <= MAX_LATE
        check_sound(scene, began_at)

    play(tmp_path, scenario, bad=(BAD, OTHER_BAD))
