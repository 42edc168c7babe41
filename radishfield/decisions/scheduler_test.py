"""The scheduler as a dispatcher uses it."""

import random
from dataclasses import replace

import pytest

from radishfield.core import CacheEvent, Outcome, ResultCode, TargetKind, TargetState
from radishfield.decisions import (
    Dispatch,
    Expired,
    Failure,
    FailureKind,
    GiveUp,
    Queued,
    Refused,
    Retry,
    Scheduler,
)


@pytest.fixture
def scheduler(two_stages, links):
    made = Scheduler()
    made.set_fleet(two_stages, links, "a", 1, 0.0)
    return made


def start(scheduler, work, now=0.0):
    assert isinstance(scheduler.offer(work, now), Queued)
    (dispatch,) = scheduler.take(now)
    return dispatch


def stage_ids(dispatch):
    return [stage.target_id for stage in dispatch.route.stages]


def test_burst_is_admitted_up_to_capacity_and_the_rest_gets_a_retry_time(
    scheduler, make_work
):
    """Five hundred requests arrive at once, with two targets for each stage.

    Some start, some wait, and from some point on each is refused at once with a
    retry time.  No request is admitted whose forecast says that it ends late.
    """
    results = [
        scheduler.offer(make_work(f"r{i}", deadline=30.0), 0.0) for i in range(500)
    ]
    refused = [r for r in results if isinstance(r, Refused)]
    assert isinstance(results[0], Queued) and refused
    assert all(r.fault.retry_after_s > 0 for r in refused)
    assert {r.fault.outcome for r in refused} == {Outcome.NOT_RUN}
    assert {r.reason for r in refused} <= {
        "deadline-unreachable",
        "workspace-over-share",
    }
    assert 0 < len(scheduler.take(0.0)) < len(results) - len(refused)


def test_every_request_leaves_the_queue_in_exactly_one_way(scheduler, make_work):
    """Work is offered, withdrawn, started, ended and left to expire at random.

    Each request must be seen exactly once: refused, withdrawn, dispatched or
    expired, and nothing may remain held afterwards.
    """
    rng = random.Random(11)
    ends_by_request: dict[str, list[str]] = {}
    running: list[str] = []
    now = 0.0
    for index in range(2000):
        now += rng.random() * 0.2
        name = f"r{index}"
        ends_by_request[name] = []
        work = make_work(name, arrived=now, deadline=now + rng.uniform(5, 40))
        if isinstance(scheduler.offer(work, now), Refused):
            ends_by_request[name].append("refused")
        victim = f"r{rng.randrange(index + 1)}"
        if scheduler.withdraw(victim, now):
            ends_by_request[victim].append("withdrawn")
        for item in scheduler.take(now):
            name = item.work.request_id
            ends_by_request[name].append(
                "expired" if isinstance(item, Expired) else "started"
            )
            if isinstance(item, Dispatch):
                running.append(name)
        while len(running) > 30 or (running and rng.random() < 0.3):
            scheduler.ended(running.pop(0), True, now)
    for name in running:
        scheduler.ended(name, True, now)
    for item in scheduler.take(now + 100):
        ends_by_request[item.work.request_id].append("last")
    assert {len(seen) for seen in ends_by_request.values()} == {1}
    targets = scheduler.snapshot(now).pools[0].targets
    assert all(target.in_flight == 0 for target in targets)


def test_lookups_do_not_wait_behind_reviews(scheduler, make_target, make_work):
    """The model's queue is full of reviews when a lookup arrives.

    The lookup goes to its own service at once.
    """
    lookup = make_target("s", 0, 0, kind=TargetKind.SERVICE, model="lookup")
    fleet, links, zone, hosts = scheduler._fleet
    scheduler.set_fleet([*fleet, lookup], links, zone, hosts, 0.0)
    for index in range(300):
        scheduler.offer(make_work(f"r{index}"), 0.0)
    scheduler.take(0.0)
    work = make_work("l", kind=TargetKind.SERVICE, model="lookup", max_tokens=0)
    assert start(scheduler, work).target == lookup


def test_dead_stage_is_replaced_and_later_stages_are_kept(scheduler, make_work):
    """The first stage dies in the middle of a token after seven committed ones.

    The next attempt keeps the second stage, which still holds its cache, and
    takes the other replica of the dead one.
    """
    dispatch = start(scheduler, make_work("r"))
    dead, second = stage_ids(dispatch)
    retry = scheduler.failed(Failure("r", dead, FailureKind.BROKEN, True, 7), 1.0)
    assert isinstance(retry, Retry) and retry.dispatch.attempt == 2
    assert stage_ids(retry.dispatch)[0] != dead
    assert stage_ids(retry.dispatch)[1] == second
    assert retry.reason == "broken-rebuild"
    scheduler.ended("r", True, 2.0)
    assert all(t.in_flight == 0 for t in scheduler.snapshot(2.0).pools[0].targets)


def test_interrupted_stream_stays_with_its_model_version(make_target, make_work, links):
    """A started answer is not truncated while a new version is rolled out.

    Targets of the new version are idle when one of the old version dies.  Only
    the old version can continue from the tokens that the caller has, and it
    still has a route.
    """
    old = [make_target("o1", 0, 20), make_target("o2", 0, 20)]
    scheduler = Scheduler()
    scheduler.set_fleet(old, links, "a", 1, 0.0)
    dispatch = start(scheduler, make_work("r"))
    new = [make_target(f"n{i}", 0, 20, model_version="2") for i in range(4)]
    scheduler.set_fleet([*old, *new], links, "a", 1, 1.0)
    failure = Failure("r", stage_ids(dispatch)[0], FailureKind.BROKEN, True, 7)
    retry = scheduler.failed(failure, 1.0)
    assert retry.dispatch.route.model_version == dispatch.route.model_version


def test_streams_of_an_old_version_are_resumed_at_its_only_target(
    make_target, make_work, links
):
    """Started answers are not truncated because a new version is available.

    The connections to the last target of the old version break at once, and it
    is excluded, since the new version can serve new requests.  These streams
    can continue nowhere else.
    """
    old, new = make_target("old", 0, 20), make_target("new", 0, 20, model_version="2")
    scheduler = Scheduler()
    scheduler.set_fleet([old], links, "a", 1, 0.0)
    names = [f"r{index}" for index in range(4)]
    for name in names:
        start(scheduler, make_work(name))
    scheduler.set_fleet([old, new], links, "a", 1, 1.0)
    for name in names:
        failure = Failure(name, "old", FailureKind.BROKEN, started=True, committed=3)
        decision = scheduler.failed(failure, 2.0)
        assert isinstance(decision, Retry), decision
        assert stage_ids(decision.dispatch) == ["old"]


def test_only_the_last_attempt_of_a_stream_waits_for_full_targets(scheduler, make_work):
    """A started answer is neither delayed nor truncated by a full target.

    The target refuses it for a second.  Others are tried at once, and the last
    attempt is made when there may be free capacity again.
    """
    dispatch = start(scheduler, make_work("r"))
    for attempt, after_s in ((2, 0.0), (3, 0.0), (4, 0.6)):
        head = stage_ids(dispatch)[0]
        kind = FailureKind.REFUSED if attempt == 3 else FailureKind.CONNECT
        hint_s = 1.0 if attempt == 3 else None
        failure = Failure("r", head, kind, True, 3, hint_s)
        retry = scheduler.failed(failure, attempt * 0.4)
        assert retry.after_s == pytest.approx(after_s)
        dispatch = retry.dispatch
        assert dispatch.attempt == attempt


def test_every_stream_lost_by_its_target_is_resumed(scheduler, make_work):
    """No started answer is truncated because the retry budget is spent.

    A target has restarted, or abandoned streams that nobody read, so it refuses
    to continue more streams than the budget has retries left.
    """
    decisions = []
    for index in range(16):
        name = f"r{index}"
        dispatch = start(scheduler, make_work(name, max_tokens=5))
        head = stage_ids(dispatch)[0]
        failure = Failure(name, head, FailureKind.REFUSED, started=True, committed=4)
        decisions.append(scheduler.failed(failure, 0.0))
        scheduler.ended(name, True, 0.0)
    assert all(isinstance(decision, Retry) for decision in decisions)


def silent_failure(dispatch, committed=1):
    work, head = dispatch.work, stage_ids(dispatch)[0]
    return Failure(work.request_id, head, FailureKind.SILENT, True, committed)


def test_a_silent_attempt_is_replaced_only_at_another_target(
    make_target, make_work, links
):
    """A started answer is not abandoned for a new start at the same target.

    Silence may be the host's own fault.  While the target is the only one, its
    attempt continues.  Once another target can replace it, it may end.
    """
    only, other = make_target("only", 0, 20), make_target("other", 0, 20)
    scheduler = Scheduler()
    scheduler.set_fleet([only], links, "a", 1, 0.0)
    dispatch = start(scheduler, make_work("r"))
    assert not scheduler.may_replace(silent_failure(dispatch), 0.0, 1.0)
    scheduler.set_fleet([only, other], links, "a", 1, 2.0)
    assert scheduler.may_replace(silent_failure(dispatch), 2.0, 3.0)
    assert isinstance(scheduler.failed(silent_failure(dispatch), 3.0), Retry)
    scheduler.ended("r", True, 4.0)
    assert all(t.in_flight == 0 for t in scheduler.snapshot(4.0).pools[0].targets)


def test_disconnected_host_ends_no_attempt_for_silence(
    make_target, make_work, make_report, links
):
    """Started answers are not truncated because their host is disconnected.

    Load reports came before, but none since the last wait began.  The host is
    unreachable itself, and a start elsewhere would meet the same silence.  Nor
    is any target excluded for it.
    """
    one, two = make_target("one", 0, 20), make_target("two", 0, 20)
    scheduler = Scheduler()
    scheduler.set_fleet([one, two], links, "a", 1, 0.0)
    dispatches = [start(scheduler, make_work(f"r{index}")) for index in range(12)]
    scheduler.observe_load(make_report(one, 1), 1.0)
    for dispatch in dispatches:
        assert not scheduler.may_replace(silent_failure(dispatch), 2.0, 4.0)
    assert not any(t.ejected for t in scheduler.snapshot(4.0).pools[0].targets)
    scheduler.progressed(dispatches[1].work.request_id, 1, 5.0)
    assert scheduler.may_replace(silent_failure(dispatches[0]), 4.0, 6.0)


def test_silent_target_gets_no_new_work_while_its_attempts_continue(
    scheduler, make_work
):
    """No new request is sent to a stopped target while attempts still wait for it.

    Its attempts may not run twice, so they continue.  Each counts as one
    failure, however often its connection is silent.
    """
    heads = {"a1": [], "a2": []}
    for index in range(12):
        dispatch = start(scheduler, make_work(f"r{index}", idempotent=False))
        heads[stage_ids(dispatch)[0]].append(dispatch)
    for _ in range(5):
        assert not scheduler.may_replace(silent_failure(heads["a1"][0]), 0.0, 1.0)
    assert "a1" in {
        stage_ids(start(scheduler, make_work(f"s{index}"), 1.0))[0]
        for index in range(4)
    }
    for dispatch in heads["a1"][1:4]:
        assert not scheduler.may_replace(silent_failure(dispatch), 0.0, 1.0)
    assert "a1" not in {
        stage_ids(start(scheduler, make_work(f"t{index}"), 1.0))[0]
        for index in range(4)
    }


def test_started_non_idempotent_request_ends_with_unknown_outcome(scheduler, make_work):
    dispatch = start(scheduler, make_work("r", idempotent=False))
    failure = Failure("r", stage_ids(dispatch)[0], FailureKind.BROKEN, True, 0)
    decision = scheduler.failed(failure, 1.0)
    assert isinstance(decision, GiveUp)
    assert decision.fault.outcome is Outcome.UNKNOWN


def test_request_that_never_ran_ends_as_not_run_with_a_retry_time(scheduler, make_work):
    """No target accepts a connection until the attempts are used up.

    The caller gets the outcome "not run" at once, with a retry time.
    """
    dispatch = start(scheduler, make_work("r", idempotent=False))
    decision = None
    while not isinstance(decision, GiveUp):
        failure = Failure("r", stage_ids(dispatch)[0], FailureKind.CONNECT, False)
        decision = scheduler.failed(failure, 1.0)
        dispatch = getattr(decision, "dispatch", dispatch)
    assert decision.fault.outcome is Outcome.NOT_RUN
    assert decision.fault.retry_after_s >= 2.0


def test_work_that_can_no_longer_finish_expires_at_once(scheduler, make_work):
    """Reviews wait for a full fleet in which no work ends.

    Each leaves the queue when its latest start has passed, not at its deadline,
    and gets a retry time.
    """
    for index in range(60):
        scheduler.offer(make_work(f"r{index}", deadline=60.0), 0.0)
    scheduler.take(0.0)
    wakeup = scheduler.next_wakeup(0.0)
    assert wakeup is not None and wakeup <= 60.0
    ended = [i for at in range(1, 60) for i in scheduler.take(float(at))]
    assert ended and all(isinstance(item, Expired) for item in ended)
    assert {item.reason for item in ended} == {"expired-in-queue"}
    assert all(item.fault.retry_after_s > 0 for item in ended)
    assert scheduler.snapshot(60.0).pools[0].queued == 0


def test_leaving_target_gets_no_work_and_the_last_leaves_no_target(
    scheduler, make_work
):
    scheduler.target_leaving("a1", 0.0)
    for index in range(10):
        assert "a1" not in stage_ids(start(scheduler, make_work(f"r{index}")))
    scheduler.target_leaving("a2", 0.0)
    refused = scheduler.offer(make_work("x"), 0.0)
    assert refused.fault.code is ResultCode.NO_TARGET
    assert refused.reason == "no-target" and refused.fault.retry_after_s


def test_target_that_fails_fast_is_ejected(scheduler, make_work):
    """Target a1 refuses connections, so it always looks idle.

    After two failures it is excluded, and two seconds later it is tried again.
    """
    hit = []
    for index in range(40):
        dispatch = start(scheduler, make_work(f"r{index}"), index * 0.01)
        while stage_ids(dispatch)[0] == "a1":
            hit.append(index)
            failure = Failure(f"r{index}", "a1", FailureKind.CONNECT, False)
            dispatch = scheduler.failed(failure, index * 0.01).dispatch
        scheduler.ended(f"r{index}", True, index * 0.01)
    assert len(hit) == 2
    scheduler.take(3.0)
    view = {t.target_id: t for t in scheduler.snapshot(3.0).pools[0].targets}
    assert not view["a1"].ejected


def test_prefix_goes_to_its_holder_until_that_is_loaded(scheduler, make_work):
    """Requests with a popular prefix go first to the targets that hold it.

    Under load they spread, so that the holder does not become the bottleneck.
    """
    scheduler.observe_cache(CacheEvent("a2", 1, "p", True), 0.0)
    assert stage_ids(start(scheduler, make_work("r0", prefix_key="p")))[0] == "a2"
    seen = [
        stage_ids(start(scheduler, make_work(f"s{i}", prefix_key="p")))[0]
        for i in range(8)
    ]
    assert seen.count("a1") >= 2


def test_the_length_of_answers_is_learned_from_positions(scheduler, make_work):
    """Answers use a fifth of the tokens that callers allow.

    Positions count from 0.  After a hundred answers, far more work is admitted
    at once.
    """

    def admitted(prefix):
        works = [make_work(f"{prefix}{i}", deadline=60.0) for i in range(2000)]
        queued = [isinstance(scheduler.offer(work, 0.0), Queued) for work in works]
        for work in works:
            scheduler.withdraw(work.request_id, 0.0)
        return sum(queued)

    before = admitted("before")
    for index in range(100):
        start(scheduler, make_work(f"r{index}"))
        for position in range(10):
            scheduler.progressed(f"r{index}", position, 0.1 * position)
        scheduler.ended(f"r{index}", True, 1.0)
    assert admitted("after") > 1.5 * before


def test_explain_lists_the_decisions_on_a_request(scheduler, make_work):
    start(scheduler, make_work("r"))
    scheduler.ended("r", True, 1.0)
    steps = [note.step for note in scheduler.explain("r")]
    assert steps == ["queued", "dispatched", "finished"]


def test_an_unchanged_fleet_keeps_what_was_learned(scheduler, make_work, two_stages):
    start(scheduler, make_work("r"))
    fleet, links, zone, hosts = scheduler._fleet
    scheduler.set_fleet(list(two_stages), list(links), zone, hosts, 1.0)
    scheduler.set_fleet(list(two_stages), list(links), zone, 2, 1.0)
    assert sum(t.in_flight for t in scheduler.snapshot(1.0).pools[0].targets) == 2


def test_target_that_reports_leaving_gets_no_work_while_listed_as_live(
    make_target, make_work, make_report, links
):
    """No request is lost on a target that is about to stop.

    The target reports that it is leaving.  Then the delayed list changes for
    another target and still shows this one as live, with the same incarnation.
    It gets no new work until it comes back as another incarnation.
    """
    leaving, other = make_target("leaving", 0, 20), make_target("other", 0, 20)
    scheduler = Scheduler()
    scheduler.set_fleet([leaving, other], links, "a", 1, 0.0)
    scheduler.observe_load(make_report(leaving, 0, leaving=True), 1.0)
    scheduler.set_fleet([leaving, replace(other, slots=9)], links, "a", 1, 2.0)
    for index in range(4):
        dispatch = start(scheduler, make_work(f"r{index}"), 3.0)
        assert stage_ids(dispatch) == ["other"]
    restarted = replace(leaving, incarnation=2, state=TargetState.LIVE)
    scheduler.set_fleet([restarted], links, "a", 1, 4.0)
    assert stage_ids(start(scheduler, make_work("last"), 5.0)) == ["leaving"]


def test_an_ejected_target_serves_again_when_no_other_can(
    make_target, make_work, links
):
    """The caller is served, not refused with "no target".

    One of two targets refuses connections and is ejected.  Then the other is
    drained.  Only the ejected target remains, and it may work again.
    """
    down, other = make_target("down", 0, 20), make_target("other", 0, 20)
    scheduler = Scheduler()
    scheduler.set_fleet([down, other], links, "a", 1, 0.0)
    for index in range(40):
        name = f"r{index}"
        dispatch = start(scheduler, make_work(name), 1.0)
        if stage_ids(dispatch) == ["down"]:
            failure = Failure(name, "down", FailureKind.CONNECT, started=False)
            scheduler.failed(failure, 1.0)
        scheduler.ended(name, False, 1.0)
    assert all(
        stage_ids(start(scheduler, make_work(f"s{index}"), 1.1)) == ["other"]
        for index in range(3)
    )
    drained = replace(other, state=TargetState.LEAVING)
    scheduler.set_fleet([down, drained], links, "a", 1, 1.2)
    assert stage_ids(start(scheduler, make_work("last"), 1.3)) == ["down"]
