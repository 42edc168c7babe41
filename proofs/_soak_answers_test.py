"""Tests of the comparison of callers' answers with those of targets."""

import pytest

from proofs._soak_answers import AnswerLog, Received
from proofs._soak_judge import FaultLog
from standins.stuttering_server import Run

OWN = Run("p1", 200, b"p1", b"answer of p1 to r1", whole=True)
FAILED = Run("p1", 500, b"p1", b"answer of p1 to r1", whole=True)
SPOILED = Run("p1", 200, b"p1", b"answer of p1 to r1", whole=True, spoiled=True)


def _judge(runs: list[Run], status: int, stamp=b"p1", body=OWN.body) -> list[str]:
    log = AnswerLog()
    log.record(Received("r1", "read", "router-1", 1.0, 2.0, status, stamp, body, True))
    return list(log.find_violations({"r1": runs}, FaultLog()))


@pytest.mark.parametrize(
    ("runs", "status", "stamp"),
    [
        ([OWN], 200, b"p1"),
        ([FAILED, OWN], 200, b"p1"),
        ([FAILED], 500, b"p1"),
        ([SPOILED], 502, b""),
        ([], 503, b""),
    ],
)
def test_answers_of_own_runs_and_failures_of_spoiled_ones_are_accepted(
    runs, status, stamp
):
    """Guards against a judge that blames what targets broke."""
    assert _judge(runs, status, stamp) == []


@pytest.mark.parametrize(
    ("runs", "status", "stamp", "body"),
    [
        ([FAILED], 200, b"p1", OWN.body),
        ([], 200, b"p1", OWN.body),
        ([OWN], 200, b"p2", OWN.body),
        ([OWN], 200, b"p1", b"answer of p1 to r2"),
        ([OWN], 503, b"p1", b""),
        ([OWN], 502, b"", b""),
    ],
)
def test_answers_that_no_run_gave_and_lost_ones_are_found(runs, status, stamp, body):
    """Guards against a judge that misses a mixed or a lost answer."""
    assert _judge(runs, status, stamp, body)
