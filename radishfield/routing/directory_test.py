"""Which targets may be sent work while they leave, lapse, die and return."""

from radishfield.routing import TargetDirectory, TargetPhase
from radishfield.routing.conftest import make_target


def directory_of(*records):
    directory = TargetDirectory()
    for record in records:
        directory.update(record)
    return directory


def usable_ids(directory, now=0.0):
    return sorted(record.id for record in directory.usable("pool", now))


def test_a_target_that_leaves_gets_no_work_even_if_it_says_ready_again():
    """An entry that was written late undoes a target's leaving.

    Work that is then sent there is cut off when the target exits, so leaving
    holds for the whole life of that start of the target.
    """
    directory = directory_of(make_target("t1"))
    directory.update(make_target("t1", phase=TargetPhase.LEAVING))
    directory.update(make_target("t1"))
    assert usable_ids(directory) == []


def test_a_new_start_under_the_same_id_is_taken_again():
    directory = directory_of(make_target("t1", phase=TargetPhase.LEAVING, started_ms=1))
    directory.update(make_target("t1", started_ms=2))
    assert usable_ids(directory) == ["t1"]


def test_a_removed_target_is_left_out_at_once():
    directory = directory_of(make_target("t1"), make_target("t2"))
    assert not directory.remove("t1", now=50.0).held
    assert usable_ids(directory) == ["t2"]


def test_entries_that_lapse_with_the_store_are_used_until_they_could_be_back():
    """The store was away; its entries lapsed, and it is asked again.

    Taken at its word at once, a host would refuse all work until the targets
    have registered again, though every one of them lives.
    """
    directory = directory_of(make_target("t1"), make_target("t2"))
    directory.store_failed(now=100.0)
    gone = directory.replace_all({}, now=101.0)
    assert all(removal.held for removal in gone)
    assert usable_ids(directory, 101.0) == ["t1", "t2"]
    directory.update(make_target("t2"))
    assert directory.expire_missing(102.4) == []
    assert directory.expire_missing(102.6) == ["t1"]
    assert usable_ids(directory, 102.6) == ["t2"]


def test_a_target_that_cannot_be_reached_is_left_out_for_longer_each_time():
    directory = directory_of(make_target("t1"))
    assert directory.suspect("t1", now=0.0) == 1.0
    assert directory.suspected("t1", 0.9)
    assert not directory.suspected("t1", 1.1)
    assert directory.suspect("t1", now=1.2) == 2.0
    assert usable_ids(directory, 2.0) == []
    directory.clear("t1")
    assert usable_ids(directory, 2.0) == ["t1"]


def test_failures_while_it_is_left_out_do_not_add_up():
    directory = directory_of(make_target("t1"))
    directory.suspect("t1", now=0.0)
    directory.suspect("t1", now=0.1)
    assert not directory.suspected("t1", 1.1)


def test_a_suspicion_ends_with_the_start_it_was_about():
    directory = directory_of(make_target("t1", started_ms=1))
    directory.suspect("t1", now=0.0)
    directory.update(make_target("t1", started_ms=2))
    assert usable_ids(directory, 0.1) == ["t1"]


def test_leaving_told_by_another_host_concerns_that_start_only():
    directory = directory_of(make_target("t1", started_ms=2))
    directory.mark_leaving(("t1", 1))
    assert usable_ids(directory) == ["t1"]
    directory.mark_leaving(("t1", 2))
    assert usable_ids(directory) == []


def test_a_lost_part_is_left_out_until_it_answers():
    """A target in the middle of paths dies, and stays listed for seconds.

    Tried out with callers' work once a second, it would swallow each of those
    requests; so it is asked first, and left out for as long as it is silent.
    """
    directory = directory_of(make_target("t1"), make_target("t2"))
    directory.suspect("t1", now=0.0, until_asked=True)
    assert usable_ids(directory, 60.0) == ["t2"]
    assert directory.to_ask(0.5) == []
    assert directory.to_ask(1.1) == ["t1"]
    directory.suspect("t1", now=1.1, until_asked=True)
    assert directory.to_ask(1.5) == []
    assert directory.to_ask(3.2) == ["t1"]
    directory.answered("t1", now=3.3)
    assert usable_ids(directory, 3.4) == ["t1", "t2"]


def test_only_what_a_host_saw_itself_is_told_to_others():
    directory = directory_of(make_target("t1"), make_target("t2"))
    directory.suspect("t1", now=0.0, until_asked=True)
    directory.suspect("t2", now=0.0, until_asked=True, first_hand=False)
    assert directory.lost_incarnations(0.5) == [("t1", 0)]


def test_a_lost_target_that_comes_back_empty_is_no_longer_suspected():
    directory = directory_of(make_target("t1", span=(0, 8)))
    directory.suspect("t1", now=0.0, until_asked=True)
    directory.update(make_target("t1"))
    assert usable_ids(directory, 0.1) == ["t1"]
