"""Tests that only whole tokens of the current attempt are committed, once each."""

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from radishfield.core import (
    Hop,
    LayerRange,
    Receipt,
    ResultCode,
    Route,
    Stage,
    Token,
)
from radishfield.pipeline import PipelineState

LAYERS = 12


def route_of(cuts, version="1", name="e"):
    bounds = [0, *sorted(cuts), LAYERS]
    stages = tuple(
        Stage(f"{name}{first}", "", LayerRange(first, end))
        for first, end in zip(bounds, bounds[1:], strict=False)
    )
    return Route(stages, "m", version, LAYERS)


def token(position, attempt, route, finish=None):
    hops = tuple(Hop(stage.target_id, stage.layers) for stage in route.stages)
    receipt = Receipt("r", attempt, position, hops)
    return Token(position, f"w{position}", receipt, finish)


TWO = route_of([6])
THREE = route_of([4, 8], name="f")


@pytest.mark.parametrize(
    "ranges", [[(0, 6)], [(0, 6), (7, 12)], [(0, 7), (6, 12)], [(6, 12), (0, 6)], []]
)
def test_a_route_with_a_gap_or_an_overlap_is_no_attempt(ranges):
    stages = tuple(Stage("e", "", LayerRange(*each)) for each in ranges)
    state = PipelineState("r")
    assert state.start_attempt(1, Route(stages, "m", "1", LAYERS)).is_error()


def test_a_new_plan_never_goes_on_with_another_model_version():
    """The caller never gets half a sentence from each of two versions.

    A stage dies while a new version is being rolled out, and the next route
    holds the new one.  It is refused; a route of the old version is taken.
    """
    state = PipelineState("r")
    assert state.start_attempt(1, TWO).is_ok()
    refused = state.start_attempt(2, route_of([6], version="2"))
    assert refused.error.code == ResultCode.NO_TARGET
    assert state.start_attempt(2, THREE).is_ok()
    assert state.start_attempt(2, THREE).is_error()


def test_a_late_token_of_an_older_attempt_is_refused():
    """A word of the old route never enters the answer after a re-plan.

    The first attempt's token is still on its way when the second begins; both
    carry the same position.
    """
    state = PipelineState("r")
    state.start_attempt(1, TWO)
    assert state.commit(token(0, 1, TWO)).is_ok()
    state.start_attempt(2, THREE)
    assert state.commit(token(1, 1, TWO)).error.code == ResultCode.BAD_RECEIPT
    assert state.commit(token(1, 2, TWO)).is_error()
    assert state.commit(token(1, 2, THREE)).is_ok()
    assert state.committed == ("w0", "w1")


def test_the_answer_ends_once_at_its_last_token_or_at_the_callers_limit():
    state = PipelineState("r", max_tokens=2)
    state.start_attempt(1, TWO)
    batch = state.commit_batch([token(position, 1, TWO) for position in range(3)])
    assert (len(batch.tokens), state.finish) == (2, "length")
    assert batch.problem.code == ResultCode.BAD_RECEIPT
    assert state.start_attempt(2, TWO).is_error()


def spoil(good, kind):
    receipt = good.receipt
    match kind:
        case "request":
            return replace(good, receipt=replace(receipt, request_id="other"))
        case "attempt":
            return replace(good, receipt=replace(receipt, attempt=receipt.attempt - 1))
        case "position":
            return replace(good, position=good.position + 1)
        case "receipt position":
            return replace(good, receipt=replace(receipt, position=good.position + 1))
        case "short":
            return replace(good, receipt=replace(receipt, hops=receipt.hops[:-1]))
        case "twice":
            hops = (*receipt.hops, receipt.hops[-1])
            return replace(good, receipt=replace(receipt, hops=hops))
        case "order":
            return replace(good, receipt=replace(receipt, hops=receipt.hops[::-1]))
    return good


KINDS = ["request", "attempt", "position", "receipt position", "short", "twice"]
EVENTS = st.lists(
    st.one_of(
        st.sampled_from([*KINDS, "order", "good", "again"]),
        st.sets(st.integers(1, LAYERS - 1), min_size=1, max_size=4),
    ),
    max_size=60,
)


@given(EVENTS, st.integers(1, 30))
def test_whatever_arrives_the_answer_has_each_position_once_in_order(events, limit):
    """Spoilt, repeated and late tokens never change the answer.

    Re-plans on routes at random are mixed with good tokens and with tokens
    that are wrong in one place; the state must equal a plain count of the good.
    """
    state = PipelineState("r", limit)
    route, attempt, good = TWO, 1, 0
    state.start_attempt(attempt, route)
    for event in events:
        if isinstance(event, set):
            attempt, route = attempt + 1, route_of(event)
            assert state.start_attempt(attempt, route).is_ok() == (good < limit)
            continue
        position = good - 1 if event == "again" else good
        result = state.commit(spoil(token(position, attempt, route), event))
        taken = event == "good" and good < limit
        assert result.is_ok() == taken
        good += taken
    assert state.committed == tuple(f"w{position}" for position in range(good))
    assert (state.finish == "length") == (good == limit)
