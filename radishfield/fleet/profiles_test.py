"""Tests of publishing, changing and retiring profiles against the platform."""

import msgspec
import pytest
import trio
import trio.testing

from radishfield.core import Profile, ResultCode, StoredObject, TrioClock
from radishfield.fleet import FactTable, ProfileStore
from standins.fakes import FakePlatform


class Setup:
    """Two operators at two hosts with one platform."""

    def __init__(self):
        self.platform = FakePlatform(TrioClock())
        self.first = ProfileStore(self.platform.as_caller("h1"), FactTable())
        self.second_facts = FactTable()
        self.second = ProfileStore(self.platform.as_caller("h2"), self.second_facts)


def run(main):
    async def with_setup():
        await main(Setup())

    trio.run(with_setup, clock=trio.testing.MockClock(autojump_threshold=0))


def review(**fields):
    return Profile("review", model="m", **fields)


def test_publish_change_and_retire_raise_the_version():
    async def main(setup):
        assert (await setup.first.publish(review())).ok.version == 1
        changed = (await setup.first.change(review(deadline_s=9.0), 1)).ok
        assert changed.version == 2 and setup.first.find("review").ok == changed
        assert (await setup.first.retire("review")).ok.version == 3
        assert setup.first.find("review").error.code is ResultCode.PROFILE_RETIRED
        assert setup.first.names() == []
        again = (await setup.second.publish(review())).error
        assert again.code is ResultCode.PROFILE_RETIRED

    run(main)


def test_of_two_concurrent_changes_one_wins_and_the_other_conflicts():
    """Two operators change version 1 at the same time, at two hosts.

    Both hosts read version 1, then both write; the platform accepts one.  The
    other operator must get a conflict that names the winner, not a success.
    """

    async def main(setup):
        await setup.first.publish(review())
        setup.platform.faults.delay_s = 0.01
        results = {}

        async def change(store, deadline_s):
            results[deadline_s] = await store.change(review(deadline_s=deadline_s), 1)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(change, setup.first, 10.0)
            nursery.start_soon(change, setup.second, 20.0)
        conflict = next(
            result.error for result in results.values() if result.is_error()
        )
        winner = next(result.ok for result in results.values() if result.is_ok())
        assert conflict.code is ResultCode.CHANGE_CONFLICT
        assert f"deadline {winner.deadline_s:g} s" in conflict.detail
        assert "version 2" in conflict.detail

    run(main)


@pytest.mark.parametrize("switch", ["lost_answers", "lost_writes"])
def test_ambiguous_write_is_settled_by_reading_back(switch):
    """The answer to a change is lost, once after and once before it takes effect.

    The operator must get a success, and the change must be applied exactly once:
    version 2, not a conflict with its own first attempt, and not version 3.
    """

    async def main(setup):
        await setup.first.publish(review())
        setattr(setup.platform.faults, switch, 1)
        setup.platform.faults.stale_reads = 0
        assert (await setup.first.change(review(deadline_s=9.0))).ok.version == 2
        stored = (await setup.platform.read("profile", "review")).ok
        assert msgspec.json.decode(stored.value, type=Profile).deadline_s == 9.0
        assert stored.version == 2

    run(main)


def test_lost_answer_is_settled_when_another_change_follows():
    """The answer is lost, and another operator changes the profile at once.

    The first operator's change took effect and was then replaced.  Reading only
    the newest value would report a conflict for a change that had been active.
    """

    async def main(setup):
        await setup.first.publish(review())
        setup.platform.faults.lost_answers = 1
        setup.platform.faults.stale_reads = 0
        results = []

        async def first():
            results.append(await setup.first.change(review(deadline_s=9.0)))

        read = setup.platform.read
        async with trio.open_nursery() as nursery:
            setup.platform.faults.delay_s = 1.0
            nursery.start_soon(first)
            await trio.sleep(2.5)
            stored = (await read("profile", "review")).ok
            present = msgspec.json.decode(stored.value, type=Profile)
            assert present.version == 2
            setup.platform.faults.delay_s = 0.0
            assert (await setup.second.change(review(deadline_s=5.0))).ok.version == 3
        assert results[0].is_ok() and results[0].ok.version == 2
        assert setup.second.find("review").ok.version == 3

    run(main)


def test_change_that_cannot_be_settled_is_ambiguous():
    """The answer is lost and the platform goes down before it can be read back."""

    async def main(setup):
        await setup.first.publish(review())
        setup.platform.faults.lost_answers = 1
        setup.platform.faults.delay_s = 0.05

        async def take_down():
            await trio.sleep(0.12)
            setup.platform.set_down(True)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(take_down)
            result = await setup.first.change(review(deadline_s=9.0))
        assert result.error.code is ResultCode.CHANGE_AMBIGUOUS
        refused = (await setup.second.change(review())).error
        assert refused.code is ResultCode.PLATFORM_UNAVAILABLE

    run(main)


def test_old_read_and_stale_peer_do_not_restore_a_retired_profile():
    """A host holds a tombstone; an old version arrives from a stale source.

    Callers must still be informed that the profile is retired.  Versions decide, so
    neither an old read of the store nor a peer that missed the change has an effect.
    """

    async def main(setup):
        await setup.first.publish(review())
        published = (await setup.platform.read("profile", "review")).ok
        await setup.first.retire("review")
        retired = (await setup.platform.read("profile", "review")).ok
        setup.second_facts.learn(retired)
        assert not setup.second_facts.learn(published)
        # An older profile is ignored even under a higher object version.
        setup.second_facts.learn(StoredObject("profile", "review", 9, published.value))
        found = setup.second.find("review").error
        assert found.code is ResultCode.PROFILE_RETIRED

    run(main)


def test_unknown_profile_differs_from_profiles_not_received_yet():
    async def main(setup):
        not_received = setup.second.find("none").error
        assert not_received.code is ResultCode.PROFILES_UNKNOWN
        assert not_received.retry_after_s > 0
        setup.second_facts.is_filled = True
        assert setup.second.find("none").error.code is ResultCode.UNKNOWN_PROFILE
        bad = (await setup.first.publish(review(deadline_s=-1.0))).error
        assert bad.code is ResultCode.CHANGE_INVALID
        missing = (await setup.first.retire("none")).error
        assert missing.code is ResultCode.UNKNOWN_PROFILE
        setup.second_facts.learn(StoredObject("profile", "bad", 1, b"not json"))
        assert setup.second.malformed == 1 and setup.second.names() == []

    run(main)
