"""Tests of the reader that delimits answers."""

import httpcore
import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st

from radishfield.web import (
    AnswerFraming,
    FramedStream,
    MalformedAnswerError,
    UnusableConnectionError,
)

SINGLE = frozenset({b"x-id", b"x-stamp"})
NEXT = (
    b"HTTP/1.1 500 Internal Server Error\r\n"
    b"X-Id: two\r\nX-Stamp: s2\r\nContent-Length: 3\r\n\r\nbad"
)
LATE_HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Id: one\r\nX-Stamp: s1\r\nX-Any: \r\n"
    b"Content-Type: text/plain\r\n"
)
WHOLE = [
    LATE_HEAD + b"Content-Length: 4\r\n\r\ngood",
    LATE_HEAD + b"Content-Length: 0\r\n\r\n",
    LATE_HEAD + b"Transfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n",
    LATE_HEAD + b"Transfer-Encoding: chunked\r\n\r\nA\r\n0123456789\r\n1\r\nx\r\n"
    b"0\r\nX-Sum: 1\r\n\r\n",
    b"HTTP/1.1 103 Early Hints\r\nX-Id: zero\r\n\r\n"
    + LATE_HEAD
    + b"Content-Length: 4\r\n\r\ngood",
    b"HTTP/1.1 204 \r\nX-Id: one\r\n\r\n",
]
MALFORMED_HEADS = [
    b"\r\nHTTP/1.1 200 OK\r\n\r\n",
    b"HTTP/1.1 200 OK\n\n",
    b"HTTP/1.1 200 OK\r\nA: b\n\r\n",
    b"HTTP/1.1 200 OK\r\nA: b\rc\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nA: b\x00\r\n\r\n",
    b"HTTP/1.1 200 OK\x07\r\n\r\n",
    b"HTTP/1.1 200\r\n\r\n",
    b"HTTP/1.1 20 OK\r\n\r\n",
    b"HTTP/1.1 200 HTTP/1.1 500 No\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nA: HTTP/1.1 500 No\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nA: xHTTP/1.0 500\r\n\r\n",
    b"HTTP/2.0 200 OK\r\n\r\n",
    b"HTTP/1.1 101 Switching\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nA : b\r\n\r\n",
    b"HTTP/1.1 200 OK\r\n: b\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nno colon\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nX-Id: a\r\nX-ID: b\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 1, 1\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: +1\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: \r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
    b"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    b"HTTP/1.1 200 OK\r\n" + b"A: b\r\n" * 201 + b"\r\n",
    b"HTTP/1.1 200 OK\r\nA: " + b"b" * (64 << 10) + b"\r\n\r\n",
    b"HTTP/1.1 100 Continue\r\n\r\n" * 9,
]
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
MALFORMED_BODIES = [
    CHUNKED + b"4;a=b\r\ngood\r\n",
    CHUNKED + b"4\ngood\r\n",
    CHUNKED + b"+4\r\ngood\r\n",
    CHUNKED + b"\r\ngood\r\n",
    CHUNKED + b"4\r\ngoodHTTP/1.1",
    CHUNKED + b"4\r\ngood\r\nHTTP/1.1 500",
    CHUNKED + b"0\r\nHTTP/1.1 500 No\r\n\r\n",
    CHUNKED + b"0\r\nX-Id: two\r\n\r\n",
    CHUNKED + b"11111111111111111\r\n",
]


def read(pieces, method=b"GET"):
    framing = AnswerFraming(method, SINGLE)
    passed = b"".join(framing.feed(piece) for piece in pieces)
    outcome = (
        passed,
        framing.status,
        framing.complete,
        framing.surplus,
        bool(framing.problem),
    )
    return outcome, framing


def split(data, cuts):
    places = [0, *sorted(cut % (len(data) + 1) for cut in cuts), len(data)]
    return [data[a:b] for a, b in zip(places, places[1:], strict=False)]


@pytest.mark.parametrize("answer", WHOLE)
def test_whole_answer_passes_unchanged_and_nothing_after_it_does(answer):
    """Guards against bytes of the next answer that pass with this one."""
    outcome, framing = read([answer + NEXT])
    assert outcome == (answer, framing.status, True, len(NEXT), False)
    outcome, _ = read([answer[i : i + 1] for i in range(len(answer))] + [NEXT])
    assert outcome == (answer, framing.status, True, len(NEXT), False)


@pytest.mark.parametrize("answer", MALFORMED_HEADS)
def test_malformed_head_does_not_pass(answer):
    """Guards against lenient reading, in which a cut head and another become one."""
    informational = answer.startswith(b"HTTP/1.1 100")
    for pieces in ([answer], [answer[i : i + 1] for i in range(len(answer))]):
        outcome, framing = read(pieces)
        assert framing.problem and not framing.complete
        assert informational or outcome[0] == b""


@pytest.mark.parametrize("answer", MALFORMED_BODIES)
def test_malformed_chunk_ends_the_answer(answer):
    """Guards against another answer's head that is read as a chunk or trailer."""
    for pieces in ([answer], [answer[i : i + 1] for i in range(len(answer))]):
        _, framing = read(pieces)
        assert framing.problem and not framing.complete


@pytest.mark.parametrize("late", WHOLE)
def test_no_cut_answer_that_another_continues_is_one_answer(late):
    """Guards against a head or body that mixes two answers."""
    head = late[: late.index(b"\r\n\r\n", late.index(b"X-Id: one")) + 4]
    for cut in range(1, len(late)):
        (passed, status, complete, _, _), _ = read([late[:cut], NEXT])
        if status == 500:
            assert passed.endswith(b"\r\n\r\n" + NEXT), (cut, passed)
        elif complete:
            # Another answer may fill up a body that is cut, but no head.
            assert passed.startswith(head), (cut, passed)


def test_answer_without_body_ends_with_its_head():
    """Guards against a wait for the body of an answer that has none."""
    head = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"
    assert read([head], b"HEAD")[0] == (head, 200, True, 0, False)
    head = b"HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n"
    assert read([head])[0] == (head, 304, True, 0, False)


def test_answer_without_length_ends_with_its_connection():
    """Guards against a body without a length that counts as complete too early."""
    outcome, framing = read([b"HTTP/1.1 200 OK\r\n\r\n", b"abc"])
    assert not framing.complete and outcome[0].endswith(b"abc")
    framing.feed_end()
    assert framing.complete and not framing.problem
    _, framing = read([b"HTTP/1.1 200 OK\r\n"])
    framing.feed_end()
    assert framing.problem and not framing.complete


@given(
    first=st.sampled_from([*WHOLE, *MALFORMED_HEADS, *MALFORMED_BODIES]),
    cut=st.integers(0, 400),
    cuts=st.lists(st.integers(0, 2000), max_size=6),
)
def test_outcome_is_the_same_however_the_bytes_arrive(first, cut, cuts):
    """Guards against an answer that is judged by the size of reads."""
    data = first[: len(first) - cut % len(first)] + NEXT
    assert read(split(data, cuts))[0] == read([data])[0]


@given(
    first=st.sampled_from(WHOLE),
    start=st.integers(0, 400),
    end=st.integers(0, 400),
    cuts=st.lists(st.integers(0, 2000), max_size=4),
)
def test_no_piece_of_an_answer_before_another_changes_its_status(
    first, start, end, cuts
):
    """Guards against a success that is read where the answer was a failure."""
    start, end = sorted((start % (len(first) + 1), end % (len(first) + 1)))
    piece = first[start:end]
    (passed, status, complete, _, _), _ = read(split(piece + NEXT, cuts))
    if complete and status < 300:
        # The piece holds a whole head, which the request's id tells apart.
        head = passed.partition(b"\r\n\r\n")[0]
        assert b"X-Id: two" not in head and b"X-Stamp: s2" not in head


class ScriptedStream(httpcore.AsyncNetworkStream):
    """A connection that receives given bytes."""

    def __init__(self):
        self.arrived: list[bytes] = []
        self.written: list[bytes] = []

    async def read(self, max_bytes, timeout=None):
        return self.arrived.pop(0)

    async def write(self, buffer, timeout=None):
        self.written.append(buffer)

    async def aclose(self):
        pass

    def get_extra_info(self, info):
        return bool(self.arrived) if info == "is_readable" else None


ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


def test_connection_with_surplus_is_not_used_again():
    """Guards against bytes left over that begin the next answer."""

    async def main():
        raw = ScriptedStream()
        stream = FramedStream(raw)
        await stream.write(b"GET / HTTP/1.1\r\n\r\n")
        raw.arrived = [ANSWER + b"HTTP/1.1 200 "]
        assert await stream.read(100) == ANSWER
        assert stream.get_extra_info("is_readable")
        with pytest.raises(UnusableConnectionError):
            await stream.write(b"GET / HTTP/1.1\r\n\r\n")
        assert len(raw.written) == 1
        assert stream.surplus == len(b"HTTP/1.1 200 ")

    trio.run(main)


@pytest.mark.parametrize("arrived", [b"HTTP/1.1 200 ", b""])
def test_nothing_is_sent_over_a_connection_that_received_something(arrived):
    """Guards against bytes that arrive between two requests, or an end unnoticed."""

    async def main():
        raw = ScriptedStream()
        stream = FramedStream(raw)
        await stream.write(b"GET / HTTP/1.1\r\n\r\n")
        raw.arrived = [ANSWER]
        assert await stream.read(100) == ANSWER
        raw.arrived = [arrived]
        with pytest.raises(UnusableConnectionError):
            await stream.write(b"GET / HTTP/1.1\r\n\r\n")
        assert len(raw.written) == 1

    trio.run(main)


def test_bytes_before_the_first_request_are_no_answer():
    """Guards against a target that speaks before it is asked."""

    async def main():
        raw = ScriptedStream()
        raw.arrived = [ANSWER]
        with pytest.raises(MalformedAnswerError):
            await FramedStream(raw).write(b"GET / HTTP/1.1\r\n\r\n")
        assert not raw.written

    trio.run(main)


def test_body_of_a_request_continues_it():
    """Guards against a request's body that counts as the next request."""

    async def main():
        raw = ScriptedStream()
        stream = FramedStream(raw)
        for _ in range(2):
            await stream.write(b"POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\n")
            await stream.write(b"x")
            raw.arrived = [ANSWER[:20], ANSWER[20:]]
            assert await stream.read(100) == ANSWER[:-2] + b"ok"
        assert (stream.requests, stream.surplus) == (2, 0)

    trio.run(main)
