"""Which requests are refused for the targets that ended under them."""

import pytest

from radishfield.crashes import CrashBook, TargetEnd
from radishfield.crashes._book import (
    IMMUNE_S,
    MOST_SURVIVORS,
    MOST_SUSPECTS,
    MOST_TRIALS,
    REFUSED_S,
    SETTLE_S,
    SUSPECTED_S,
)


def book_of(targets_by_digest, at=0.0):
    book = CrashBook()
    for digest, targets in targets_by_digest.items():
        for target in targets:
            book.add_end(digest, TargetEnd(target, 1, "host-1", at))
    return book


def is_refused(book, digest, now=SETTLE_S):
    return book.verdict(digest, now) is not None


def test_request_is_refused_once_three_targets_have_ended_under_it():
    book = book_of({"bad": ["t1", "t2"]})
    assert not is_refused(book, "bad")
    book.add_end("bad", TargetEnd("t3", 1, "host-2", 1.0))
    assert not is_refused(book, "bad", 1.0)
    verdict = book.verdict("bad", 1.0 + SETTLE_S)
    assert [(end.target_id, end.told_by) for end in verdict.ends] == [
        ("t1", "host-1"),
        ("t2", "host-1"),
        ("t3", "host-2"),
    ]
    assert not is_refused(book, "other", 1.0 + SETTLE_S)


def test_one_target_that_ends_under_many_attempts_counts_once():
    """Guards against a request refused for one end that several hosts tell."""
    book = CrashBook()
    for host in ("host-1", "host-2", "host-3", "host-4"):
        book.add_end("r", TargetEnd("t1", 1, host, 0.0))
    assert not is_refused(book, "r")


def test_target_that_ends_twice_under_one_id_counts_twice():
    book = CrashBook()
    for started_ms in (1, 2, 3):
        book.add_end("r", TargetEnd("t1", started_ms, "host-1", 0.0))
    assert is_refused(book, "r")


def test_request_beside_one_that_crashes_targets_is_not_refused():
    """Guards against a neighbour refused that followed it from target to target."""
    book = book_of({"bad": ["t1", "t2", "t3", "t4"], "beside": ["t1", "t2", "t3"]})
    assert is_refused(book, "bad")
    assert not is_refused(book, "beside")


def test_requests_that_share_all_ends_are_told_apart_by_the_next_one():
    """Guards against two requests both refused where one of them may be sound."""
    book = book_of({"bad": ["t1", "t2", "t3"], "beside": ["t1", "t2", "t3"]})
    assert not is_refused(book, "bad")
    book.add_end("bad", TargetEnd("t4", 1, "host-1", 0.0))
    assert is_refused(book, "bad")
    assert not is_refused(book, "beside")


def test_neighbour_that_lost_one_more_target_is_not_refused_for_the_shared_ones():
    """Guards against a neighbour refused for a target that ended for other reasons."""
    shared = ["t1", "t2", "t3"]
    book = book_of({"bad": [*shared, "t4", "t5"], "beside": [*shared, "t9"]})
    assert is_refused(book, "bad")
    assert not is_refused(book, "beside")


def test_requests_that_never_part_are_refused_after_a_few_trials():
    """Guards against a pair of requests that crash targets together without end."""
    targets = [f"t{number}" for number in range(MOST_TRIALS)]
    book = book_of({"one": targets, "other": targets})
    assert is_refused(book, "one")
    assert is_refused(book, "other")


@pytest.mark.parametrize("clears_first", [True, False])
def test_popular_request_is_not_refused_when_targets_end_for_other_reasons(
    clears_first,
):
    """Guards against a request refused that is in flight at every target that ends.

    It outlived its start at another target just before, or a moment later.
    """
    book = CrashBook()
    if clears_first:
        book.outlived("popular", 0.0)
    for target in ("t1", "t2", "t3", "t4"):
        book.add_end("popular", TargetEnd(target, 1, "host-1", 1.0))
    if not clears_first:
        assert book.outlived("popular", 1.1)
    assert not is_refused(book, "popular", 2.0)


def test_word_of_survival_reaches_a_host_that_saw_only_the_ends():
    """Guards against a popular request refused by the host that saw it fail only."""
    saw_ends = book_of({"popular": ["t1", "t2", "t3"]}, at=5.0)
    saw_survival = CrashBook()
    saw_survival.outlived("popular", 4.0)
    assert is_refused(saw_ends, "popular", 6.0)
    told = saw_ends.report("popular", 6.0)
    assert not saw_survival.merge(told, 6.0)
    assert saw_survival.contradicts(told)
    assert saw_ends.merge(saw_survival.report("popular", 6.0), 6.0)
    assert not is_refused(saw_ends, "popular", 6.0)
    assert not saw_survival.contradicts(saw_ends.report("popular", 6.1))


def test_ends_long_after_a_survival_count_again():
    book = CrashBook()
    book.outlived("r", 0.0)
    for number in range(3):
        end = TargetEnd(f"t{number}", 1, "host-1", IMMUNE_S + number)
        assert book.add_end("r", end)
    assert is_refused(book, "r", IMMUNE_S + 3.0)


def test_hosts_that_each_saw_one_end_refuse_together():
    """Guards against three hosts that each know of one target only."""
    books = [book_of({"bad": [f"t{number}"]}) for number in range(3)]
    for book in books:
        for other in books:
            book.merge(other.report("bad", 0.1), 0.1)
    assert all(is_refused(book, "bad") for book in books)
    assert len({book.checksum() for book in books}) == 1
    assert not books[0].merge(books[1].report("bad", 0.2), 0.2)


def test_caller_that_varies_its_body_fills_no_memory_and_hides_nothing():
    """Guards against a table without bound, and a proof washed out of it."""
    book = book_of({"bad": ["t1", "t2", "t3"]})
    for number in range(10 * MOST_SUSPECTS):
        book.add_end(f"varied-{number}", TargetEnd(f"v{number}", 1, "host-1", 0.0))
    for number in range(2 * MOST_SURVIVORS):
        book.outlived(f"sound-{number}", 0.0)
    assert len(book) <= MOST_SUSPECTS
    assert len(book._survived_at_by_digest) <= MOST_SURVIVORS
    assert is_refused(book, "bad")


def test_ends_are_forgotten_in_time():
    book = book_of({"bad": ["t1", "t2", "t3"], "suspect": ["t4"]})
    book.forget(SUSPECTED_S)
    assert len(book) == 1
    assert is_refused(book, "bad", REFUSED_S - 1.0)
    assert not is_refused(book, "bad", REFUSED_S)
    book.forget(REFUSED_S)
    assert len(book) == 0


def test_next_attempt_waits_while_others_may_still_explain_its_ends():
    book = book_of({"bad": ["t1", "t2"]})
    assert book.settles_in_s("bad", 0.0) == 0.0
    book.add_end("bad", TargetEnd("t3", 1, "host-1", 1.0))
    assert book.settles_in_s("bad", 1.1) == pytest.approx(SETTLE_S - 0.1)
    assert book.settles_in_s("bad", 1.0 + SETTLE_S) == 0.0


def test_hosts_that_know_the_same_have_one_checksum_after_any_change():
    """Guards against hosts that tell each other the same again without end."""
    book, other = CrashBook(), book_of({"bad": ["t1", "t2", "t3"]})
    for change in (
        lambda: book.merge(other.report("bad", 1.0), 1.0),
        lambda: book.add_end("bad", TargetEnd("t4", 1, "host-2", 1.0)),
        lambda: book.add_end("new", TargetEnd("t4", 1, "host-2", 1.0)),
        lambda: book.add_end("new", TargetEnd("t5", 1, "host-2", 1.0)),
        lambda: book.outlived("new", 2.0),
        lambda: book.forget(REFUSED_S + 1.0),
    ):
        change()
        fresh = CrashBook()
        for digest in book.lasting():
            fresh.merge(book.report(digest, 2.0), 2.0)
        assert book.checksum() == fresh.checksum()
    assert book.checksum() == 0
