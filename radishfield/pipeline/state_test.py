"""Tests that only valid tokens of the current attempt are committed, once each."""

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


def route_of(split_points, version="1", name="e"):
    bounds = [0, *sorted(split_points), LAYERS]
    stages = tuple(
        Stage(f"{name}{first}", "", LayerRange(first, end))
        for first, end in zip(bounds, bounds[1:], strict=False)
    )
    return Route(stages, "m", version, LAYERS)


def token(position, attempt, route, finish=None):
    hops = tuple(Hop(stage.target_id, stage.layers) for stage in route.stages)
    receipt = Receipt("r", attempt, position, hops)
    return Token(position, f"w{position}", receipt, finish)


TWO_STAGES = route_of([6])
THREE_STAGES = route_of([4, 8], name="f")


@pytest.mark.parametrize(
    "ranges", [[(0, 6)], [(0, 6), (7, 12)], [(0, 7), (6, 12)], [(6, 12), (0, 6)], []]
)
def test_route_with_a_gap_or_an_overlap_is_rejected(ranges):
    stages = tuple(Stage("e", "", LayerRange(*each)) for each in ranges)
    state = PipelineState("r")
    assert state.start_attempt(1, Route(stages, "m", "1", LAYERS)).is_error()


def test_replan_never_continues_with_another_model_version():
    """Guards against an answer that mixes the output of two model versions.

    A stage crashes during the roll-out of a new version, and the next route uses the
    new version.  That route is rejected; a route of the old version is accepted.
    """
    state = PipelineState("r")
    assert state.start_attempt(1, TWO_STAGES).is_ok()
    refused = state.start_attempt(2, route_of([6], version="2"))
    assert refused.error.code == ResultCode.NO_TARGET
    assert state.start_attempt(2, THREE_STAGES).is_ok()
    assert state.start_attempt(2, THREE_STAGES).is_error()


def test_a_late_token_of_an_older_attempt_is_refused():
    """Guards against a word of the old route in the answer after a re-plan.

    A token of the first attempt is still in transit when the second attempt starts;
    both attempts send a token of the same position.
    """
    state = PipelineState("r")
    state.start_attempt(1, TWO_STAGES)
    assert state.commit(token(0, 1, TWO_STAGES)).is_ok()
    state.start_attempt(2, THREE_STAGES)
    assert state.commit(token(1, 1, TWO_STAGES)).error.code == ResultCode.BAD_RECEIPT
    assert state.commit(token(1, 2, TWO_STAGES)).is_error()
    assert state.commit(token(1, 2, THREE_STAGES)).is_ok()
    assert state.committed == ("w0", "w1")


def test_the_answer_ends_once_at_its_last_token_or_at_the_callers_limit():
    state = PipelineState("r", max_tokens=2)
    state.start_attempt(1, TWO_STAGES)
    batch = state.commit_batch(
        [token(position, 1, TWO_STAGES) for position in range(3)]
    )
    assert (len(batch.tokens), state.finish) == (2, "length")
    assert batch.problem.code == ResultCode.BAD_RECEIPT
    assert state.start_attempt(2, TWO_STAGES).is_error()


def corrupt(good, defect):
    receipt = good.receipt
    match defect:
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


DEFECTS = ["request", "attempt", "position", "receipt position", "short", "twice"]
EVENTS = st.lists(
    st.one_of(
        st.sampled_from([*DEFECTS, "order", "good", "again"]),
        st.sets(st.integers(1, LAYERS - 1), min_size=1, max_size=4),
    ),
    max_size=60,
)


@given(EVENTS, st.integers(1, 30))
def test_answer_has_each_position_once_in_order_for_any_tokens(events, limit):
    """Guards against corrupt, repeated or late tokens that change the answer.

    Re-plans on random routes are mixed with valid tokens and with tokens that have one
    defect; the state must equal a plain count of the valid ones.
    """
    state = PipelineState("r", limit)
    route, attempt, good = TWO_STAGES, 1, 0
    state.start_attempt(attempt, route)
    for event in events:
        if isinstance(event, set):
            attempt, route = attempt + 1, route_of(event)
            assert state.start_attempt(attempt, route).is_ok() == (good < limit)
            continue
        position = good - 1 if event == "again" else good
        result = state.commit(corrupt(token(position, attempt, route), event))
        expected = event == "good" and good < limit
        assert result.is_ok() == expected
        good += expected
    assert state.committed == tuple(f"w{position}" for position in range(good))
    assert (state.finish == "length") == (good == limit)
