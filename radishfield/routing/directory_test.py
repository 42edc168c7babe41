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
    directory.doubt("t2", now=0.0)
    assert directory.lost_incarnations(0.5) == [("t1", 0)]


def test_what_another_host_found_lost_is_asked_at_once():
    """A host that slept wakes and says that targets are lost.

    They answered here a moment ago; left out for as long as after a failure of
    this host's own, all of its streams would be refused for a second.
    """
    directory = directory_of(make_target("t1"), make_target("t2"))
    directory.doubt("t1", now=10.0)
    assert directory.to_ask(10.0) == ["t1"]
    directory.answered("t1", now=10.01)
    assert usable_ids(directory, 10.02) == ["t1", "t2"]


def test_asking_is_no_failure():
    """Three targets of a zone are asked at the same time, and all of them live.

    Counted as failures of this host's own, the questions alone would leave out
    the whole zone, and be told to every other host.
    """
    directory = directory_of(*[make_target(f"t{n}", "a") for n in range(6)])
    for number in range(3):
        directory.doubt(f"t{number}", now=1.0)
        directory.asked(f"t{number}", now=1.0)
    assert len(usable_ids(directory, 1.1)) == 3
    assert directory.lost_incarnations(1.1) == []
    assert directory.to_ask(1.2) == []


def test_a_target_that_is_asked_in_vain_is_left_out_for_longer_each_time():
    directory = directory_of(make_target("t1"))
    directory.suspect("t1", now=0.0, until_asked=True)
    directory.asked("t1", now=1.0)
    assert directory.suspect("t1", now=1.01, until_asked=True) == 2.0
    directory.asked("t1", now=3.1)
    assert directory.suspect("t1", now=3.5, until_asked=True) == 4.0
    assert directory.lost_incarnations(3.6) == [("t1", 0)]


def test_a_lost_target_that_comes_back_empty_is_no_longer_suspected():
    directory = directory_of(make_target("t1", span=(0, 8)))
    directory.suspect("t1", now=0.0, until_asked=True)
    directory.update(make_target("t1"))
    assert usable_ids(directory, 0.1) == ["t1"]


def test_a_zone_that_is_cut_off_is_left_out_whole_and_taken_back_whole():
    """A zone is cut off: its targets time out one after the other.

    Each one that is found out alone costs a request its time; after three, the
    rest of the zone is left out as well, until any one of it answers.
    """
    near = [make_target(f"n{n}", "a") for n in range(10)]
    far = [make_target(f"f{n}", "b") for n in range(10)]
    directory = directory_of(*near, *far)
    for number in range(2):
        directory.suspect(f"f{number}", now=1.0)
    assert len(usable_ids(directory, 1.0)) == 18
    directory.suspect("f2", now=1.0)
    assert usable_ids(directory, 1.0) == sorted(record.id for record in near)
    assert len(usable_ids(directory, 9.0)) == 13
    assert "f7" in directory.to_ask(9.0)
    directory.answered("f7", now=9.1)
    assert len(usable_ids(directory, 9.2)) == 20


def test_a_few_dead_targets_do_not_cost_a_large_zone():
    directory = directory_of(*[make_target(f"t{n}", "a") for n in range(20)])
    for number in range(4):
        directory.suspect(f"t{number}", now=0.0)
    assert len(usable_ids(directory, 0.1)) == 16


def test_lost_target_is_asked_by_few_and_taken_back_by_all(target):
    """A zone of forty hosts loses a target, which is back two seconds later.

    Asked by each host each second it would cost forty questions a second; those that
    leave it to others ask it as soon as one of them had an answer.
    """
    asking, waiting = TargetDirectory(), TargetDirectory()
    for directory in (asking, waiting):
        directory.update(target("t1"))
        directory.suspect("t1", 10.0, until_asked=True)
    assert asking.to_ask(11.0) == ["t1"]
    assert waiting.to_ask(11.0, 3.0) == []
    assert waiting.to_ask(14.0, 3.0) == ["t1"]
    asking.asked("t1", 12.0)
    asking.answered("t1", 12.0)
    assert asking.answered_lately(12.1) == [("t1", 0)]
    waiting.answered_elsewhere("t1", 12.2)
    assert waiting.to_ask(12.2, 3.0) == ["t1"]
    assert waiting.suspected("t1", 12.2)
    waiting.asked("t1", 12.2)
    waiting.answered("t1", 12.3)
    assert not waiting.suspected("t1", 12.3)
    assert asking.answered_lately(14.5) == []


def test_answer_that_another_host_had_is_followed_up_once(target):
    """The way of one host is cut: the word of others must not have it ask for ever."""
    directory = TargetDirectory()
    directory.update(target("t1"))
    directory.suspect("t1", 10.0, until_asked=True)
    asked = 0
    for step in range(20):
        now = 10.5 + 0.05 * step
        directory.answered_elsewhere("t1", now)
        if directory.to_ask(now, 3.0):
            asked += 1
            directory.asked("t1", now)
            directory.suspect("t1", now, until_asked=True)
    assert asked <= 2


def test_list_that_changes_all_the_time_is_known_for_the_watchers_own(target):
    """Forty targets register within a second, and news of each comes a moment late.

    A host that is one change ahead of a watcher, or behind, has missed nothing; one
    that missed a change never has the watcher's list.
    """
    watcher, host, deaf = TargetDirectory(), TargetDirectory(), TargetDirectory()
    for number in range(40):
        told = watcher.digest()
        watcher.update(target(f"t{number}"))
        host.update(target(f"t{number}"))
        assert host.has_had(told)
        if number != 20:
            deaf.update(target(f"t{number}"))
    assert host.digest() == watcher.digest()
    assert not deaf.has_had(watcher.digest())
    watcher.remove("t3", 100.0)
    assert not host.has_had(watcher.digest())
    host.remove("t3", 100.1)
    assert host.digest() == watcher.digest()


def test_digest_does_not_depend_on_the_order_of_news(target):
    one, other = TargetDirectory(), TargetDirectory()
    for name in ("a", "b", "c"):
        one.update(target(name))
    for name in ("c", "a", "b"):
        other.update(target(name))
    assert one.digest() == other.digest()
    other.update(target("a", "b"))
    assert one.digest() != other.digest()
