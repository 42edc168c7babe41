"""Tests which requests are refused for the targets that crashed under them."""

import pytest

from radishfield.crashes import CrashBook, TargetCrash
from radishfield.crashes._blame import MAX_SHARED_CRASHES, SETTLE_S
from radishfield.crashes._book import (
    IMMUNE_S,
    MAX_SUSPECTS,
    REFUSED_S,
    SUSPECTED_S,
)
from radishfield.crashes._survivals import MAX_SURVIVORS


def book_of(targets_by_digest, at=0.0):
    book = CrashBook()
    for digest, targets in targets_by_digest.items():
        for target in targets:
            book.add_crash(digest, TargetCrash(target, 1, "host-1", at))
    return book


def is_refused(book, digest, now=SETTLE_S):
    return book.verdict(digest, now) is not None


def test_request_is_refused_once_three_targets_have_crashed_under_it():
    book = book_of({"bad": ["t1", "t2"]})
    assert not is_refused(book, "bad")
    book.add_crash("bad", TargetCrash("t3", 1, "host-2", 1.0))
    assert not is_refused(book, "bad", 1.0)
    verdict = book.verdict("bad", 1.0 + SETTLE_S)
    assert [(crash.target_id, crash.told_by) for crash in verdict.ends] == [
        ("t1", "host-1"),
        ("t2", "host-1"),
        ("t3", "host-2"),
    ]
    assert not is_refused(book, "other", 1.0 + SETTLE_S)


def test_one_crash_reported_by_many_hosts_counts_once():
    """Guards against a request refused for one crash that several hosts report."""
    book = CrashBook()
    for host in ("host-1", "host-2", "host-3", "host-4"):
        book.add_crash("r", TargetCrash("t1", 1, host, 0.0))
    assert not is_refused(book, "r")


def test_crashes_of_one_target_after_restarts_count_separately():
    book = CrashBook()
    for started_ms in (1, 2, 3):
        book.add_crash("r", TargetCrash("t1", started_ms, "host-1", 0.0))
    assert is_refused(book, "r")


def test_request_beside_one_that_crashes_targets_is_not_refused():
    """Guards against refusing a request that ran at the same targets as a bad one."""
    book = book_of({"bad": ["t1", "t2", "t3", "t4"], "beside": ["t1", "t2", "t3"]})
    assert is_refused(book, "bad")
    assert not is_refused(book, "beside")


def test_requests_that_share_all_crashes_are_told_apart_by_the_next_one():
    """Guards against refusing two requests where one of them may be harmless."""
    book = book_of({"bad": ["t1", "t2", "t3"], "beside": ["t1", "t2", "t3"]})
    assert not is_refused(book, "bad")
    book.add_crash("bad", TargetCrash("t4", 1, "host-1", 0.0))
    assert is_refused(book, "bad")
    assert not is_refused(book, "beside")


def test_neighbour_with_one_more_crash_is_not_refused_for_the_shared_ones():
    """Guards against refusing a request for a crash that had another cause."""
    shared = ["t1", "t2", "t3"]
    book = book_of({"bad": [*shared, "t4", "t5"], "beside": [*shared, "t9"]})
    assert is_refused(book, "bad")
    assert not is_refused(book, "beside")


def test_requests_with_the_same_crashes_are_both_refused_at_the_limit():
    """Guards against a pair of requests that crash targets together indefinitely."""
    targets = [f"t{number}" for number in range(MAX_SHARED_CRASHES)]
    book = book_of({"one": targets, "other": targets})
    assert is_refused(book, "one")
    assert is_refused(book, "other")


@pytest.mark.parametrize("clears_first", [True, False])
def test_popular_request_is_not_refused_when_targets_crash_for_other_reasons(
    clears_first,
):
    """Guards against refusing a request in flight at every target that crashes.

    The request outlives its start at another target just before or just after.
    """
    book = CrashBook()
    if clears_first:
        book.add_survival("popular", 0.0)
    for target in ("t1", "t2", "t3", "t4"):
        book.add_crash("popular", TargetCrash(target, 1, "host-1", 1.0))
    if not clears_first:
        assert book.add_survival("popular", 1.1)
    assert not is_refused(book, "popular", 2.0)


def test_survival_report_clears_request_at_host_that_saw_only_crashes():
    """Guards against a popular request refused by a host that saw only its failures."""
    saw_crashes = book_of({"popular": ["t1", "t2", "t3"]}, at=5.0)
    saw_survival = CrashBook()
    saw_survival.add_survival("popular", 4.0)
    assert is_refused(saw_crashes, "popular", 6.0)
    report = saw_crashes.report("popular", 6.0)
    assert not saw_survival.merge(report, 6.0)
    assert saw_survival.contradicts(report, 6.0)
    assert saw_crashes.merge(saw_survival.report("popular", 6.0), 6.0)
    assert not is_refused(saw_crashes, "popular", 6.0)
    assert not saw_survival.contradicts(saw_crashes.report("popular", 6.1), 6.1)


def test_crashes_long_after_a_survival_count_again():
    book = CrashBook()
    book.add_survival("r", 0.0)
    for number in range(3):
        crash = TargetCrash(f"t{number}", 1, "host-1", IMMUNE_S + number)
        assert book.add_crash("r", crash)
    assert is_refused(book, "r", IMMUNE_S + 3.0)


def test_hosts_that_each_saw_one_crash_refuse_together():
    """Guards against no refusal where three hosts have each seen only one crash."""
    books = [book_of({"bad": [f"t{number}"]}) for number in range(3)]
    for book in books:
        for other in books:
            book.merge(other.report("bad", 0.1), 0.1)
    assert all(is_refused(book, "bad") for book in books)
    assert len({book.checksum() for book in books}) == 1
    assert not books[0].merge(books[1].report("bad", 0.2), 0.2)


def test_caller_that_varies_its_body_neither_fills_memory_nor_evicts_proof():
    """Guards against an unbounded table and against the eviction of proven crashes."""
    book = book_of({"bad": ["t1", "t2", "t3"]})
    for number in range(10 * MAX_SUSPECTS):
        book.add_crash(f"varied-{number}", TargetCrash(f"v{number}", 1, "host-1", 0.0))
    for number in range(2 * MAX_SURVIVORS):
        book.add_survival(f"sound-{number}", 0.0)
    assert len(book) <= MAX_SUSPECTS
    assert len(book._survivals) <= MAX_SURVIVORS
    assert is_refused(book, "bad")


def test_crashes_are_forgotten_in_time():
    book = book_of({"bad": ["t1", "t2", "t3"], "suspect": ["t4"]})
    book.forget(SUSPECTED_S)
    assert len(book) == 1
    assert is_refused(book, "bad", REFUSED_S - 1.0)
    assert not is_refused(book, "bad", REFUSED_S)
    book.forget(REFUSED_S)
    assert len(book) == 0


def test_next_attempt_waits_while_others_may_still_explain_its_crashes():
    book = book_of({"bad": ["t1", "t2"]})
    assert book.settles_in_s(["bad"], 0.0) == 0.0
    book.add_crash("bad", TargetCrash("t3", 1, "host-1", 1.0))
    assert book.settles_in_s(["bad"], 1.1) == pytest.approx(SETTLE_S - 0.1)
    assert book.settles_in_s(["bad"], 1.0 + SETTLE_S) == 0.0


def test_hosts_with_the_same_records_have_one_checksum_after_any_change():
    """Guards against hosts that send each other the same reports indefinitely."""
    book, other = CrashBook(), book_of({"bad": ["t1", "t2", "t3"]})
    for change in (
        lambda: book.merge(other.report("bad", 1.0), 1.0),
        lambda: book.add_crash("bad", TargetCrash("t4", 1, "host-2", 1.0)),
        lambda: book.add_crash("new", TargetCrash("t4", 1, "host-2", 1.0)),
        lambda: book.add_crash("new", TargetCrash("t5", 1, "host-2", 1.0)),
        lambda: book.add_survival("new", 2.0),
        lambda: book.forget(REFUSED_S + 1.0),
    ):
        change()
        fresh = CrashBook()
        for digest in book.repeated_traits():
            fresh.merge(book.report(digest, 2.0), 2.0)
        assert book.checksum() == fresh.checksum()
    assert book.checksum() == 0
