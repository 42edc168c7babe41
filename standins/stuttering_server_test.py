"""Tests of the stand-in that answers requests twice."""

import random

import pytest
import trio

from standins.routed_targets import PlainTarget
from standins.stuttering_server import Habits, StutteringServer

REQUEST = (
    b"GET /x HTTP/1.1\r\nHost: h\r\nX-Expect-Instance: p1\r\nX-Request-Id: r1\r\n\r\n"
)
READ_S = 0.3


async def _ask(habits: Habits, seed: int) -> tuple[bytes, StutteringServer]:
    """Return the bytes that follow one request, and the server."""
    target = PlainTarget("p1", names_requests=True)
    server = StutteringServer("p1", target, random.Random(seed), habits)
    received = bytearray()
    async with trio.open_nursery() as nursery:
        address = await nursery.start(server.serve)
        host, _, port = address.rpartition(":")
        stream = await trio.open_tcp_stream(host, int(port))
        await stream.send_all(REQUEST)
        with trio.move_on_after(READ_S):
            while chunk := await stream.receive_some():
                received += chunk
        nursery.cancel_scope.cancel()
    return bytes(received), server


def test_server_without_habits_answers_once():
    """Guards against a stand-in that spoils the answers which count as sound."""
    sent, server = trio.run(_ask, Habits(0.0, 0.0, 0.0, 0.0, 0.0), 1)
    (run,) = server.runs_by_request["r1"]
    assert sent.count(b"HTTP/1.1") == 1
    assert sent.endswith(b"\r\n\r\nanswer of p1 to r1")
    assert (run.status, run.stamp, run.whole, run.spoiled) == (200, b"p1", True, False)


def test_second_answers_come_whole_and_cut():
    """Guards against a stand-in that tears all its second answers, or none."""
    extra = set()
    for seed in range(12):
        sent, server = trio.run(_ask, Habits(1.0, 0.0, 0.0, 0.0, 0.0), seed)
        assert server.doubled == 1
        extra.add(sent.partition(b"answer of p1 to r1")[2])
    assert any(b"\r\n\r\n" in second for second in extra)
    assert any(second and b"\r\n\r\n" not in second for second in extra)


@pytest.mark.parametrize(
    ("habits", "status", "spoiled"),
    [
        (Habits(0.0, 1.0, 0.0, 0.0, 0.0), 500, False),
        (Habits(0.0, 0.0, 1.0, 0.0, 0.0), 200, False),
        (Habits(0.0, 0.0, 0.0, 1.0, 0.0), 200, True),
    ],
)
def test_habits_show_in_the_recorded_run(habits, status, spoiled):
    """Guards against a record of runs that does not say what was sent."""
    sent, server = trio.run(_ask, habits, 1)
    (run,) = server.runs_by_request["r1"]
    assert (run.status, run.spoiled) == (status, spoiled)
    assert sent.endswith(run.body) is not spoiled
