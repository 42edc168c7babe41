"""Tests of the load that all hosts put on the links, and of when links are closed."""

import random

import pytest

from radishfield.routing import (
    CrossingGate,
    Demand,
    LinkUsage,
    LoadTable,
    PathFinder,
    ZoneTotal,
    free_prompt_capacity,
)
from radishfield.routing.conftest import make_engine, make_target

PAIR = ("a", "b")
PROMPT_MS = 400.0
DEMAND = Demand(774, 203)


def test_zone_total_covers_hosts_that_send_no_report_here():
    """Forty hosts of another zone fill a link; this host receives reports from five."""
    links = LinkUsage()
    for number in range(5):
        links.report_remote(f"b{number}", {PAIR: 0.02}, "b")
    assert links.shares(10.0, "a")[PAIR] == pytest.approx(0.1)
    links.sums.take("b", ZoneTotal(9.8, {PAIR: 0.8}))
    assert links.shares(10.0, "a")[PAIR] == pytest.approx(0.8)
    assert links.full(links.shares(10.0, "a")) == {PAIR}


def test_own_prompts_count_once_beside_the_own_zone_total():
    links = LinkUsage()
    links.crossed(PAIR, PROMPT_MS, 9.0)
    links.told_own(9.1)
    links.sums.take("a", ZoneTotal(9.2, {PAIR: 0.5}))
    links.crossed(PAIR, PROMPT_MS, 9.5)
    # The zone total contains the first prompt, not the second one.
    assert links.shares(9.6, "a")[PAIR] == pytest.approx(0.7)


def test_old_zone_total_is_replaced_by_reports_of_single_hosts():
    links = LinkUsage()
    links.report_remote("b1", {PAIR: 0.1}, "b")
    links.sums.take("b", ZoneTotal(8.0, {PAIR: 0.8}))
    assert links.shares(10.0, "a")[PAIR] == pytest.approx(0.1)


def test_link_stays_closed_until_its_backlog_is_through():
    """Forty streams change paths at once; sixteen seconds of prompts wait in a link.

    Two seconds later none of them is in the window any more.  If the link then counted
    as free, it would get the next wave on top, and no stream would be served for as
    long as that lasts.
    """
    links = LinkUsage()
    links.advance(0.0)
    for _ in range(10):
        links.crossed(PAIR, PROMPT_MS, 0.0)
    closed_until = 0.0
    for step in range(1, 40):
        now = step * 0.25
        links.advance(now)
        if links.full(links.shares(now)):
            closed_until = now
    assert 3.5 <= closed_until <= 4.5
    assert links.backlog_s(PAIR) == 0.0


def test_closed_link_is_on_no_path():
    engine = make_engine()
    records = [
        make_target("near", "a", "a100", (0, 40)),
        make_target("far", "b", "a100", (40, 80)),
    ]
    assert PathFinder(engine, LoadTable(), "a").find(records, DEMAND) is not None
    finder = PathFinder(engine, LoadTable(), "a", {}, {PAIR})
    assert finder.find(records, DEMAND) is None


def sent_at_once(hosts, contenders, rounds=200):
    """Return the mean number of prompts sent by hosts that choose one link at once."""
    room = free_prompt_capacity(0.0, PROMPT_MS)
    total = 0
    for seed in range(rounds):
        rng = random.Random(seed)
        for _ in range(hosts):
            gate = CrossingGate()
            total += gate.is_open(PAIR, room, contenders, 1.0, rng)
    return total / rounds, room


def test_hosts_that_choose_at_the_same_moment_fill_the_link_once():
    """Twenty-three hosts see a free link that takes three prompts.

    Without a draw each would send one before it receives the others' reports, and the
    last would wait nine seconds.
    """
    sent, room = sent_at_once(hosts=23, contenders=23)
    assert room == pytest.approx(3.5)
    assert sent == pytest.approx(room, rel=0.2)


def test_link_is_free_for_all_while_few_want_it():
    sent, _ = sent_at_once(hosts=3, contenders=3)
    assert sent == 3


def test_draw_holds_until_others_can_know_of_it():
    rng = random.Random(1)
    gate = CrossingGate()
    results = [gate.is_open(PAIR, 1.0, 100.0, 5.0 + 0.05 * n, rng) for n in range(10)]
    assert len(set(results)) == 1
    opened = sum(CrossingGate().is_open(PAIR, 1.0, 4.0, 5.0, rng) for _ in range(400))
    assert 70 <= opened <= 130


def test_host_that_used_its_turn_waits_for_the_next():
    gate = CrossingGate()
    gate.used(PAIR, 5.0)
    assert not gate.is_open(PAIR, 2.0, 4.0, 5.1, random.Random(1))
    assert gate.is_open(PAIR, 2.0, 1.0, 5.1, random.Random(1))
