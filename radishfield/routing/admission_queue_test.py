"""Tests of the admission queue with bursts, large senders and urgent requests."""

import random

from radishfield.routing import AdmissionQueue
from radishfield.routing._admission_queue import HEAD_SIZE, MAX_WAIT_SHARE
from radishfield.routing._types import MIN_CALLER_TIMEOUT_S

MAX_WAIT_S = MAX_WAIT_SHARE * MIN_CALLER_TIMEOUT_S


def test_urgent_work_goes_first_then_workspaces_that_hold_the_least():
    queue = AdmissionQueue()
    for _ in range(5):
        queue.started("large")
    large = queue.join(2, "large", 0.0)
    small = queue.join(2, "small", 0.1)
    urgent = queue.join(1, "large", 0.2)
    order = sorted([large, small, urgent], key=queue._rank)
    assert order == [urgent, small, large]


def replay(arrivals, slots, hold_s, length_s=20.0):
    """Replay arrivals of ``(at, workspace, priority)`` against a number of slots.

    Returns the share of admitted requests by workspace, and how many requests were
    rejected at once and after a wait.
    """
    queue, busy, waiting = AdmissionQueue(), [], []
    rng = random.Random(1)
    admitted, sent, rejected, expired = {}, {}, 0, 0
    arrivals = sorted(arrivals)
    now = 0.0
    while now < length_s:
        for end, workspace in [item for item in busy if item[0] <= now]:
            busy.remove((end, workspace))
            queue.ended(workspace, now)
        while arrivals and arrivals[0][0] <= now:
            _, workspace, priority = arrivals.pop(0)
            sent[workspace] = sent.get(workspace, 0) + 1
            entry = queue.join(priority, workspace, now)
            if len(busy) >= slots and queue.expects_timeout(entry, now):
                queue.leave(entry)
                rejected += 1
            else:
                waiting.append(entry)
        for entry in sorted(waiting, key=queue._rank):
            if len(busy) < slots and queue.may_try(entry):
                queue.leave(entry)
                waiting.remove(entry)
                queue.started(entry.workspace)
                busy.append((now + rng.uniform(0.2, 1.8) * hold_s, entry.workspace))
                admitted[entry.workspace] = admitted.get(entry.workspace, 0) + 1
            elif queue.has_expired(entry, now):
                queue.leave(entry)
                waiting.remove(entry)
                expired += 1
        now += 0.01
    shares = {name: admitted.get(name, 0) / count for name, count in sent.items()}
    return shares, rejected, expired


def random_arrivals(rng, per_s, workspace, priority=1, length_s=18.0):
    return [
        (rng.uniform(0.0, length_s), workspace, priority)
        for _ in range(int(per_s * length_s))
    ]


def test_a_workspace_that_floods_the_host_does_not_keep_the_others_out():
    """One workspace sends four times what fits, and nine others send a little each.

    In order of arrival all of them would get the same quarter.  The small ones ask for
    less than an even share and get nearly all of it.
    """
    rng = random.Random(7)
    arrivals = random_arrivals(rng, 80, "flood")
    for number in range(9):
        arrivals += random_arrivals(rng, 1, f"small-{number}")
    shares, _, _ = replay(arrivals, slots=40, hold_s=2.0)
    small = [share for name, share in shares.items() if name != "flood"]
    assert sum(small) / len(small) > 0.9
    assert 0.1 < shares["flood"] < 0.3


def test_most_excess_requests_are_rejected_at_once():
    """Twice as many requests come as there are slots for, for a long time.

    Without a forecast each request would wait in the queue for its maximum wait, and
    only then be told to retry.
    """
    rng = random.Random(8)
    _, rejected, expired = replay(random_arrivals(rng, 60, "w"), slots=40, hold_s=2.0)
    assert rejected > 3 * expired


def test_a_short_burst_waits_and_is_served():
    rng = random.Random(9)
    arrivals = random_arrivals(rng, 10, "w")
    arrivals += [(5.0 + rng.uniform(0, 0.3), "w", 1) for _ in range(25)]
    shares, rejected, expired = replay(arrivals, slots=40, hold_s=2.0)
    assert shares["w"] > 0.97


def test_only_the_head_of_the_queue_may_try():
    queue = AdmissionQueue()
    entries = [queue.join(1, "w", 0.0) for _ in range(HEAD_SIZE + 2)]
    assert [queue.may_try(entry) for entry in entries].count(True) == HEAD_SIZE
    queue.leave(entries[0])
    assert queue.may_try(entries[HEAD_SIZE])


def test_request_expires_after_its_maximum_wait():
    queue = AdmissionQueue()
    entry = queue.join(1, "w", 0.0)
    assert not queue.has_expired(entry, MAX_WAIT_S - 0.1)
    assert queue.has_expired(entry, MAX_WAIT_S)
    assert queue.return_after_s(entry, MAX_WAIT_S) >= 0.5
