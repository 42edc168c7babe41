"""Tests which parts of prompts are blamed for the targets that crashed under them."""

import msgspec
import pytest
import trio
import trio.testing

from radishfield.core import TrioClock
from radishfield.crashes import (
    CrashBook,
    CrashGuard,
    CrashReport,
    RequestTraits,
    TargetCrash,
    TargetCrashEntry,
    part_trait,
)
from radishfield.crashes._blame import (
    MAX_JOINT_CRASHES,
    REFUSAL_THRESHOLD,
    SETTLE_S,
    SOUND_S,
)
from radishfield.crashes._book import MAX_SUSPECTS, REFUSED_S
from radishfield.crashes._traits import MAX_PARTS

FIRST, BAD, OTHER_BAD, RARE = (part_trait(name) for name in ("f", "b", "c", "d"))


class Requests:
    """Requests that crash targets in a book, each with another digest."""

    def __init__(self, book=None, survived=(FIRST,)):
        self.book = book or CrashBook()
        self.crashes = 0
        self.requests = 0
        for trait in survived:
            self.book.add_survival(trait, 0.0)

    def crash(self, at, *requests):
        """Crash one target under requests, each given by its parts or as traits."""
        self.crashes += 1
        crash = TargetCrash(f"t{self.crashes}", 1, "host-1", at)
        for parts in requests:
            traits = parts
            if not isinstance(parts, RequestTraits):
                self.requests += 1
                traits = RequestTraits(f"digest-{self.requests}", tuple(parts))
            for trait in traits.all:
                self.book.add_crash(trait, crash, len(traits.all))

    def refuses(self, at, *parts, digest="new"):
        return self.book.verdict_of((digest, *parts), at + SETTLE_S) is not None


def test_part_that_all_crashed_requests_have_is_blamed():
    """Guards against counting by whole requests where no two of them are alike."""
    scene = Requests()
    for number in range(REFUSAL_THRESHOLD):
        assert not scene.refuses(number, FIRST, BAD)
        scene.crash(number, [FIRST, part_trait(f"{number}"), BAD], [FIRST, RARE])
        scene.book.add_survival(RARE, number + 0.5)
    at = REFUSAL_THRESHOLD
    assert scene.refuses(at, FIRST, BAD)
    assert scene.refuses(at, BAD)
    verdict = scene.book.verdict_of((BAD,), at)
    assert verdict.traits == {BAD}
    assert [end.target_id for end in verdict.ends] == ["t1", "t2", "t3"]
    assert not scene.refuses(at, FIRST)
    assert not scene.refuses(at, FIRST, RARE, part_trait("0"))


def test_two_crashing_parts_with_a_common_one_are_both_blamed():
    """Guards against blaming the part that the requests of both have."""
    scene = Requests()
    for number in range(REFUSAL_THRESHOLD):
        scene.crash(number, [FIRST, BAD])
        scene.crash(number + 0.5, [FIRST, OTHER_BAD])
    assert scene.refuses(4.0, FIRST, BAD)
    assert scene.refuses(4.0, FIRST, OTHER_BAD)
    assert not scene.refuses(4.0, FIRST, RARE)


def test_part_that_only_comes_with_the_crashing_one_is_served_without_it():
    """Guards against refusing a part for the company that it had."""
    scene = Requests()
    for number in range(MAX_JOINT_CRASHES - 1):
        scene.crash(number, [FIRST, RARE, BAD])
    assert scene.refuses(8.0, RARE, BAD)
    assert not scene.refuses(8.0, FIRST, RARE)
    scene.crash(8.0, [FIRST, BAD])
    assert scene.refuses(8.0, BAD)
    assert not scene.refuses(8.0, FIRST, RARE)


def test_request_that_crashes_targets_by_itself_leaves_its_parts_alone():
    """Guards against refusing the parts of a request that crashes as a whole."""
    scene = Requests()
    same = RequestTraits("same", (FIRST, RARE))
    for number in range(REFUSAL_THRESHOLD):
        scene.crash(number, same)
    assert scene.refuses(3.0, FIRST, RARE, digest="same")
    assert not scene.refuses(3.0, FIRST, RARE)


def test_repeats_of_the_first_request_do_not_hide_its_part():
    """Guards against taking a part for sound since a repeated request explains it."""
    scene = Requests()
    for number in range(REFUSAL_THRESHOLD):
        scene.crash(0.1 * number, RequestTraits("same", (FIRST, BAD)))
    scene.crash(1.0, [FIRST, BAD])
    assert scene.refuses(1.0, FIRST, BAD)
    assert not scene.refuses(1.0, FIRST)


def test_requests_cut_beside_the_crashing_one_keep_it_from_no_verdict():
    """Guards against a verdict that waits while others are cut at the same targets."""
    scene = Requests(survived=(FIRST,))
    beside = RequestTraits("beside", (FIRST,))
    for number in range(REFUSAL_THRESHOLD):
        scene.crash(number, RequestTraits("same", (FIRST, BAD)), beside)
    assert scene.refuses(3.0, FIRST, BAD)
    assert not scene.refuses(3.0, FIRST, digest="beside")


def test_popular_part_is_never_blamed_for_crashes_with_other_causes():
    """Guards against refusing a part in flight at each target that crashes."""
    scene = Requests()
    for number in range(60):
        at = 0.5 * number
        scene.crash(at, [FIRST, part_trait(f"{number}")], [FIRST])
        assert not scene.refuses(at, FIRST)
        scene.book.add_survival(FIRST, at + SETTLE_S + 0.1)


@pytest.mark.parametrize("survived", [(), (FIRST,)])
def test_popular_part_is_not_blamed_for_targets_lost_at_one_moment(survived):
    """Guards against refusing what was in flight when a rack failed.

    The host has just started, or has served the part before.
    """
    scene = Requests(survived=survived)
    for number in range(10):
        scene.crash(5.0 + 0.02 * number, [FIRST])
    assert not scene.refuses(5.3, FIRST)
    assert not scene.refuses(7.0, FIRST)
    scene.book.add_survival(RARE, 7.5)
    assert not scene.refuses(8.0, FIRST)


def test_popular_part_is_not_blamed_while_nothing_survives():
    """Guards against refusing a part because all targets crash, whatever they run."""
    scene = Requests()
    for number in range(30):
        scene.crash(float(number), [FIRST], [FIRST, part_trait(f"{number}")])
        assert not scene.refuses(float(number), FIRST)


def test_sound_part_that_begins_to_crash_targets_is_blamed():
    """Guards against a survival that protects a part from then on."""
    scene = Requests(survived=(FIRST, BAD))
    for number in range(2 * int(SOUND_S) - 1):
        at = 1.0 + 0.5 * number
        assert not scene.refuses(at - 0.5, FIRST, BAD)
        scene.crash(at, [FIRST, BAD])
        scene.book.add_survival(FIRST, at + SETTLE_S)
    assert scene.refuses(SOUND_S + 1.0, FIRST, BAD)
    assert not scene.refuses(SOUND_S + 1.0, FIRST)


def test_survival_clears_a_blamed_part():
    """Guards against a part that is refused in error until its verdict expires."""
    scene = Requests()
    for number in range(REFUSAL_THRESHOLD):
        scene.crash(number, [FIRST, RARE])
    assert scene.refuses(3.0, RARE)
    assert scene.book.add_survival(RARE, 3.5)
    assert not scene.refuses(4.0, RARE)


def test_crashes_of_a_part_add_up_over_hosts():
    """Guards against hosts that each count the crashes that they saw themselves."""
    books = []
    for number in range(REFUSAL_THRESHOLD):
        scene = Requests()
        scene.crashes = 10 * number
        scene.crash(number, [FIRST, BAD])
        books.append(scene.book)
    for book in books:
        for other in books:
            book.merge(other.report(BAD, 3.0), 3.0)
    assert all(book.verdict_of((FIRST, BAD), 3.3) for book in books)
    assert len({book.checksum() for book in books}) == 1


def test_callers_with_random_parts_evict_no_suspect():
    """Guards against a flood of parts that drops the one which crashes targets."""
    scene = Requests()
    for number in range(REFUSAL_THRESHOLD):
        scene.crash(number, [FIRST, BAD])
        floods = [
            [part_trait(f"{number}{flood:04x}{part:02x}") for part in range(MAX_PARTS)]
            for flood in range(MAX_SUSPECTS // 20)
        ]
        scene.crash(number + 0.1, *floods)
        assert len(scene.book) <= MAX_SUSPECTS
    assert scene.refuses(3.0, BAD)


def test_blamed_part_is_forgotten_in_time():
    scene = Requests()
    for number in range(REFUSAL_THRESHOLD):
        scene.crash(number, [BAD])
    scene.book.forget(REFUSED_S)
    assert scene.refuses(REFUSED_S, BAD)
    scene.book.forget(REFUSED_S + 2.0)
    assert not scene.refuses(REFUSED_S + 2.0, BAD)
    assert len(scene.book) == 0


@pytest.mark.parametrize(
    ("ids", "parts"),
    [
        (["5C1e", "5c1E ", "ab"], ["part-5c1e", "part-ab"]),
        ([""], [part_trait("")]),
        (["../a b", "é" * 9000], [part_trait("../a b"), part_trait("é" * 9000)]),
    ],
)
def test_ids_of_parts_become_short_names_without_special_characters(ids, parts):
    traits = RequestTraits.from_parts("d", ids)
    assert list(traits.parts) == parts
    assert traits.all == ("d", *parts)
    for part in parts:
        assert len(part) <= 40
        assert part.replace("-", "").isalnum()


def test_parts_of_one_request_are_bounded():
    """Guards against a request that brings thousands of suspects."""
    traits = RequestTraits.from_parts("d", [f"{number:x}" for number in range(10_000)])
    assert len(traits.parts) == MAX_PARTS


class EarlierReport(msgspec.Struct, array_like=True):
    """A report as hosts of the previous version encode and decode it."""

    digest: str
    ends: list[TargetCrashEntry] = []
    survived_age_s: float = -1.0


def test_hosts_of_the_previous_version_pass_reports_of_parts_on():
    """Guards against reports that get lost or fail while two versions run."""
    scene = Requests()
    for number in range(REFUSAL_THRESHOLD):
        scene.crash(number, [FIRST, BAD])
    sent = msgspec.msgpack.encode(scene.book.report(BAD, 3.0))
    earlier = msgspec.msgpack.decode(sent, type=EarlierReport)
    forwarded = msgspec.msgpack.decode(
        msgspec.msgpack.encode(earlier), type=CrashReport
    )
    book = CrashBook()
    book.add_survival(FIRST, 0.0)
    assert book.merge(forwarded, 3.0)
    assert book.verdict_of((FIRST, BAD), 3.0 + SETTLE_S) is not None


def test_few_hosts_report_a_survival_that_all_of_them_know():
    """Guards against hosts that all answer each report of a popular part's crash."""
    hosts = 60
    announced = []

    async def main():
        guards = [CrashGuard(f"host-{number}", TrioClock()) for number in range(hosts)]
        send, receive = trio.open_memory_channel(10_000)

        def announcer(sender):
            def announce(trait):
                announced.append(trait)
                send.send_nowait((sender, sender.report(trait)))

            return announce

        async def deliver():
            async for sender, report in receive:
                await trio.sleep(0.001)
                for guard in guards:
                    if guard is not sender:
                        guard.learn([report], "other")

        async with trio.open_nursery() as nursery:
            nursery.start_soon(deliver)
            for guard in guards:
                guard.announce = announcer(guard)
                nursery.start_soon(guard.watch)
            for guard in guards[1:]:
                guard.record_survival(RequestTraits("d", (FIRST,)), "r")
            await trio.sleep(0.1)
            guards[0].count(RequestTraits("e", (FIRST,)), "t1", 1)
            await trio.sleep(1.0)
            assert guards[0].report(FIRST).survived_age_s >= 0
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    assert 2 <= announced.count(FIRST) <= 8
