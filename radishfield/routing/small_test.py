"""Tests of retry budgets, load, target choice, silence, leaving and event splitting."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from radishfield.limits import RetryAllowance, RetryBudget, RetryUse
from radishfield.routing import (
    END_MARGIN_S,
    MAX_EVENT_BYTES,
    Ask,
    EventSplitter,
    FailureRates,
    GiveUp,
    LoadTable,
    StreamSilence,
    TargetLoad,
    Wait,
    choose_target,
    event_ids,
    next_check_s,
    next_step,
    parse_event_id,
    read_pause_s,
    takes_work,
    targets_to_probe,
)
from radishfield.routing.conftest import make_target


def max_retries_in_window(retries, window_s=10.0):
    """Return the most retries in any span of the window's length."""
    times = sorted(retries)
    return max(
        sum(start <= at < start + window_s for at in times) for start in times[::7]
    )


@pytest.mark.parametrize("silent", [0, 8])
def test_hosts_together_stay_within_the_retry_budget_while_all_fail(silent):
    """A service fails every request, and nine hosts retry what they can.

    Each receives the others' counts once a second, or not at all.  What they send
    together in any window stays below the ratio of all first attempts plus the slack.
    """
    budgets = [RetryBudget(RetryAllowance(0.2, 10.0, 200.0)) for _ in range(9)]
    reported = [RetryUse()] * 9
    retries = []
    for tick in range(3000):
        now, index = tick * 0.01, tick % 9
        if tick % 100 == 0:
            reported = [budget.use(now) for budget in budgets]
        budgets[index].record_first_attempt(now)
        others = [] if silent else reported[:index] + reported[index + 1 :]
        while budgets[index].take(now, 9, others):
            retries.append(now)
    assert max_retries_in_window(retries) <= 0.2 * 1000 + 200


def test_one_host_may_use_retries_that_the_others_leave():
    """A dead target breaks forty streams, all of one host.

    The host's equal share of the slack is twenty; the other hosts use none of theirs.
    """
    budget = RetryBudget(RetryAllowance(0.2, 10.0, 200.0))
    others = [RetryUse(45, 0)] * 8
    taken = sum(budget.take(at / 40, 9, others) for at in range(100))
    assert taken >= 40


def test_host_that_takes_most_of_a_zone_may_use_retries_for_its_load():
    """Guards against shares of the budget that stay even when the load is not.

    One of 195 hosts gets a fifth of all requests, and a dead target breaks forty of its
    streams at one moment.
    """
    budget = RetryBudget(RetryAllowance(0.2, 10.0, 574.0))
    for number in range(500):
        budget.record_first_attempt(10.0 * number / 500)
    others = [RetryUse(10, 0)] * 194
    taken = sum(budget.take(10.0, 195, others) for _ in range(60))
    assert taken >= 40


def test_a_repeat_that_never_arrived_is_not_spent():
    """A zone is partitioned, and broken streams try targets that they cannot reach.

    If failed connections were charged, the retry budget would be used up before the
    remaining targets are tried, and the streams would be aborted.
    """
    budget = RetryBudget(RetryAllowance(0.0, 10.0, 8.0))
    for _ in range(20):
        assert budget.take(0.0, hosts=1)
        budget.give_back()
    assert budget.take(0.0, hosts=1)


def test_a_service_with_little_traffic_may_still_retry():
    budget = RetryBudget(RetryAllowance(0.2, 10.0, 200.0))
    budget.record_first_attempt(0.0)
    assert budget.take(0.1, hosts=9)


def test_work_reported_by_others_counts_until_they_fall_silent():
    load = LoadTable()
    load.started("t", 100.0, first=True)
    load.report_remote("host-2", {"t": TargetLoad(3, 300.0, 1)}, now=10.0)
    assert load.held("t") == TargetLoad(4, 400.0, 2)
    load.expire_remote(now=14.0)
    assert load.held("t") == TargetLoad(1, 100.0, 1)
    load.ended("t", 100.0, first=True)
    assert load.held("t") == TargetLoad()


def test_a_newer_report_replaces_the_older_one():
    load = LoadTable()
    load.report_remote("host-2", {"t": TargetLoad(3, 300.0, 1)}, now=10.0)
    load.report_remote("host-2", {}, now=10.3)
    assert load.held("t") == TargetLoad()


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["h1", "h2", "h3"]),
            st.dictionaries(st.sampled_from("xyz"), st.integers(1, 5)),
        ),
        max_size=12,
    )
)
def test_totals_are_those_of_the_last_reports(statuses):
    load, last = LoadTable(), {}
    for number, (host, requests_by_id) in enumerate(statuses):
        held = {t: TargetLoad(n, n * 10.0, n) for t, n in requests_by_id.items()}
        load.report_remote(host, held, now=number * 0.01)
        last[host] = requests_by_id
    for target_id in "xyz":
        total = sum(requests.get(target_id, 0) for requests in last.values())
        assert load.held(target_id) == TargetLoad(total, total * 10.0, total)


def choose(records, load, failures, zone="a", tried=()):
    return choose_target(records, load, failures, zone, tried, random.Random(1))


def test_the_own_zone_is_chosen_while_it_has_free_capacity():
    records = [make_target("near", "a", slots=6), make_target("far", "b", slots=6)]
    load = LoadTable()
    assert choose(records, load, FailureRates()).id == "near"
    for _ in range(2):
        load.started("near", 0.0, True)
    assert choose(records, load, FailureRates()).id == "far"


def test_a_failing_target_is_avoided_while_others_are_healthy():
    """One of two targets answers every request with an error, at once.

    By load alone it is the idlest of all, so it would get most of the work.
    """
    records = [make_target("bad", "a", slots=6), make_target("good", "b", slots=6)]
    failures = FailureRates()
    for _ in range(4):
        failures.note("bad", failed=True)
    assert choose(records, LoadTable(), failures).id == "good"
    assert choose(records, LoadTable(), failures, tried={"good"}).id == "bad"


def test_a_target_that_answers_again_is_chosen_again():
    records = [make_target("once-bad", "a", slots=6), make_target("far", "b", slots=6)]
    failures = FailureRates()
    for _ in range(4):
        failures.note("once-bad", failed=True)
    for _ in range(8):
        failures.note("once-bad", failed=False)
    assert choose(records, LoadTable(), failures).id == "once-bad"


def test_no_target_is_chosen_twice():
    record = make_target("only")
    assert choose([record], LoadTable(), FailureRates(), tried={"only"}) is None


def step(silent_s, has_events, queried_ago_s, may_resume, allowed_s=None):
    allowed_s = allowed_s or (0.2 if has_events else 0.5)
    stream = StreamSilence((), silent_s, has_events, 0.03, allowed_s, 2.0, 0.2)
    return next_step(stream, queried_ago_s, may_resume)


def test_a_stream_with_recent_events_needs_no_action():
    assert step(0.1, True, 9.0, True) == Wait()


def test_a_silent_stream_is_queried_before_it_is_abandoned():
    assert step(0.4, True, 9.0, True) == Ask()
    assert step(0.2, False, 9.0, True) == Wait()
    assert step(0.4, False, 9.0, True) == Ask()
    assert step(0.9, True, 0.1, True) == Wait()
    assert step(1.4, True, 0.1, True) == GiveUp()


def test_a_stream_that_may_not_resume_is_never_abandoned():
    assert step(9.0, True, 0.1, False) == Wait()


def silent_stream(target_ids, silent_s, typical_gap_s=0.03, has_events=True):
    return StreamSilence(
        tuple(target_ids), silent_s, has_events, typical_gap_s, 0.2, 2.0, 0.2
    )


def test_nothing_is_probed_while_streams_have_events():
    active = [silent_stream("abcd", 0.01 * number) for number in range(6)]
    assert targets_to_probe(active) == set()


def test_only_targets_that_no_other_stream_just_passed_are_probed():
    """Target c dies under two of four streams.

    Both fall silent.  Targets a and b still carry events of the others, so only the
    targets that no other stream uses are probed.
    """
    streams = [
        silent_stream("acd", 0.08),
        silent_stream("bcd", 0.09),
        silent_stream("abe", 0.02),
        silent_stream("abf", 0.03),
    ]
    assert targets_to_probe(streams) == {"c", "d"}


def test_a_slow_path_is_not_taken_for_a_dead_one():
    assert targets_to_probe([silent_stream("ab", 0.15, typical_gap_s=0.1)]) == set()
    assert targets_to_probe([silent_stream("ab", 0.21, typical_gap_s=0.1)]) == {
        "a",
        "b",
    }


def test_a_stream_that_was_just_sent_proves_nothing_of_its_targets():
    sent = silent_stream("ab", 0.01, has_events=False)
    assert targets_to_probe([silent_stream("ab", 0.08), sent]) == {"a", "b"}


def test_a_leaving_host_takes_what_still_ends_in_its_grace():
    """A caller's keep-alive connection brings a long stream late in the grace period.

    If it were accepted, it would be aborted with the process.  If it is refused, the
    caller tries another host at once.
    """
    assert takes_work(None, 8.0, 20.0)
    assert takes_work(2.0, 8.0, 20.0)
    assert not takes_work(6.1, 8.0, 20.0)
    assert takes_work(5.0, 8.0, 1.5)
    assert not takes_work(6.5, 8.0, 1.5)


@pytest.mark.parametrize("duration_s", [0.3, 1.5, 4.0])
def test_request_whose_time_ends_as_the_process_exits_is_refused(duration_s):
    """Guards against a request that runs and is cut, since its answer is late."""
    exit_s = 8.0 - END_MARGIN_S
    assert not takes_work(exit_s - duration_s, 8.0, duration_s)
    assert not takes_work(exit_s - duration_s - 0.2, 8.0, duration_s)
    assert takes_work(exit_s - duration_s - 0.3, 8.0, duration_s)


def event(number):
    return b"id: %d\ndata: x\n\n" % number


def test_an_incomplete_event_is_held_back():
    splitter = EventSplitter()
    assert splitter.feed(event(1) + b"id: 2\nda") == event(1)
    assert splitter.has_incomplete_event
    assert splitter.feed(b"ta: x\n\n") == event(2)
    assert not splitter.has_incomplete_event


@given(st.lists(st.integers(0, 99), max_size=8), st.randoms(use_true_random=False))
def test_splitting_a_stream_anywhere_loses_and_repeats_nothing(numbers, rng):
    complete_stream = b"".join(event(number) for number in numbers)
    splitter, output = EventSplitter(), b""
    at = 0
    while at < len(complete_stream):
        size = rng.randint(1, 9)
        output += splitter.feed(complete_stream[at : at + size])
        at += size
    assert output == complete_stream
    assert event_ids(output) == numbers


def test_event_without_an_end_takes_bounded_memory():
    """Guards against a target whose bytes never end, in the memory of a host."""
    splitter = EventSplitter()
    assert splitter.feed(event(1) + b"id: 2\n") == event(1)
    for _ in range(MAX_EVENT_BYTES // 65536):
        assert not splitter.is_too_long
        assert splitter.feed(b"x" * 65536) == b""
    assert splitter.is_too_long
    for _ in range(100):
        assert splitter.feed(b"x" * 65536) == b""
    assert splitter.feed(b"\n\n" + event(3)) == b""
    assert len(splitter._buffer) <= MAX_EVENT_BYTES


def test_long_events_are_not_too_long_together():
    splitter = EventSplitter()
    long_event = b"data: " + b"x" * (MAX_EVENT_BYTES // 2) + b"\n\n"
    assert splitter.feed(3 * long_event) == 3 * long_event
    assert not splitter.is_too_long


def test_event_id_too_long_for_a_number_is_none():
    """Guards against an exception of the conversion, which ends the request."""
    digits = b"9" * 5000
    assert event_ids(b"id: " + digits + b"\ndata: x\n\n") == []
    assert parse_event_id(digits) is None
    assert parse_event_id(b"7") == 7


def test_next_check_is_when_the_first_stream_could_be_too_silent():
    # An earlier check finds nothing; a later one misses a pause that is still on time.
    active = silent_stream("a", silent_s=0.01)
    due_s = active.probe_after_s - active.silent_s
    assert next_check_s([active], 0.03, 0.1) == pytest.approx(due_s)
    overdue = silent_stream("b", silent_s=1.0)
    assert next_check_s([active, overdue], 0.03, 0.1) == 0.03


def test_host_without_streams_checks_at_the_longest_interval():
    assert next_check_s([], 0.03, 0.1) == 0.1


def test_fast_events_are_read_together_and_slow_ones_at_once():
    """A host of half a core takes two turns of its loop for each of 170 events/s."""
    assert read_pause_s(0.02, 0.25) == pytest.approx(0.05)
    assert read_pause_s(0.06, 0.25) == 0.0
    assert read_pause_s(0.0, 0.25) == 0.0
    assert read_pause_s(0.02, 0.0) == 0.0
