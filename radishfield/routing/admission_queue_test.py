"""The line for places: bursts, large senders and urgent work, replayed in steps."""

import random

from radishfield.routing import AdmissionQueue
from radishfield.routing._admission_queue import HEAD, PATIENCE_SHARE
from radishfield.routing._types import LEAST_CALLER_PATIENCE_S

PATIENCE_S = PATIENCE_SHARE * LEAST_CALLER_PATIENCE_S


def test_urgent_work_goes_first_and_equals_by_what_their_workspace_holds():
    line = AdmissionQueue()
    for _ in range(5):
        line.started("large")
    large = line.join(2, "large", 0.0)
    small = line.join(2, "small", 0.1)
    urgent = line.join(1, "large", 0.2)
    order = sorted([large, small, urgent], key=line._rank)
    assert order == [urgent, small, large]


def replay(arrivals, places, hold_s, length_s=20.0):
    """Play arrivals of ``(at, workspace, priority)`` against a number of places.

    Returns the share that got a place by workspace, and how many were turned away
    at once and after a wait.
    """
    line, busy, waiting = AdmissionQueue(), [], []
    chance = random.Random(1)
    got, asked, at_once, late = {}, {}, 0, 0
    arrivals = sorted(arrivals)
    now = 0.0
    while now < length_s:
        for end, workspace in [item for item in busy if item[0] <= now]:
            busy.remove((end, workspace))
            line.ended(workspace, now)
        while arrivals and arrivals[0][0] <= now:
            _, workspace, priority = arrivals.pop(0)
            asked[workspace] = asked.get(workspace, 0) + 1
            entry = line.join(priority, workspace, now)
            if len(busy) >= places and line.is_hopeless(entry, now):
                line.leave(entry)
                at_once += 1
            else:
                waiting.append(entry)
        for entry in sorted(waiting, key=line._rank):
            if len(busy) < places and line.may_try(entry):
                line.leave(entry)
                waiting.remove(entry)
                line.started(entry.workspace)
                busy.append((now + chance.uniform(0.2, 1.8) * hold_s, entry.workspace))
                got[entry.workspace] = got.get(entry.workspace, 0) + 1
            elif line.has_expired(entry, now):
                line.leave(entry)
                waiting.remove(entry)
                late += 1
        now += 0.01
    shares = {name: got.get(name, 0) / count for name, count in asked.items()}
    return shares, at_once, late


def load(chance, per_s, workspace, priority=1, length_s=18.0):
    return [
        (chance.uniform(0.0, length_s), workspace, priority)
        for _ in range(int(per_s * length_s))
    ]


def test_a_workspace_that_floods_the_host_does_not_keep_the_others_out():
    """One workspace sends four times what fits, nine send a little each.

    In order of arrival all of them would get the same quarter; the small ones ask
    for less than an even part and get nearly all of it.
    """
    chance = random.Random(7)
    arrivals = load(chance, 80, "flood")
    for number in range(9):
        arrivals += load(chance, 1, f"small-{number}")
    shares, _, _ = replay(arrivals, places=40, hold_s=2.0)
    small = [share for name, share in shares.items() if name != "flood"]
    assert sum(small) / len(small) > 0.9
    assert 0.1 < shares["flood"] < 0.3


def test_most_of_what_cannot_be_served_is_told_at_once():
    """Twice as many requests come as there are places for, for a long time.

    Without a forecast each would stand in line until its patience is over, and
    learn only then that it should come back.
    """
    chance = random.Random(8)
    _, at_once, late = replay(load(chance, 60, "w"), places=40, hold_s=2.0)
    assert at_once > 3 * late


def test_a_short_burst_waits_and_is_served():
    chance = random.Random(9)
    arrivals = load(chance, 10, "w")
    arrivals += [(5.0 + chance.uniform(0, 0.3), "w", 1) for _ in range(25)]
    shares, at_once, late = replay(arrivals, places=40, hold_s=2.0)
    assert shares["w"] > 0.97


def test_only_the_head_of_the_line_tries():
    line = AdmissionQueue()
    entries = [line.join(1, "w", 0.0) for _ in range(HEAD + 2)]
    assert [line.may_try(entry) for entry in entries].count(True) == HEAD
    line.leave(entries[0])
    assert line.may_try(entries[HEAD])


def test_nobody_waits_longer_than_a_caller_stays():
    line = AdmissionQueue()
    entry = line.join(1, "w", 0.0)
    assert not line.has_expired(entry, PATIENCE_S - 0.1)
    assert line.has_expired(entry, PATIENCE_S)
    assert line.return_after_s(entry, PATIENCE_S) >= 0.5
