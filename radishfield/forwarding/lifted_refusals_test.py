"""Refusals that a survival has lifted, and the records of them in the store."""

import time

import pytest
import trio
import trio.testing
from expression import Ok

from radishfield.core import TrioClock
from radishfield.crashes import (
    CrashReport,
    RequestTraits,
    TargetCrashEntry,
    part_trait,
)
from radishfield.forwarding._crash_records import (
    CRASHES_KIND,
    MAX_TRIALS,
    CrashRecords,
)
from radishfield.forwarding._view import RouterView
from radishfield.forwarding.conftest import open_testbed
from radishfield.limits import RetryAllowance
from radishfield.platform import StoredValue
from radishfield.routing import Freshness, Position
from standins.routed_config import config

BAD, SOUND = "bad0", "50fa"
RECOVERY_S = 12.0
"""Time after a restart from which a quarter of the requests has to be served."""
INTERVAL_S = 0.1


def play(tmp_path, scenario, hosts=3, targets=6):
    """Run a scenario with complete layered targets and hosts of one zone."""

    async def main():
        with trio.fail_after(60.0):
            async with open_testbed(tmp_path) as testbed:
                testbed.store.put("config", "main", config())
                testbed.fleet.crashing_parts.add(BAD)
                for number in range(targets):
                    await testbed.add_layered(f"t{number}", 0, 80, events=4, gap_s=0.02)
                await testbed.start_zone(hosts)
                await testbed.until(
                    lambda: all(
                        router.view.peers.heard == hosts - 1
                        for router in testbed.routers
                    )
                )
                testbed.nursery.start_soon(testbed.restart_crashed, 1.0)
                await scenario(testbed)

    trio.run(main)


def record(age_s=20.0):
    """Return a record of three crashes, as a host writes it."""
    ends = [
        {
            "target": f"gone-{number}",
            "started_ms": 1,
            "told_by": "host-9",
            "unix_s": time.time() - age_s - number,
        }
        for number in range(3)
    ]
    return {"ends": ends}


async def call(testbed, part, number):
    """Send a request with a part to one of the hosts; return its status."""
    prefix = f"f0:10,{part}:10,own{number}:10"
    reply = await testbed.request(
        "/stream/x",
        "POST",
        request_id=f"r-{part}-{number}",
        body=prefix.encode(),
        address=testbed.fronts[number % len(testbed.fronts)],
        x_prompt_prefix=prefix,
    )
    return reply.status


async def send(testbed, part, seconds):
    """Send requests with a part for some time; return their statuses in order."""
    statuses, until, number = [], trio.current_time() + seconds, 0

    async def send_one(number):
        statuses.append((number, await call(testbed, part, number)))

    async with trio.open_nursery() as nursery:
        while trio.current_time() < until:
            nursery.start_soon(send_one, number)
            number += 1
            await trio.sleep(INTERVAL_S)
    return [status for _, status in sorted(statuses)]


async def restart_all(testbed, hosts):
    """End all hosts and start others, which know only what the store holds."""
    for scope in testbed.scopes:
        scope.cancel()
    testbed.scopes.clear()
    testbed.fronts.clear()
    testbed.routers.clear()
    await testbed.start_zone(hosts)


def refuses(router, part):
    view = router.view
    return view.crashes.book.verdict(part_trait(part), view.clock.now()) is not None


async def block(testbed, part, writer=0):
    """Let three targets crash under a part, the last one of them seen by a host."""
    routers = testbed.routers
    for number in range(3):
        guard = routers[writer].view.crashes
        traits = RequestTraits(f"d{number}", (part_trait(part),))
        guard.count(traits, f"gone-{number}", 1)
        await trio.sleep(0.35 if number == 1 else 0.0)
    # Requests without the part survive, as they do beside one that crashes targets.
    for router in routers:
        router.view.crashes.record_survival(RequestTraits("e"), "other")
    await testbed.until(lambda: all(refuses(router, part) for router in routers))
    await testbed.until(lambda: part_trait(part) in names(testbed))


def names(testbed):
    return testbed.store.names(CRASHES_KIND)


@pytest.mark.parametrize(
    "trouble",
    ["", "writer ends", "store away", "store away, writer ends", "answer lost"],
)
def test_record_of_a_refusal_that_was_lifted_is_removed(tmp_path, trouble):
    """Guards against a refusal that comes back from the store after a restart."""

    async def scenario(testbed):
        await block(testbed, SOUND)
        if "writer ends" in trouble:
            testbed.scopes[0].cancel()
        if "store away" in trouble:
            testbed.store.switches.status = 503
        if trouble == "answer lost":
            testbed.store.switches.lost_answers = 1
        survivor = testbed.routers[1].view.crashes
        survivor.record_survival(RequestTraits("x", (part_trait(SOUND),)), "r")
        await testbed.until(lambda: not refuses(testbed.routers[2], SOUND))
        await trio.sleep(1.0)
        testbed.store.switches.status = 0
        await testbed.until(lambda: part_trait(SOUND) not in names(testbed), 8.0)

    play(tmp_path, scenario)


class OneRecordStore:
    """Holds one record, which it returns and removes."""

    def __init__(self, spec):
        self.spec = spec

    async def read(self, kind, name):
        return Ok(StoredValue(name, Position(1, 1), self.spec))

    async def remove(self, kind, name, position):
        self.spec = None
        return Ok(None)


@pytest.mark.parametrize("age_s", [0.0, 5.0])
def test_record_with_crashes_since_the_survival_is_kept(age_s):
    """Guards against a removal that reaches the record of a later refusal."""

    async def main():
        view = RouterView("a", TrioClock(), RetryAllowance(), Freshness(5.0))
        view.crashes.record_survival(RequestTraits("x", (part_trait(BAD),)), "r")
        await trio.sleep(1.0)
        store = OneRecordStore(record(age_s))
        assert await CrashRecords(store, view).remove(part_trait(BAD))
        assert (store.spec is None) == (age_s > 1.0)

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_store_that_comes_back_with_the_record_of_a_lifted_refusal(tmp_path):
    """Guards against a copy from which a lifted refusal is read again."""

    async def scenario(testbed):
        await block(testbed, SOUND)
        copy = testbed.store.copy()
        survivor = testbed.routers[1].view.crashes
        survivor.record_survival(RequestTraits("x", (part_trait(SOUND),)), "r")
        await testbed.until(lambda: part_trait(SOUND) not in names(testbed))
        testbed.store.restore(copy)
        assert part_trait(SOUND) in names(testbed)
        await testbed.until(lambda: part_trait(SOUND) not in names(testbed), 8.0)

    play(tmp_path, scenario)


def test_refusal_that_only_the_store_knows_ends_with_a_trial(tmp_path):
    """Guards against refusals for minutes since nobody is left who saw a survival."""

    async def scenario(testbed):
        testbed.store.put(CRASHES_KIND, part_trait(SOUND), record())
        await restart_all(testbed, 3)
        statuses = await send(testbed, SOUND, RECOVERY_S)
        assert 503 in statuses[:10]
        assert set(statuses[-40:]) == {200}
        assert part_trait(SOUND) not in names(testbed)

    play(tmp_path, scenario)


def test_record_read_after_two_crashes_refuses_for_no_longer(tmp_path):
    """Guards against a host that ran all the while and takes an old record for new."""

    async def scenario(testbed):
        testbed.store.put(CRASHES_KIND, part_trait(SOUND), record())
        guard = testbed.routers[0].view.crashes
        for number in range(2):
            traits = RequestTraits(f"d{number}", (part_trait(SOUND),))
            guard.count(traits, f"new-{number}", 1)
        report = CrashReport(
            part_trait(SOUND),
            [
                TargetCrashEntry(f"gone-{n}", 1, "host-9", 20.0 + n, True)
                for n in range(3)
            ],
        )
        guard.learn([report], "store")
        statuses = await send(testbed, SOUND, RECOVERY_S)
        assert set(statuses[-40:]) == {200}

    play(tmp_path, scenario)


def test_part_that_crashes_targets_costs_one_more_over_all_restarts(tmp_path):
    """Guards against trials that repeat with each host and each restart."""

    async def scenario(testbed):
        testbed.store.put(CRASHES_KIND, part_trait(BAD), record())
        for hosts in (3, 1, 2):
            await restart_all(testbed, hosts)
            statuses = await send(testbed, BAD, 8.0)
            assert set(statuses) <= {502, 503}
        assert len(testbed.fleet.crashing_arrivals) == 1
        assert testbed.store.spec(CRASHES_KIND, part_trait(BAD))["proven"]

    play(tmp_path, scenario)


def test_trials_without_an_outcome_are_bounded(tmp_path):
    """Guards against one trial after another of hosts that end before its outcome."""

    async def scenario(testbed):
        spent = record() | {"trials": MAX_TRIALS, "tried_unix_s": time.time() - 60.0}
        testbed.store.put(CRASHES_KIND, part_trait(BAD), spent)
        await restart_all(testbed, 2)
        assert set(await send(testbed, BAD, 5.0)) == {503}
        assert testbed.fleet.crashing_arrivals == []

    play(tmp_path, scenario)


def test_host_that_saw_the_crashes_spares_a_restarted_one_the_trial(tmp_path):
    """Guards against a trial although a host lives that can vouch for the refusal."""

    async def scenario(testbed):
        await block(testbed, BAD, writer=2)
        for scope in testbed.scopes[:2]:
            scope.cancel()
        testbed.fronts.clear()
        await testbed.start_zone(2)
        assert set(await send(testbed, BAD, 6.0)) == {503}
        assert testbed.fleet.crashing_arrivals == []

    play(tmp_path, scenario)
