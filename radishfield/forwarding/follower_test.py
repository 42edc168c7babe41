"""Tests of the recovery of the store followers after an outage, in virtual time."""

import pytest
import trio
import trio.testing
from expression import Error, Ok

from radishfield.core import ResultCode, TrioClock, fault
from radishfield.forwarding import _gossip
from radishfield.forwarding._follower import ConfigFollower, TargetFollower
from radishfield.forwarding._gossip import GOSSIP_PERIOD_S
from radishfield.forwarding._view import RouterView
from radishfield.limits import RetryAllowance
from radishfield.platform import (
    CONFIG_KIND,
    CONFIG_NAME,
    Change,
    Changes,
    Listing,
    StoredValue,
)
from radishfield.routing import WATCHERS_PER_ZONE, Freshness, Position
from radishfield.routing._watch_duty import CONFIG_AGE_SHARE
from standins.follower_zone import FollowerZone, MemoryDatagrams
from standins.routed_config import config, target_entry

BOUND_S = 5.0
SOON_S = 1.1
"""The maximum pause after a failure, plus the failure of a call that was sent just
before the store recovered."""
REPORTED_AFTER_S = 2.0 * (1.1 * GOSSIP_PERIOD_S + MemoryDatagrams.BATCH_S)
"""Time after which each host of the zone has a watcher's report."""


class FailingStore:
    """A store that is unavailable between two times; watches without changes wait."""

    def __init__(self, lost_at, back_at):
        self.lost_at, self.back_at = lost_at, back_at

    def is_away(self):
        return self.lost_at <= trio.current_time() < self.back_at

    async def list(self, kind, limit_s=2.0):
        if self.is_away():
            return await self.fail(kind)
        values = ()
        if kind == CONFIG_KIND:
            values = (StoredValue(CONFIG_NAME, Position(0, 1), config()),)
        return Ok(Listing(values, Position(0, 1)))

    async def watch(self, kind, position, wait_s, margin_s=1.0):
        if self.is_away():
            return await self.fail(kind)
        with trio.move_on_after(wait_s):
            if trio.current_time() < self.lost_at:
                await trio.sleep_until(self.lost_at)
                return await self.fail(kind)
            await trio.sleep_forever()
        return Ok(Changes((), position))

    async def fail(self, kind):
        """Fail after a delay, as calls over unanswered connections do."""
        await trio.sleep(0.9 if kind == CONFIG_KIND else 0.05)
        return Error(fault(ResultCode.PLATFORM_UNAVAILABLE))


def ages_after_an_outage(back_at):
    """Return the age of the configuration soon after the store has recovered."""

    async def main():
        trio_clock = TrioClock()
        view = RouterView("a", trio_clock, RetryAllowance(), Freshness(BOUND_S))
        started_at = trio.current_time()
        store = FailingStore(started_at + 10.0, started_at + back_at)
        async with trio.open_nursery() as nursery:
            await nursery.start(ConfigFollower(store, view, lambda idle_s: None).run)
            await nursery.start(TargetFollower(store, view).run)
            await trio.sleep(back_at + SOON_S)
            ages.append(view.freshness.age_s(trio_clock.now()))
            nursery.cancel_scope.cancel()

    ages = []
    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    return ages[0]


def test_keys_are_admitted_soon_after_the_store_recovers():
    """Guards against refusing callers once the store has recovered from an outage.

    The outage lasts some seconds.  A watch that waits for changes is answered two
    seconds after the recovery and confirms nothing before.  So the first call does
    not wait, and a call that succeeds ends the other follower's pause.
    """
    worst = max(ages_after_an_outage(13.0 + step * 0.13) for step in range(20))
    assert worst < SOON_S


class SlowStore(FailingStore):
    """A store whose every answer is late by the same time."""

    def __init__(self, late_s):
        super().__init__(float("inf"), float("inf"))
        self.late_s = late_s

    async def list(self, kind, limit_s=2.0):
        if limit_s <= self.late_s:
            await trio.sleep(limit_s)
            return Error(fault(ResultCode.PLATFORM_UNAVAILABLE))
        await trio.sleep(self.late_s)
        return await super().list(kind, limit_s)

    async def watch(self, kind, position, wait_s, margin_s=1.0):
        await trio.sleep(wait_s)
        await trio.sleep(self.late_s)
        return Ok(Changes((), position))


@pytest.mark.parametrize("late_s", [0.0, 0.5, 0.8, 0.95])
def test_keys_are_admitted_while_each_answer_of_the_store_is_late(late_s):
    """Guards against refusing callers although the store answers each call."""

    async def main():
        clock = TrioClock()
        view = RouterView("a", clock, RetryAllowance(), Freshness(BOUND_S))
        follower = ConfigFollower(SlowStore(late_s), view, lambda idle_s: None)
        async with trio.open_nursery() as nursery:
            await nursery.start(follower.run)
            await trio.sleep(late_s + 0.1)
            for _ in range(300):
                await trio.sleep(0.1)
                ages.append(view.freshness.age_s(clock.now()))
            nursery.cancel_scope.cancel()

    ages = []
    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    assert max(ages) < BOUND_S


def test_a_host_that_starts_uses_the_first_list_although_it_is_late():
    """Guards against a start in which a busy host gives up each list and asks anew."""

    async def main():
        view = RouterView("a", TrioClock(), RetryAllowance(), Freshness(BOUND_S))
        follower = TargetFollower(SlowStore(late_s=0.5), view)
        async with trio.open_nursery() as nursery:
            await nursery.start(follower.run)
            await trio.sleep(0.6)
            ages.append(view.list_age_s())
            nursery.cancel_scope.cancel()

    ages = []
    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    assert ages[0] < 1.0


@pytest.mark.parametrize("late_s", [0.3, 0.5, 0.7])
def test_hosts_that_are_told_read_nothing_while_answers_are_late(monkeypatch, late_s):
    """Guards against a read of every host for each version that it is told."""
    calm_s = 8.0

    async def main():
        zone = FollowerZone(hosts=9)
        monkeypatch.setattr(_gossip, "DatagramSocket", zone.open_socket)
        zone.store.put("config", "main", config())
        async with trio.open_nursery() as nursery:
            await zone.start(nursery)
            await trio.sleep(calm_s)
            told = [host for host in zone.hosts if not host.view.watch_duty.on_duty]
            before = [host.view.config_reads for host in told]
            for host in zone.hosts:
                host.link.slow_s = late_s
            await trio.sleep(30.0)
            unread.append([host.view.config_reads for host in told] == before)
            nursery.cancel_scope.cancel()

    unread = []
    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    assert unread == [True]


@pytest.mark.parametrize("late_s", [0.3, 0.5, 0.7])
def test_one_of_two_watchers_confirms_in_time_when_answers_get_late(
    monkeypatch, late_s
):
    """Guards against two watchers whose views grow too old in the same moment."""

    async def main(calm_s):
        zone = FollowerZone(hosts=4)
        monkeypatch.setattr(_gossip, "DatagramSocket", zone.open_socket)
        zone.store.put("config", "main", config())
        async with trio.open_nursery() as nursery:
            await zone.start(nursery)
            await trio.sleep(calm_s)
            watchers = [
                host.view for host in zone.hosts if host.view.watch_duty.on_duty
            ]
            assert len(watchers) == WATCHERS_PER_ZONE
            for host in zone.hosts:
                host.link.slow_s = late_s
            for _ in range(500):
                await trio.sleep(0.01)
                now = watchers[0].clock.now()
                ages.append(min(view.freshness.age_s(now) for view in watchers))
            nursery.cancel_scope.cancel()

    ages = []
    for step in range(12):
        clock = trio.testing.MockClock(autojump_threshold=0)
        trio.run(main, 8.0 + step * 0.1, clock=clock)
    assert max(ages) + REPORTED_AFTER_S < CONFIG_AGE_SHARE * BOUND_S


@pytest.mark.parametrize("late_s", [0.3, 0.5, 0.7])
def test_watcher_confirms_in_time_for_the_others_when_answers_get_late(late_s):
    """Guards against reads of other hosts in the moment when answers get late."""
    reported_after_s = 2.0 * (1.1 * GOSSIP_PERIOD_S + MemoryDatagrams.BATCH_S)

    async def main(calm_s):
        clock, store = TrioClock(), SlowStore(0.0)
        view = RouterView("a", clock, RetryAllowance(), Freshness(BOUND_S))
        view.watch_duty.shared = True
        follower = ConfigFollower(store, view, lambda idle_s: None)
        async with trio.open_nursery() as nursery:
            await nursery.start(follower.run)
            await trio.sleep(calm_s)
            store.late_s = late_s
            for _ in range(1000):
                await trio.sleep(0.01)
                ages.append(view.freshness.age_s(clock.now()))
            nursery.cancel_scope.cancel()

    ages = []
    for step in range(12):
        clock = trio.testing.MockClock(autojump_threshold=0)
        trio.run(main, 5.0 + step * 0.1, clock=clock)
    assert max(ages) + reported_after_s < CONFIG_AGE_SHARE * BOUND_S


class LateStore:
    """A store that answers from a time on, and then removes its only target."""

    def __init__(self, answers_at, removed_at):
        self.answers_at, self.removed_at = answers_at, removed_at

    async def list(self, kind, limit_s=2.0):
        if trio.current_time() < self.answers_at:
            await trio.sleep(limit_s)
            return Error(fault(ResultCode.PLATFORM_UNAVAILABLE))
        value = StoredValue("p1", Position(0, 1), target_entry("portal", "10.0.0.1:80"))
        return Ok(Listing((value,), Position(0, 1)))

    async def watch(self, kind, position, wait_s, margin_s=1.0):
        with trio.move_on_after(wait_s):
            await trio.sleep_until(self.removed_at)
            if position.revision == 1:
                gone = Change(StoredValue("p1", Position(0, 2), None), deleted=True)
                return Ok(Changes((gone,), Position(0, 2)))
            await trio.sleep_forever()
        return Ok(Changes((), position))


def test_a_host_that_had_to_wait_for_its_first_list_holds_no_target_that_is_gone():
    """Guards against taking a removal for an expiry in an outage before the start."""

    async def main():
        view = RouterView("a", TrioClock(), RetryAllowance(), Freshness(BOUND_S))
        started_at = trio.current_time()
        store = LateStore(started_at + 1.5, started_at + 2.5)
        async with trio.open_nursery() as nursery:
            await nursery.start(TargetFollower(store, view).run)
            await trio.sleep(2.4)
            listed.append(len(view.directory.listed("portal")))
            await trio.sleep(0.3)
            listed.append(len(view.directory.listed("portal")))
            nursery.cancel_scope.cancel()

    listed = []
    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    assert listed == [1, 0]


class SlowLinkStore(FailingStore):
    """A store with a new version each second, and slow reads of each version."""

    LIMIT_S = 1.0
    VERSION_S = 0.4

    def version(self):
        return 1 + int(trio.current_time() - self.lost_at + 10.0)

    async def list(self, kind, limit_s=2.0):
        if self.is_away() or kind != CONFIG_KIND:
            return await super().list(kind)
        version = self.version()
        await trio.sleep(self.VERSION_S)
        position = Position(0, version)
        value = StoredValue(CONFIG_NAME, position, config(version))
        return Ok(Listing((value,), position))

    async def watch(self, kind, position, wait_s, margin_s=1.0):
        if self.is_away() or kind != CONFIG_KIND:
            return await super().watch(kind, position, wait_s)
        with trio.move_on_after(wait_s):
            while self.version() == position.revision:
                await trio.sleep(0.05)
        version = self.version()
        read_s = (version - position.revision) * self.VERSION_S
        await trio.sleep(min(read_s, self.LIMIT_S))
        if read_s > self.LIMIT_S:
            return Error(fault(ResultCode.PLATFORM_UNAVAILABLE))
        read = Position(0, version)
        value = StoredValue(CONFIG_NAME, read, config(version))
        found = (Change(value, deleted=False),) if read > position else ()
        return Ok(Changes(found, read))


def test_a_host_that_missed_versions_on_a_slow_link_catches_up():
    """Guards against refusing keys for good once a watch exceeds its time limit."""

    async def main():
        trio_clock = TrioClock()
        view = RouterView("a", trio_clock, RetryAllowance(), Freshness(BOUND_S))
        started_at = trio.current_time()
        store = SlowLinkStore(started_at + 10.0, started_at + 15.0)
        async with trio.open_nursery() as nursery:
            await nursery.start(ConfigFollower(store, view, lambda idle_s: None).run)
            await trio.sleep(20.0)
            ages.append(view.freshness.age_s(trio_clock.now()))
            nursery.cancel_scope.cancel()

    ages = []
    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    assert ages[0] < BOUND_S / 2
