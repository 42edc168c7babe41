"""Tests that an answer recovers from one failure in mid token in bounded time."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from proofs._profiles import ci_profile
from proofs._serving import ServingWorld
from proofs._targets import CONNECT_TIMEOUT_S, IDLE_LIMIT_S, Trouble

TOKENS = 6
# A dead target refuses connections at once.  A silent one is waited for as long
# as its connection may be idle, once for each connection that is tried.
GONE_BOUND_S = 1.0
SILENT_BOUND_S = 3 * (IDLE_LIMIT_S + CONNECT_TIMEOUT_S)
AFTER_S = st.sampled_from((0.005, 0.015, 0.025, 0.035, 0.055))


def play(seed, stages, after_s, fail):
    """Send one request, play a failure in mid token, return when it ended."""
    world = ServingWorld(seed, stages, 2)
    caller = world.send(True, TOKENS, 30.0, 0.0)
    world.loop.pass_time(after_s)
    failed_at = world.loop.now
    route = world.targets.record.starts[0].target_ids
    fail(world, route)
    world.loop.pass_time(29.0)
    world.check()
    answer, ended_at = caller.answer, caller.ended_at
    world.loop.close()
    assert answer is not None and answer.is_ok(), answer
    return ended_at - failed_at


@ci_profile(30)
@given(
    seed=st.integers(0, 9),
    stages=st.sampled_from((1, 2, 4)),
    index=st.integers(0, 3),
    after_s=AFTER_S,
)
def test_stage_that_dies_is_replaced_at_once(seed, stages, index, after_s):
    """The caller sees one whole answer, with a pause of under a second.

    Any stage of the route dies at any moment of the answer.  The other zone has
    a whole chain, and no link between the zones is known.
    """

    def fail(world, route):
        world.targets.kill(route[index % len(route)])

    assert play(seed, stages, after_s, fail) <= GONE_BOUND_S


@ci_profile(30)
@given(
    seed=st.integers(0, 9),
    stages=st.sampled_from((1, 2, 4)),
    index=st.integers(0, 3),
    after_s=AFTER_S,
)
def test_stage_that_stands_still_is_given_up_in_bounded_time(
    seed, stages, index, after_s
):
    """The caller sees one whole answer, with a pause of some seconds.

    A stage stops without closing anything: its connections accept and say
    nothing.  It is waited for, then another chain goes on.
    """

    def fail(world, route):
        world.targets.by_id[route[index % len(route)]].frozen = True

    assert play(seed, stages, after_s, fail) <= SILENT_BOUND_S


@pytest.mark.parametrize("still_s", [2.5, 4.5, 20.0])
@pytest.mark.parametrize(
    ("idempotent", "replicas"), [(True, 1), (False, 1), (False, 2)]
)
def test_silence_ends_no_answer_that_cannot_go_on_elsewhere(
    idempotent, replicas, still_s
):
    """The caller receives one complete answer, which was started once.

    Its first stage stalls in mid answer, or the host receives nothing from it for
    a while.  The request may not run twice, or there is no other first stage.
    """
    world = ServingWorld(1, 2, replicas)
    caller = world.send(idempotent, TOKENS, 60.0, 0.0)
    world.loop.pass_time(0.035)
    (start,) = world.targets.record.starts
    head = world.targets.by_id[start.target_ids[0]]
    head.frozen = True
    world.loop.pass_time(still_s)
    answer_meanwhile = caller.answer
    head.frozen = False
    world.loop.pass_time(2 * IDLE_LIMIT_S)
    world.check()
    world.loop.close()
    assert answer_meanwhile is None, answer_meanwhile
    assert caller.answer is not None and caller.answer.is_ok(), caller.answer
    assert len(world.targets.record.starts) == 1


@pytest.mark.parametrize("cut_s", [3.0, 7.0, 20.0])
def test_host_that_hears_nobody_for_a_while_ends_no_answer(cut_s):
    """The caller receives one complete answer, which was started once.

    The host loses the connection to every target in mid answer and regains it.
    Two targets could run the answer, and neither can be reached meanwhile.
    """
    world = ServingWorld(1, 1, 2)
    world.report_loads()
    caller = world.send(True, TOKENS, 60.0, 0.0)
    world.loop.pass_time(0.035)
    for head in world.heads():
        head.frozen = True
    world.loop.pass_time(cut_s)
    answer_meanwhile = caller.answer
    for head in world.heads():
        head.frozen = False
    world.loop.pass_time(2 * IDLE_LIMIT_S)
    world.check()
    world.loop.close()
    assert answer_meanwhile is None, answer_meanwhile
    assert caller.answer is not None and caller.answer.is_ok(), caller.answer
    assert len(world.targets.record.starts) == 1


@pytest.mark.parametrize("busy_s", [0.1, 0.5, 0.9])
def test_answer_goes_on_where_the_only_other_target_is_full_for_a_moment(busy_s):
    """The caller receives one complete answer although its next target was full.

    The first stage dies in mid answer.  The only other one refuses new work for
    a moment, with a time after which to retry.
    """
    world = ServingWorld(1, 1, 2)
    caller = world.send(True, TOKENS, 60.0, 0.0)
    world.loop.pass_time(0.035)
    (start,) = world.targets.record.starts
    (other,) = [h for h in world.heads() if h.target.id not in start.target_ids]
    other.refusing = True
    world.targets.kill(start.target_ids[0])
    world.loop.pass_time(busy_s)
    other.refusing = False
    world.loop.pass_time(2.0)
    world.check()
    world.loop.close()
    assert caller.answer is not None and caller.answer.is_ok(), caller.answer


@ci_profile(60)
@given(
    seed=st.integers(0, 9),
    stages=st.sampled_from((1, 2, 4)),
    trouble=st.sampled_from(Trouble),
    after_s=AFTER_S,
)
def test_one_bad_token_costs_no_request(seed, stages, trouble, after_s):
    """The caller sees one whole answer whatever one token's way does to it."""

    def fail(world, route):
        world.targets.by_id[route[0]].troubles.append(trouble)

    assert play(seed, stages, after_s, fail) <= SILENT_BOUND_S


@pytest.mark.parametrize("left_out", [0, 1])
@pytest.mark.parametrize("drained", [0, 1])
def test_target_that_was_left_out_is_taken_back_when_no_other_is_left(
    left_out, drained
):
    """The caller gets its answer although the last trusted replica leaves.

    The path to one replica breaks until the replica is excluded for a while; then
    the path works again.  Before the exclusion ends, an operator drains a stage of
    the other zone's chain, of the same layers or of others: without a link the two
    zones can't form a chain together.  Trying the excluded replica costs less than
    refusing every request.
    """
    world = ServingWorld(1, 2, 2)
    broken, other = f"engine-{left_out}-0", f"engine-{drained}-1"
    world.targets.kill(broken)
    for _ in range(12):
        world.send(True, 2, 8.0, 0.0)
        world.loop.pass_time(0.2)
    world.targets.by_id[broken].alive = True
    world.drain(other)
    caller = world.send(True, 2, 8.0, 0.0)
    world.loop.pass_time(8.0)
    world.check()
    world.loop.close()
    assert caller.answer.is_ok(), caller.answer
