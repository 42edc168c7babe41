"""Tests of which targets may be sent work while they leave, expire, die and return."""

from radishfield.routing import TargetDirectory, TargetPhase
from radishfield.routing.conftest import make_target


def directory_of(*records):
    directory = TargetDirectory()
    for record in records:
        directory.update(record)
    return directory


def usable_ids(directory, now=0.0):
    return sorted(record.id for record in directory.usable("pool", now))


def test_a_leaving_target_gets_no_work_even_after_a_late_ready_entry():
    """A ready entry that arrives late must not undo a target's leaving.

    Work that is then sent to the target is aborted when it exits, so leaving is
    permanent for an incarnation.
    """
    directory = directory_of(make_target("t1"))
    directory.update(make_target("t1", phase=TargetPhase.LEAVING))
    directory.update(make_target("t1"))
    assert usable_ids(directory) == []


def test_a_new_incarnation_with_the_same_id_is_usable():
    directory = directory_of(make_target("t1", phase=TargetPhase.LEAVING, started_ms=1))
    directory.update(make_target("t1", started_ms=2))
    assert usable_ids(directory) == ["t1"]


def test_a_target_with_layers_beyond_the_model_is_unusable():
    """Guards against a search for paths and layouts over layers that don't exist."""
    directory = directory_of(make_target("t1"), make_target("t2", span=(79, 81)))
    assert usable_ids(directory) == ["t1", "t2"]
    version = directory.version
    directory.set_layers({"pool": 80})
    assert usable_ids(directory) == ["t1"]
    assert directory.version > version


def test_a_removed_target_is_unusable_at_once():
    directory = directory_of(make_target("t1"), make_target("t2"))
    assert not directory.remove("t1", now=50.0).held
    assert usable_ids(directory) == ["t2"]


def test_entries_that_expire_in_a_store_outage_are_held_for_registration():
    """After a store outage all entries have expired and the list is read again.

    If the empty list were applied at once, the host would refuse all work until the
    targets have registered again, although all of them are alive.
    """
    directory = directory_of(make_target("t1"), make_target("t2"))
    directory.record_store_failure(requested_at=100.0, failures=2)
    removals = directory.replace_all({}, now=101.0).removals
    assert all(removal.held for removal in removals)
    assert usable_ids(directory, 101.0) == ["t1", "t2"]
    directory.update(make_target("t2"))
    assert directory.expire_missing(102.4) == []
    assert directory.expire_missing(102.6) == ["t1"]
    assert usable_ids(directory, 102.6) == ["t2"]


def test_a_held_target_is_not_part_of_the_list_that_hosts_compare():
    """Guards against dropping a target that has registered again at other hosts.

    A host that holds it has to see that its list differs from theirs.
    """
    holding, other = directory_of(make_target("t1")), directory_of(make_target("t1"))
    holding.record_store_failure(requested_at=100.0, failures=2)
    holding.remove("t1", now=100.5)
    assert holding.digest() != other.digest()
    assert holding.update(make_target("t1"), 101.0)
    assert holding.digest() == other.digest()
    holding.remove("t1", now=101.5)
    assert holding.expire_missing(103.5) == ["t1"]
    other.remove("t1", now=103.5)
    assert holding.digest() == other.digest()


def test_a_removal_is_no_expiry_after_one_lost_call_or_long_after_an_outage():
    """Guards against using a target that is gone beyond the promised time."""
    directory = directory_of(make_target("t1"), make_target("t2"))
    directory.record_store_failure(requested_at=100.0, failures=1)
    assert not directory.remove("t1", now=100.5).held
    directory.record_store_failure(requested_at=100.0, failures=2)
    assert not directory.remove("t2", now=103.0).held


def test_an_unreachable_target_is_excluded_for_longer_each_time():
    directory = directory_of(make_target("t1"))
    assert directory.suspect("t1", now=0.0) == 1.0
    assert directory.suspected("t1", 0.9)
    assert not directory.suspected("t1", 1.1)
    assert directory.suspect("t1", now=1.2) == 2.0
    assert usable_ids(directory, 2.0) == []
    directory.clear("t1")
    assert usable_ids(directory, 2.0) == ["t1"]


def test_failures_during_an_exclusion_do_not_extend_it():
    directory = directory_of(make_target("t1"))
    directory.suspect("t1", now=0.0)
    directory.suspect("t1", now=0.1)
    assert not directory.suspected("t1", 1.1)


def test_a_suspicion_ends_with_the_incarnation_it_concerns():
    directory = directory_of(make_target("t1", started_ms=1))
    directory.suspect("t1", now=0.0)
    directory.update(make_target("t1", started_ms=2))
    assert usable_ids(directory, 0.1) == ["t1"]


def test_leaving_reported_by_another_host_concerns_that_incarnation_only():
    directory = directory_of(make_target("t1", started_ms=2))
    directory.mark_leaving(("t1", 1))
    assert usable_ids(directory) == ["t1"]
    directory.mark_leaving(("t1", 2))
    assert usable_ids(directory) == []


def test_an_unreachable_stage_is_excluded_until_it_answers():
    """A target in the middle of paths dies and stays listed for seconds.

    If it were tested with callers' requests once a second, it would swallow each of
    them; so it is probed first and excluded until it answers.
    """
    directory = directory_of(make_target("t1"), make_target("t2"))
    directory.suspect("t1", now=0.0, until_answered=True)
    assert usable_ids(directory, 60.0) == ["t2"]
    assert directory.to_ask(0.5) == []
    assert directory.to_ask(1.1) == ["t1"]
    directory.suspect("t1", now=1.1, until_answered=True)
    assert directory.to_ask(1.5) == []
    assert directory.to_ask(3.2) == ["t1"]
    directory.answered("t1", now=3.3)
    assert usable_ids(directory, 3.4) == ["t1", "t2"]


def test_only_failures_seen_by_this_host_are_reported_to_others():
    directory = directory_of(make_target("t1"), make_target("t2"))
    directory.suspect("t1", now=0.0, until_answered=True)
    directory.exclude_until_probed("t2", now=0.0)
    assert directory.unreachable_incarnations(0.5) == [("t1", 0)]


def test_a_target_reported_unreachable_by_another_host_is_probed_at_once():
    """A host resumes after suspension and reports targets as unreachable.

    They answered this host a moment ago.  If they were excluded for as long as after
    a failure seen by this host, all of its streams would be refused for a second.
    """
    directory = directory_of(make_target("t1"), make_target("t2"))
    directory.exclude_until_probed("t1", now=10.0)
    assert directory.to_ask(10.0) == ["t1"]
    directory.answered("t1", now=10.01)
    assert usable_ids(directory, 10.02) == ["t1", "t2"]


def test_a_pending_probe_is_no_failure():
    """Three targets of a zone are probed at the same time, and all of them are alive.

    If pending probes counted as failures seen by this host, they alone would exclude
    the whole zone and be reported to all other hosts.
    """
    directory = directory_of(*[make_target(f"t{n}", "a") for n in range(6)])
    for number in range(3):
        directory.exclude_until_probed(f"t{number}", now=1.0)
        directory.asked(f"t{number}", now=1.0)
    assert len(usable_ids(directory, 1.1)) == 3
    assert directory.unreachable_incarnations(1.1) == []
    assert directory.to_ask(1.2) == []


def test_failed_probes_exclude_a_target_for_longer_each_time():
    directory = directory_of(make_target("t1"))
    directory.suspect("t1", now=0.0, until_answered=True)
    directory.asked("t1", now=1.0)
    assert directory.suspect("t1", now=1.01, until_answered=True) == 2.0
    directory.asked("t1", now=3.1)
    assert directory.suspect("t1", now=3.5, until_answered=True) == 4.0
    assert directory.unreachable_incarnations(3.6) == [("t1", 0)]


def test_an_unreachable_target_that_returns_empty_is_no_longer_suspected():
    directory = directory_of(make_target("t1", span=(0, 8)))
    directory.suspect("t1", now=0.0, until_answered=True)
    directory.update(make_target("t1"))
    assert usable_ids(directory, 0.1) == ["t1"]


def test_a_disconnected_zone_is_excluded_and_restored_as_a_whole():
    """A zone is disconnected and its targets time out one after the other.

    Each target that is detected individually costs a request a timeout.  After three,
    the rest of the zone is excluded as well, until any of its targets answers.
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


def test_a_few_dead_targets_do_not_exclude_a_large_zone():
    directory = directory_of(*[make_target(f"t{n}", "a") for n in range(20)])
    for number in range(4):
        directory.suspect(f"t{number}", now=0.0)
    assert len(usable_ids(directory, 0.1)) == 16


def test_unreachable_target_is_probed_by_few_hosts_and_restored_by_all(target):
    """A target is unreachable for two seconds in a zone of forty hosts.

    If each host probed it every second, that would cost forty probes a second.  Hosts
    that leave the probes to others probe it as soon as one of them had an answer.
    """
    probing, waiting = TargetDirectory(), TargetDirectory()
    for directory in (probing, waiting):
        directory.update(target("t1"))
        directory.suspect("t1", 10.0, until_answered=True)
    assert probing.to_ask(11.0) == ["t1"]
    assert waiting.to_ask(11.0, 3.0) == []
    assert waiting.to_ask(14.0, 3.0) == ["t1"]
    probing.asked("t1", 12.0)
    probing.answered("t1", 12.0)
    assert probing.recently_answered(12.1) == [("t1", 0)]
    waiting.record_answer_elsewhere("t1", 12.2)
    assert waiting.to_ask(12.2, 3.0) == ["t1"]
    assert waiting.suspected("t1", 12.2)
    waiting.asked("t1", 12.2)
    waiting.answered("t1", 12.3)
    assert not waiting.suspected("t1", 12.3)
    assert probing.recently_answered(14.5) == []


def test_answer_reported_by_another_host_causes_one_probe(target):
    """A host that cannot reach a target must not probe it on each report of others."""
    directory = TargetDirectory()
    directory.update(target("t1"))
    directory.suspect("t1", 10.0, until_answered=True)
    probes = 0
    for step in range(20):
        now = 10.5 + 0.05 * step
        directory.record_answer_elsewhere("t1", now)
        if directory.to_ask(now, 3.0):
            probes += 1
            directory.asked("t1", now)
            directory.suspect("t1", now, until_answered=True)
    assert probes <= 2


def test_list_under_constant_change_is_recognised_as_the_watchers(target):
    """Forty targets register within a second, and each update arrives slightly late.

    A host that is one change ahead of a watcher or behind it has missed nothing; a
    host that missed a change never has the watcher's list.
    """
    watcher, host, incomplete = TargetDirectory(), TargetDirectory(), TargetDirectory()
    for number in range(40):
        now = 100.0 + number * 0.02
        reported_digest = watcher.digest()
        watcher.update(target(f"t{number}"), now)
        host.update(target(f"t{number}"), now)
        assert host.was_current(reported_digest, now)
        if number != 20:
            incomplete.update(target(f"t{number}"), now)
    assert host.digest() == watcher.digest()
    assert not incomplete.was_current(watcher.digest(), 100.0)
    watcher.remove("t3", 110.0)
    assert not host.was_current(watcher.digest(), 110.0)
    host.remove("t3", 110.1)
    assert host.digest() == watcher.digest()


def test_a_digest_from_before_a_change_proves_nothing_later(target):
    """Guards against trust in a list that returned to an earlier state.

    A target is added and removed again, and this host missed the removal.
    """
    host = TargetDirectory()
    host.update(target("t1"), 100.0)
    before = host.digest()
    host.update(target("t2"), 101.0)
    assert host.was_current(before, 100.9)
    assert not host.was_current(before, 102.0)


def test_digest_does_not_depend_on_the_order_of_updates(target):
    one, other = TargetDirectory(), TargetDirectory()
    for name in ("a", "b", "c"):
        one.update(target(name))
    for name in ("c", "a", "b"):
        other.update(target(name))
    assert one.digest() == other.digest()
    other.update(target("a", "b"))
    assert one.digest() != other.digest()


def test_a_target_that_has_ended_gets_no_work_until_it_answers():
    """Guards against work sent to a dead target once its exclusion has run out."""
    directory = directory_of(make_target("t1"), make_target("t2"))
    directory.note_ended(directory.find("t1"), 10.0)
    directory.suspect("t1", 12.0)
    assert directory.live_ids(["t1", "t2", "unlisted"]) == {"t2"}
    assert usable_ids(directory, 60.0) == ["t2"]
    directory.answered("t1", 60.0)
    assert directory.live_ids(["t1"]) == {"t1"}
    assert usable_ids(directory, 60.0) == ["t1", "t2"]


def test_a_restarted_target_is_not_taken_for_its_ended_incarnation():
    """Guards against excluding a target that was found ended before it started."""
    directory = directory_of(make_target("t1", started_ms=1))
    ended = directory.find("t1")
    directory.note_ended(ended, 10.0)
    directory.update(make_target("t1", started_ms=2))
    assert usable_ids(directory, 10.0) == ["t1"]
    directory.note_ended(ended, 11.0)
    assert directory.live_ids(["t1"]) == {"t1"}


def test_targets_that_have_ended_do_not_exclude_their_zone():
    """Guards against taking three crashes, whose hosts answer, for a lost zone."""
    directory = directory_of(*(make_target(f"t{number}") for number in range(6)))
    for number in range(3):
        directory.note_ended(directory.find(f"t{number}"), 10.0)
    assert usable_ids(directory, 10.1) == ["t3", "t4", "t5"]
