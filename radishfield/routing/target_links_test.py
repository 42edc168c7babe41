"""Tests of what a host concludes from failed connections to targets."""

import random

from radishfield.routing import RelayHost, TargetLinks, choose_relays
from radishfield.routing._target_links import (
    ISOLATED_S,
    MAX_DOWN_S,
    MAX_RELAYS,
    MIN_DOWN_S,
    RECENT_S,
)


def host(host_id, zone="a", sound=True):
    return RelayHost(host_id, ("10.0.0.1", 1), zone, sound)


def test_link_that_was_found_down_is_tried_again_after_a_pause():
    links = TargetLinks()
    assert links.plan("t1", 0.0).direct
    assert links.note_relayed("t1", 0.0)
    assert not links.plan("t1", MIN_DOWN_S / 2).direct
    assert links.plan("t1", MIN_DOWN_S).direct
    # One connection at a time finds out, the others do not wait for it.
    assert not links.plan("t1", MIN_DOWN_S).direct


def test_link_that_comes_and_goes_is_tried_less_often():
    """Guards against connections that change sides whenever a link flaps."""
    links, now, pauses = TargetLinks(), 0.0, []
    for _ in range(4):
        links.note_relayed("t1", now)
        since = now
        while not links.plan("t1", now).direct:
            now += 0.1
        pauses.append(round(now - since, 1))
        assert links.note_direct("t1", now)
        now += 0.1
    assert pauses[0] < MIN_DOWN_S + 0.2
    assert pauses == sorted(pauses) and pauses[-1] > 3 * MIN_DOWN_S
    assert pauses[-1] <= MAX_DOWN_S + 0.2


def test_single_lost_link_does_not_cast_doubt_on_the_others():
    links = TargetLinks()
    links.note_relayed("t1", 0.0)
    assert not links.suspicious(0.1)
    assert links.trusts_kept("t2", -1.0, 0.1)
    assert not links.trusts_kept("t1", -1.0, 0.1)


def test_kept_connections_are_trusted_once_they_have_answered_during_a_cut():
    """Guards against requests sent over connections that a cut has silenced."""
    links = TargetLinks()
    links.note_relayed("t1", 1.0)
    links.note_relayed("t2", 1.1)
    assert links.suspicious(1.2)
    assert not links.trusts_kept("t3", 0.9, 1.2)
    assert links.trusts_kept("t3", 1.15, 1.2)
    assert links.trusts_kept("t3", 0.9, 1.2 + RECENT_S)


def test_suspicion_ends_with_the_links_that_work_again():
    links = TargetLinks()
    links.note_relayed("t1", 0.0)
    links.note_relayed("t2", 0.0)
    assert links.note_direct("t1", 1.0)
    assert not links.note_direct("t1", 1.0)
    assert not links.suspicious(1.0)


def test_host_that_reaches_no_target_in_any_way_is_isolated():
    """Guards against a host without links whose failures others act on."""
    links = TargetLinks()
    for number in range(3):
        links.note_failed(f"t{number}", 0.0)
    assert links.isolated(0.1) and links.proves_nothing(0.1)
    assert not links.isolated(ISOLATED_S)
    links.note_direct("t9", 0.2)
    assert not links.isolated(0.3)


def test_host_that_gets_answers_over_kept_connections_is_not_isolated():
    """Guards against a host that stops placing layers since some targets crashed."""
    links = TargetLinks()
    for number in range(5):
        links.note_failed(f"t{number}", 0.0)
    links.note_answer("t9", 0.1)
    assert not links.isolated(0.2) and not links.proves_nothing(0.2)


def test_links_to_targets_that_are_gone_are_forgotten():
    links = TargetLinks()
    links.note_relayed("t1", 0.0)
    links.note_relayed("t2", 0.0)
    links.keep_only({"t2"})
    assert not links.is_down("t1") and links.is_down("t2")


def test_second_host_that_is_asked_is_of_another_zone():
    """Guards against a zone whose hosts only ask each other while all are cut off."""
    hosts = [host(f"a{n}") for n in range(4)] + [host(f"b{n}", "b") for n in range(4)]
    for seed in range(20):
        chosen = choose_relays(hosts, "a", set(), random.Random(seed))
        assert [item.zone for item in chosen][:2] == ["a", "b"]
        assert len(chosen) == MAX_RELAYS


def test_silent_hosts_come_last_and_those_without_links_only_if_there_is_no_other():
    """Guards against hosts without links that keep asking each other."""
    hosts = [host("cut", sound=False), host("silent"), host("far", "b"), host("near")]
    chosen = choose_relays(hosts, "a", {"silent"}, random.Random(1))
    assert [item.id for item in chosen] == ["near", "far", "silent"]
    chosen = choose_relays(hosts[:1], "a", set(), random.Random(1))
    assert [item.id for item in chosen] == ["cut"]
    assert choose_relays([], "a", set(), random.Random(1)) == []
