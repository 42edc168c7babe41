"""Parts of prompts that crash targets, whatever else their requests hold."""

from dataclasses import dataclass, field
from itertools import count

import httpcore
import pytest
import trio

from radishfield.crashes import CrashReport, TargetCrashEntry, part_trait
from radishfield.forwarding.conftest import open_testbed
from radishfield.platform._requests import MAX_SHARED_PARTS
from standins.routed_config import config

HOSTS = 3
TARGETS = 10
RESTART_S = 1.5
"""Time after which a crashed target is back under another id."""
CONTACT_S = 3.0
"""Time after the fifth crash from which few requests reach targets (``contactMs``)."""
MAX_LATE = 3
PROVEN_AFTER = 5
SCENE_S = 14.0
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


def play(tmp_path, scenario, bad=(BAD,), hosts=HOSTS, targets=TARGETS, limit_s=60.0):
    """Run a scenario in a zone of hosts whose crashed targets come back."""

    async def main():
        with trio.fail_after(limit_s):
            async with open_testbed(tmp_path) as testbed:
                testbed.store.put("config", "main", config())
                testbed.fleet.crashing_parts.update(bad)
                for number in range(targets):
                    await testbed.add_layered(
                        f"t{number}", 0, 80, events=EVENTS, gap_s=GAP_S
                    )
                routers = await testbed.start_zone(hosts)
                await testbed.until(
                    lambda: all(r.view.peers.heard == hosts - 1 for r in routers)
                )
                testbed.nursery.start_soon(testbed.restart_crashed, RESTART_S)
                await scenario(Scene(testbed))

    trio.run(main)


async def run_load(scene, draws, seconds=SCENE_S, repeats=0, calm_s=4.0):
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


def test_host_that_starts_after_all_others_ended_refuses_at_once(tmp_path):
    """Guards against more crashes because no neighbour is left to report the part."""

    async def scenario(scene):
        testbed = scene.testbed
        await run_load(scene, [middle()], seconds=4.0)
        await testbed.until(
            lambda: part_trait(BAD) in testbed.store.names("radishfield-crashes")
        )
        for scope in testbed.scopes:
            scope.cancel()
        testbed.fronts.clear()
        await testbed.start_zone(1)
        await trio.sleep(0.5)
        began_at = trio.current_time()
        await run_load(scene, [middle()], seconds=4.0, calm_s=0.0)
        assert len(scene.late_arrivals(began_at)) <= MAX_LATE
        assert scene.sound_share(began_at + 1.0) >= 0.95

    play(tmp_path, scenario)


def test_host_without_gossip_reads_the_part_from_the_store(tmp_path):
    """Guards against a host cut off from the others that detects all crashes anew."""

    async def scenario(scene):
        testbed = scene.testbed
        await run_load(scene, [middle()], seconds=4.0)
        await testbed.start_zone(1, gossip=False)
        await trio.sleep(0.5)
        began_at = trio.current_time()
        for _ in range(5):
            answer = await scene.call(("f0", BAD, "a0", "own"), host=HOSTS)
            await trio.sleep(0.2)
        assert answer[0] == 503
        assert len(scene.late_arrivals(began_at)) == 0

    play(tmp_path, scenario)


def test_popular_part_is_served_while_targets_end_for_other_reasons(tmp_path):
    """Guards against refusing a part for being in flight where targets crashed."""

    async def scenario(scene):
        testbed = scene.testbed
        async with trio.open_nursery() as nursery:
            nursery.start_soon(scene.send_sound)
            await trio.sleep(1.0)
            for _ in range(12):
                living = [target for target in testbed.layered if not target.dead]
                target = max(living, key=lambda item: len(item.paths))
                target.crash()
                await trio.sleep(1.0)
            ended_at = trio.current_time()
            await trio.sleep(2.5)
            nursery.cancel_scope.cancel()
        assert len(testbed.crashed_ids) == 12
        assert scene.sound_share(ended_at - 4.0, ended_at + 1.5) == 1.0
        for router in testbed.routers:
            assert router.view.crashes.book.verdicts(router.view.clock.now()) == []

    play(tmp_path, scenario)


def report_crashes(routers):
    """Report to hosts that three targets crashed under the bad part."""
    for router in routers:
        router.view.crashes.book.add_survival("known", router.view.clock.now())
        ends = [
            TargetCrashEntry(f"gone-{number}", 1, "host-9", 1.0 + number)
            for number in range(3)
        ]
        report = CrashReport(part_trait(BAD), ends)
        router.view.crashes.learn([report], "host-9")


def test_only_requests_with_the_part_in_another_place_than_the_last_are_refused(
    tmp_path,
):
    """Guards against refusing a request whose own part has the id of a bad one."""

    async def scenario(scene):
        report_crashes(scene.testbed.routers)
        assert await scene.call(("f0", "a0", BAD)) == (200, True)
        assert await scene.call((BAD,)) == (200, True)
        assert await scene.call(("f0", "a0", "own")) == (200, True)
        for parts in ((BAD, "own"), ("f0", BAD, BAD), ("f0", BAD.upper(), "own")):
            assert (await scene.call(parts))[0] == 503
        assert scene.testbed.fleet.crashing_arrivals == []

    play(tmp_path, scenario, hosts=1, targets=2)


def test_queued_and_sent_requests_with_the_part_are_stopped(tmp_path):
    """Guards against crashes by requests that were taken before the verdict."""

    async def scenario(scene):
        testbed = scene.testbed
        (target,) = testbed.layered
        target.crash_after_s, target.places, target.events = 3.0, 1, 100
        replies = []

        async def call():
            replies.append(await scene.call(("f0", BAD, "own")))

        async with trio.open_nursery() as nursery:
            for _ in range(3):
                nursery.start_soon(call)
            await testbed.until(lambda: testbed.fleet.crashing_arrivals)
            await trio.sleep(0.3)
            report_crashes(testbed.routers)
            with trio.fail_after(1.0):
                await testbed.until(lambda: len(replies) == 3)
        assert sorted(status for status, _ in replies) == [502, 503, 503]
        await trio.sleep(3.0)
        assert testbed.crashed_ids == []

    play(tmp_path, scenario, hosts=1, targets=1)


def test_prompt_of_thousands_of_parts_is_served_and_hurts_no_other_caller(tmp_path):
    """Guards against a header that fails its request or fills the book of suspects."""

    async def scenario(scene):
        huge = tuple(f"{number:x}" for number in range(2_000))
        answers = []

        async def call(parts):
            answers.append(await scene.call(parts))

        async with trio.open_nursery() as nursery:
            for _ in range(5):
                nursery.start_soon(call, huge)
                nursery.start_soon(call, ("f0", "a0", "own"))
        assert answers == [(200, True)] * 10
        (router,) = scene.testbed.routers
        survivors = router.view.crashes.book._survivals
        assert len(survivors) <= 10 * (1 + MAX_SHARED_PARTS)

    play(tmp_path, scenario, hosts=1, targets=2)


def test_host_that_missed_reports_of_a_part_is_sent_them_again(tmp_path):
    """Guards against a host that returns from a partition and sends the part on."""

    async def scenario(scene):
        testbed = scene.testbed
        report_crashes(testbed.routers[:1])
        # The first host recorded the crashes without a report to the others.
        testbed.routers[0].view.crash_updates.take()

        def refuses(router):
            view = router.view
            verdict = view.crashes.book.verdict(part_trait(BAD), view.clock.now())
            return verdict is not None

        await testbed.until(lambda: all(map(refuses, testbed.routers)), limit_s=4.0)

    play(tmp_path, scenario, targets=2)


def test_log_leads_from_a_refused_request_to_the_part_and_its_crashes(tmp_path, caplog):
    """Guards against a refusal whose cause is found in no line."""

    async def scenario(scene):
        await run_load(scene, [middle()], seconds=4.0)
        assert (await scene.call(("f0", BAD, "own"), request_id="refused"))[0] == 503

    with caplog.at_level("INFO"):
        play(tmp_path, scenario)
    refused, broken = (
        [record.fields for record in caplog.records if record.getMessage() == name]
        for name in ("request.refused", "attempt.broken")
    )
    (refusal,) = [fields for fields in refused if fields["request"] == "refused"]
    assert refusal["traits"] == part_trait(BAD)
    proof = [end.split()[0] for end in refusal["ends"].split(", ")]
    assert len(proof) >= 3
    for target_id in proof:
        assert any(
            fields["target"] == target_id and part_trait(BAD) in fields["parts"].split()
            for fields in broken
        )
