"""Tests of the store's eras, and of which entries are older than what is known."""

import math

from radishfield.routing import Entry, EntryHistory, EraNews, Position, StoreEra
from radishfield.routing._store_era import ERA_DOUBT_S
from radishfield.routing.conftest import make_target


def entry(record, revision, beats=1, era=1):
    return Entry(record, Position(era, revision), beats)


def listed(history, entries, era, revision=100):
    position_by_id = {each.record.id: each.position for each in entries}
    return history.begin_list(Position(era, revision), position_by_id)


def test_late_answer_of_an_older_era_changes_nothing():
    era = StoreEra()
    assert era.note_answer(4, now=0.0) is EraNews.FIRST
    assert era.note_answer(5, now=1.0) is EraNews.CHANGED
    assert era.note_answer(4, now=1.5) is EraNews.OLDER
    assert (era.known, era.changed_at, era.older_answers) == (5, 1.0, 1)


def test_answer_without_an_era_is_of_the_known_one():
    era = StoreEra()
    assert era.note_answer(None, now=0.0) is EraNews.KNOWN
    assert era.known == 0
    era.note_answer(3, now=1.0)
    assert era.note_answer(None, now=2.0) is EraNews.KNOWN
    assert era.known == 3


def test_host_learns_of_a_new_era_from_another_host():
    era = StoreEra()
    era.note_answer(1, now=0.0)
    assert era.note_peer(2, now=5.0) is EraNews.CHANGED
    assert era.note_peer(1, now=6.0) is EraNews.KNOWN
    assert (era.known, era.changed_at) == (2, 5.0)


def test_host_that_starts_in_a_later_era_can_not_tell_when_it_began():
    first, later = StoreEra(), StoreEra()
    first.note_answer(1, now=7.0)
    later.note_answer(2, now=7.0)
    assert first.changed_at == -math.inf
    assert later.changed_at == 7.0


def test_era_that_no_answer_names_any_more_is_given_up():
    """Guards against a host that leaves out all answers for good after a wrong one."""
    era = StoreEra()
    era.note_answer(2, now=0.0)
    era.note_answer(900, now=1.0)
    news = [era.note_answer(2, now=2.0 + step) for step in range(12)]
    assert news.index(EraNews.CHANGED) == math.ceil(ERA_DOUBT_S)
    assert era.known == 2


def test_entry_of_a_removed_target_that_stands_again_is_outdated_until_written():
    """Guards against requests to a target that left before the store came back."""
    history = EntryHistory()
    old = entry(make_target("t1"), 10, beats=5)
    listed(history, [old], era=1)
    assert not history.is_outdated(old, False, was_removed=False)
    again = entry(make_target("t1"), 10, beats=5, era=2)
    assert listed(history, [again], era=2, revision=20)
    assert history.is_outdated(again, True, was_removed=True)
    assert not listed(history, [again], era=2, revision=25)
    assert history.is_outdated(again, False, was_removed=True)
    written = entry(make_target("t1"), 30, beats=6, era=2)
    history.note_change("t1", written.position)
    assert not history.is_outdated(written, False, was_removed=True)


def test_entry_written_before_the_one_that_is_known_is_outdated():
    """Guards against layers and states that a target no longer has."""
    history = EntryHistory()
    known = entry(make_target("t1", span=(0, 40), started_ms=5), 50, beats=9)
    listed(history, [known], era=1)
    history.is_outdated(known, False, False)
    older = entry(make_target("t1", started_ms=5), 40, beats=7, era=2)
    same = entry(make_target("t1", span=(0, 40), started_ms=5), 40, beats=9, era=2)
    newer = entry(make_target("t1", started_ms=5), 45, beats=11, era=2)
    earlier_start = entry(make_target("t1", started_ms=4), 45, beats=80, era=2)
    later_start = entry(make_target("t1", started_ms=6), 45, beats=1, era=2)
    for each, outdated in (
        (older, True),
        (earlier_start, True),
        (same, False),
        (newer, False),
        (later_start, False),
    ):
        fresh = EntryHistory()
        listed(fresh, [known], era=1)
        fresh.is_outdated(known, False, False)
        listed(fresh, [each], era=2)
        assert fresh.is_outdated(each, True, False) is outdated


def test_updates_of_a_passed_era_are_no_news():
    history = EntryHistory()
    listed(history, [entry(make_target("t1"), 500)], era=1, revision=510)
    assert history.accepts_update("t1", Position(2, 40), is_removal=False)
    assert not history.accepts_update("t1", Position(1, 600), is_removal=False)
    assert not history.accepts_update("t1", Position(1, 600), is_removal=True)
    assert not history.accepts_update("t1", Position(2, 40), is_removal=False)
    assert history.accepts_update("t1", Position(2, 40), is_removal=True)
