"""The decisions together, as a dispatcher sees them."""

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


def test_a_burst_is_admitted_up_to_what_can_finish_and_the_rest_is_told_when(
    scheduler, make_work
):
    """Five hundred requests arrive in one instant at two targets a stage.

    Some start, some wait, and from some point on each is refused at once with
    a time to come back; nothing is admitted that the forecast says ends late.
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


def test_every_entry_ends_in_exactly_one_way(scheduler, make_work):
    """Work is offered, withdrawn, started, ended and left to expire at random.

    Each request must be seen exactly once: refused, withdrawn, dispatched or
    expired, and nothing may remain held afterwards.
    """
    chance = random.Random(11)
    ends: dict[str, list[str]] = {}
    running: list[str] = []
    now = 0.0
    for index in range(2000):
        now += chance.random() * 0.2
        name = f"r{index}"
        ends[name] = []
        work = make_work(name, arrived=now, deadline=now + chance.uniform(5, 40))
        if isinstance(scheduler.offer(work, now), Refused):
            ends[name].append("refused")
        victim = f"r{chance.randrange(index + 1)}"
        if scheduler.withdraw(victim, now):
            ends[victim].append("withdrawn")
        for item in scheduler.take(now):
            name = item.work.request_id
            ends[name].append("expired" if isinstance(item, Expired) else "started")
            if isinstance(item, Dispatch):
                running.append(name)
        while len(running) > 30 or (running and chance.random() < 0.3):
            scheduler.ended(running.pop(0), True, now)
    for name in running:
        scheduler.ended(name, True, now)
    for item in scheduler.take(now + 100):
        ends[item.work.request_id].append("last")
    assert {len(seen) for seen in ends.values()} == {1}
    targets = scheduler.snapshot(now).pools[0].targets
    assert all(target.in_flight == 0 for target in targets)


def test_plain_lookups_do_not_wait_behind_reviews(scheduler, make_target, make_work):
    """The model's queue is full of reviews when a lookup arrives.

    It goes to its own service at once.
    """
    lookup = make_target("s", 0, 0, kind=TargetKind.SERVICE, model="lookup")
    fleet, links, zone, hosts = scheduler._fleet
    scheduler.set_fleet([*fleet, lookup], links, zone, hosts, 0.0)
    for index in range(300):
        scheduler.offer(make_work(f"r{index}"), 0.0)
    scheduler.take(0.0)
    work = make_work("l", kind=TargetKind.SERVICE, model="lookup", max_tokens=0)
    assert start(scheduler, work).target == lookup


def test_a_dead_stage_is_replaced_and_those_behind_it_kept(scheduler, make_work):
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


def test_a_cut_stream_stays_with_its_model_version(make_target, make_work, links):
    """A caller's begun answer is not cut while a new version is rolled out.

    Targets of the new version are idle when one of the old version dies.  Only
    the old version can go on with the tokens that the caller has, and a route
    of it is left.
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
    """Callers' begun answers are not cut because a new version has come.

    The connections to the last target of the old version break at once, and it
    is left out, since the new version can serve new requests.  These streams
    can go on nowhere else.
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
    """A caller's begun answer is neither delayed nor cut by a full target.

    The target refuses it for a second; others are tried at once, and the last
    attempt is made when there may be room again.
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


def test_every_stream_that_its_target_forgot_is_resumed(scheduler, make_work):
    """No caller's begun answer is cut for want of repeats.

    A target has restarted, or given up what nobody listened to, so it refuses
    to go on with more streams than repeats are left.
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


def silence(dispatch, committed=1):
    work, head = dispatch.work, stage_ids(dispatch)[0]
    return Failure(work.request_id, head, FailureKind.SILENT, True, committed)


def test_a_silent_attempt_is_replaced_only_at_another_target(
    make_target, make_work, links
):
    """A caller's begun answer is not given up for a start at the same target.

    Silence may be the host's own fault.  While the target is the only one, its
    attempt goes on; once another can take its place, it may end.
    """
    only, other = make_target("only", 0, 20), make_target("other", 0, 20)
    scheduler = Scheduler()
    scheduler.set_fleet([only], links, "a", 1, 0.0)
    dispatch = start(scheduler, make_work("r"))
    assert not scheduler.may_replace(silence(dispatch), 0.0, 1.0)
    scheduler.set_fleet([only, other], links, "a", 1, 2.0)
    assert scheduler.may_replace(silence(dispatch), 2.0, 3.0)
    assert isinstance(scheduler.failed(silence(dispatch), 3.0), Retry)
    scheduler.ended("r", True, 4.0)
    assert all(t.in_flight == 0 for t in scheduler.snapshot(4.0).pools[0].targets)


def test_a_host_that_hears_nobody_ends_no_attempt_for_silence(
    make_target, make_work, make_report, links
):
    """Callers' begun answers are not cut because their host was cut off.

    Load reports came before, and none since the last wait began: the host is
    out of reach itself, and a start elsewhere would meet the same silence.
    Nor is any target left out for it.
    """
    one, two = make_target("one", 0, 20), make_target("two", 0, 20)
    scheduler = Scheduler()
    scheduler.set_fleet([one, two], links, "a", 1, 0.0)
    dispatches = [start(scheduler, make_work(f"r{index}")) for index in range(12)]
    scheduler.observe_load(make_report(one, 1), 1.0)
    for dispatch in dispatches:
        assert not scheduler.may_replace(silence(dispatch), 2.0, 4.0)
    assert not any(t.ejected for t in scheduler.snapshot(4.0).pools[0].targets)
    scheduler.progressed(dispatches[1].work.request_id, 1, 5.0)
    assert scheduler.may_replace(silence(dispatches[0]), 4.0, 6.0)


def test_a_silent_target_gets_no_new_work_though_its_attempts_go_on(
    scheduler, make_work
):
    """Callers are not sent to a stopped target by those who still wait for it.

    Its attempts may not run twice, so they go on; each counts once, however
    often its connection falls silent.
    """
    heads = {"a1": [], "a2": []}
    for index in range(12):
        dispatch = start(scheduler, make_work(f"r{index}", idempotent=False))
        heads[stage_ids(dispatch)[0]].append(dispatch)
    for _ in range(5):
        assert not scheduler.may_replace(silence(heads["a1"][0]), 0.0, 1.0)
    assert "a1" in {
        stage_ids(start(scheduler, make_work(f"s{index}"), 1.0))[0]
        for index in range(4)
    }
    for dispatch in heads["a1"][1:4]:
        assert not scheduler.may_replace(silence(dispatch), 0.0, 1.0)
    assert "a1" not in {
        stage_ids(start(scheduler, make_work(f"t{index}"), 1.0))[0]
        for index in range(4)
    }


def test_a_started_request_that_may_not_repeat_ends_unknown(scheduler, make_work):
    dispatch = start(scheduler, make_work("r", idempotent=False))
    failure = Failure("r", stage_ids(dispatch)[0], FailureKind.BROKEN, True, 0)
    decision = scheduler.failed(failure, 1.0)
    assert isinstance(decision, GiveUp)
    assert decision.fault.outcome is Outcome.UNKNOWN


def test_a_request_that_never_ran_ends_so_with_a_time_to_come_back(
    scheduler, make_work
):
    """No target accepts a connection until the attempts are used up.

    The caller is told "not run", at once, and when to come back.
    """
    dispatch = start(scheduler, make_work("r", idempotent=False))
    decision = None
    while not isinstance(decision, GiveUp):
        failure = Failure("r", stage_ids(dispatch)[0], FailureKind.CONNECT, False)
        decision = scheduler.failed(failure, 1.0)
        dispatch = getattr(decision, "dispatch", dispatch)
    assert decision.fault.outcome is Outcome.NOT_RUN
    assert decision.fault.retry_after_s >= 2.0


def test_work_that_can_no_longer_finish_leaves_at_once(scheduler, make_work):
    """Reviews wait for a full fleet that ends nothing.

    Each leaves the queue when its last moment to start has passed, not at its
    deadline, and is told when to come back.
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


def test_a_leaving_target_gets_nothing_more_and_no_target_is_its_own_refusal(
    scheduler, make_work
):
    scheduler.target_leaving("a1", 0.0)
    for index in range(10):
        assert "a1" not in stage_ids(start(scheduler, make_work(f"r{index}")))
    scheduler.target_leaving("a2", 0.0)
    refused = scheduler.offer(make_work("x"), 0.0)
    assert refused.fault.code is ResultCode.NO_TARGET
    assert refused.reason == "no-target" and refused.fault.retry_after_s


def test_a_target_that_fails_fast_is_not_refilled(scheduler, make_work):
    """Target a1 refuses connections, so it always looks idle.

    After two failures it is left out, and two seconds later it is tried again.
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


def test_a_prefix_returns_to_its_target_until_that_is_loaded(scheduler, make_work):
    """A popular prefix first keeps to the targets that hold it.

    Under a crowd it spreads, so that its holder does not become the bottleneck.
    """
    scheduler.observe_cache(CacheEvent("a2", 1, "p", True), 0.0)
    assert stage_ids(start(scheduler, make_work("r0", prefix_key="p")))[0] == "a2"
    seen = [
        stage_ids(start(scheduler, make_work(f"s{i}", prefix_key="p")))[0]
        for i in range(8)
    ]
    assert seen.count("a1") >= 2


def test_the_length_of_answers_is_learned_from_positions(scheduler, make_work):
    """Answers use a fifth of what callers allow for.

    Positions count from 0; after a hundred answers far more is let in at once.
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


def test_explains_what_was_decided(scheduler, make_work):
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


def test_a_target_that_says_it_leaves_stays_away_when_the_list_calls_it_live(
    make_target, make_work, make_report, links
):
    """No caller's request is lost on a target that is about to stop.

    The target reports that it is leaving.  Then the lagging list changes for
    another target and still calls this one live, with the same incarnation.  It
    gets no new work until it comes back as another incarnation.
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
    drained.  What is left is the ejected one, and it may work again.
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
