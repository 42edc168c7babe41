"""Tests of the membership's decisions, without a network."""

import random

from radishfield.core import MemberState
from radishfield.fleet import Membership, Update

PERIOD_S = 0.5


def update(member_id, zone="z1", incarnation=1, refutation=0, **fields):
    return Update(member_id, zone, f"{member_id}:1", incarnation, refutation, **fields)


def membership_of(size, own="h0"):
    """Return a membership with ``size`` hosts in three zones."""
    membership = Membership(update(own, "z0"), PERIOD_S, random.Random(1))
    for number in range(1, size):
        membership.observe(update(f"h{number}", f"z{number % 3}"), 0.0)
    return membership


def state_of(membership, member_id):
    return membership.find(member_id).state


def tick_until(membership, end):
    """Tick every half second, as a running host does; return ids declared dead."""
    dead = []
    for step in range(int(end / PERIOD_S) + 1):
        dead += [member.id for member in membership.tick(step * PERIOD_S)]
    return dead


def test_silent_member_is_suspected_and_then_dead():
    membership = membership_of(9)
    membership.record_probe_failure("h1", 0.0, heard_any=True)
    assert state_of(membership, "h1") is MemberState.SUSPECT
    longest = membership.suspicion_s(accusers=1)
    assert tick_until(membership, longest - PERIOD_S) == []
    assert tick_until(membership, longest) == ["h1"]
    assert state_of(membership, "h1") is MemberState.DEAD


def test_slow_member_that_refutes_is_not_declared_dead():
    """A busy host answers late: it is suspected, receives that update, and refutes it.

    It must stay a member under the same incarnation; a new incarnation would
    show others that it has lost its in-memory state.
    """
    accuser, slow = membership_of(9), membership_of(9, own="h1")
    accuser.record_probe_failure("h1", 0.0, heard_any=True)
    updates = accuser.updates_to_send("h1", limit=1)
    assert updates[0].id == "h1" and updates[0].state is MemberState.SUSPECT
    slow.observe(updates[0], 1.0)
    assert slow.false_accusations == 1
    accuser.observe(slow.own, 1.0)
    assert state_of(accuser, "h1") is MemberState.LIVE
    assert slow.own.incarnation == 1 and slow.own.refutation == 1
    assert tick_until(accuser, 60.0) == []


def test_shared_suspicion_times_out_sooner_than_an_unshared_one():
    membership = membership_of(340)
    waits = [membership.suspicion_s(accusers) for accusers in (1, 2, 3, 4)]
    assert waits == sorted(waits, reverse=True)
    assert waits[0] == 3 * waits[-1]
    membership.record_probe_failure("h1", 0.0, heard_any=True)
    for accuser in ("h2", "h3", "h4"):
        accusation = update(
            "h1", "z1", state=MemberState.SUSPECT, accuser=accuser, refutation=0
        )
        membership.observe(accusation, 0.0)
    assert tick_until(membership, waits[-1] - PERIOD_S) == []
    assert tick_until(membership, waits[-1] + PERIOD_S) == ["h1"]


def test_host_that_receives_nothing_raises_its_health_penalty():
    membership = membership_of(9)
    membership.record_probe_failure("h1", 0.0, heard_any=True)
    assert membership.health_penalty == 0
    for _ in range(20):
        membership.record_probe_failure("h2", 0.0, heard_any=False)
    assert membership.health_penalty == 8
    membership.answered("h3", 1.0)
    assert membership.health_penalty == 7


def test_pause_of_the_process_does_not_time_out_a_suspicion():
    """A host suspects a peer, is paused for a minute, and resumes.

    During the pause no refutation could arrive.  Counting it would declare every
    suspect dead as soon as the host resumes.
    """
    membership = membership_of(9)
    membership.record_probe_failure("h1", 0.0, heard_any=True)
    membership.tick(0.5)
    assert membership.tick(60.0) == []
    assert state_of(membership, "h1") is MemberState.SUSPECT


def test_leaving_state_stays_until_a_new_incarnation_or_death():
    membership = membership_of(9)
    membership.observe(update("h1", state=MemberState.LEAVING), 0.0)
    membership.observe(update("h1"), 0.0)
    assert state_of(membership, "h1") is MemberState.LEAVING
    membership.record_probe_failure("h1", 0.0, heard_any=True)
    assert state_of(membership, "h1") is MemberState.LEAVING
    assert tick_until(membership, 6.0) == ["h1"]
    membership.observe(update("h1", refutation=5), 0.0)
    membership.observe(update("h1", incarnation=2), 7.0)
    assert state_of(membership, "h1") is MemberState.LIVE


def test_restart_with_an_earlier_clock_gets_a_higher_incarnation():
    membership = membership_of(3)
    membership.observe(update("h0", "z0", incarnation=50), 0.0)
    assert membership.own.incarnation == 51


def test_probes_reach_every_member_and_mostly_the_same_zone():
    membership = membership_of(30)
    probed = [membership.next_probe().id for _ in range(200)]
    assert set(probed) == {f"h{number}" for number in range(1, 30)}
    near = sum(int(member_id[1:]) % 3 == 0 for member_id in probed)
    assert 100 < near < 150
    helpers = membership.helpers("h1", 2)
    assert helpers[0].zone == "z1" and helpers[0].id != "h1"


def test_updates_are_sent_a_bounded_number_of_times():
    membership = membership_of(9)
    batches = [membership.updates_to_send("", 6) for _ in range(60)]
    assert all(len(updates) <= 6 for updates in batches) and batches[-1] == []
    membership.record_probe_failure("h1", 0.0, heard_any=True)
    assert [update.id for update in membership.updates_to_send("", 6)] == ["h1"]


def test_a_suspect_is_probed_next_and_only_once():
    membership = membership_of(9)
    accusation = update("h5", "z2", state=MemberState.SUSPECT, accuser="h3")
    membership.observe(accusation, 0.0)
    assert membership.next_probe().id == "h5"
    assert [membership.next_probe().id for _ in range(7)].count("h5") <= 1
    large = membership_of(60)
    large.observe(accusation, 0.0)
    assert large.next_probe().id != "h5"
