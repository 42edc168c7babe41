"""Tests of the outcome that each failure of a target proves for a request."""

import socket
from contextlib import ExitStack, asynccontextmanager
from dataclasses import replace

import msgspec
import pytest
import trio
from expression import Result
from hypothesis import given, settings
from hypothesis import strategies as st

from radishfield.core import (
    Hop,
    LayerRange,
    Outcome,
    Profile,
    Receipt,
    ResultCode,
    Route,
    ServiceRequest,
    StreamStart,
    Target,
    TargetOrder,
    Token,
    TrioClock,
)
from radishfield.edges import EngineTargets, TargetTimeouts, targets_for
from radishfield.edges import _target_stream as stream_module
from radishfield.edges._target_stream import TokenLines

SHORT_TIMEOUTS = TargetTimeouts(first_token_s=0.2, idle_s=0.1, control_s=0.3)
STREAM_START = StreamStart("r", 1, Route(()), "hello", (), 4, 5.0)
ORDER = TargetOrder("load-layers", "", 7, 1.0)


def token_line(position, finish=None):
    receipt = Receipt("r", 1, position, (Hop("e", LayerRange(0, 4)),))
    return msgspec.json.encode(Token(position, "word", receipt, finish)) + b"\n"


def head(status=200, *headers, exchange=1):
    lines = [f"HTTP/1.1 {status} X", f"x-exchange: {exchange}", *headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def chunked(*parts, end=True):
    body = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts)
    return body + (b"0\r\n\r\n" if end else b"")


def sized(body, status=200, *headers, exchange=1):
    return head(status, f"content-length: {len(body)}", *headers, exchange=exchange) + (
        body
    )


class ScriptedServer:
    """A TCP server that answers each request with the next scripted bytes."""

    __slots__ = ("answers", "requests", "hold", "target")

    def __init__(self, answers, hold):
        self.answers = list(answers)
        self.requests = []
        self.hold = hold
        self.target = None

    async def serve(self, stream):
        async with stream:
            while data := await _read_request(stream):
                self.requests.append(data)
                if self.answers:
                    await stream.send_all(self.answers.pop(0))
                if self.hold:
                    await trio.sleep_forever()
                if not self.answers:
                    return


async def _read_request(stream):
    data = b""
    while b"\r\n\r\n" not in data:
        chunk = await stream.receive_some()
        if not chunk:
            return b""
        data += chunk
    return data


@asynccontextmanager
async def scripted_server(*answers, hold=False):
    server = ScriptedServer(answers, hold)
    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(
            lambda task_status: trio.serve_tcp(
                server.serve, 0, host="127.0.0.1", task_status=task_status
            )
        )
        port = listeners[0].socket.getsockname()[1]
        server.target = Target("e", "h", "z", f"127.0.0.1:{port}")
        yield server
        nursery.cancel_scope.cancel()


async def read_all(targets, target):
    """Return the token positions, and the fault that ended the stream, if any."""
    positions = []
    async with targets.open_stream(target, STREAM_START) as opened:
        if opened.is_error():
            return positions, opened.error
        while True:
            match await opened.ok.next_token():
                case Result(tag="error", error=problem):
                    return positions, problem
                case Result(tag="ok", ok=token):
                    positions.append(token.position)
                    if token.finish:
                        return positions, None


def run_stream(*answers, hold=False):
    async def main():
        async with scripted_server(*answers, hold=hold) as server:
            targets = EngineTargets(SHORT_TIMEOUTS)
            positions, problem = await read_all(targets, server.target)
            return positions, problem, len(server.requests)

    return trio.run(main)


def test_a_complete_stream_is_read_to_its_last_token():
    answer = head(200, "transfer-encoding: chunked") + chunked(
        token_line(0) + token_line(1)[:9], token_line(1)[9:], token_line(2, "stop")
    )
    assert run_stream(answer) == ([0, 1, 2], None, 1)


CHUNKED = "transfer-encoding: chunked"
ERROR_LINE = b'{"error_code":4006,"detail":"peer died","target_id":"e2"}\n'
LONG_LINE = b"x" * (stream_module.MAX_LINE_BYTES + 1)


@pytest.mark.parametrize(
    ("answer", "hold", "positions", "code", "outcome"),
    [
        # The connection closes before the answer starts.
        (b"", False, [], ResultCode.STREAM_BROKEN, Outcome.UNKNOWN),
        # The body ends properly, but without a last token.
        (
            head(200, CHUNKED) + chunked(token_line(0)),
            False,
            [0],
            ResultCode.ANSWER_TRUNCATED,
            Outcome.UNKNOWN,
        ),
        # The connection closes within the body.
        (
            head(200, CHUNKED) + chunked(token_line(0), end=False),
            False,
            [0],
            ResultCode.STREAM_BROKEN,
            Outcome.UNKNOWN,
        ),
        # The connection stays open but stalls after a token.
        (
            head(200, CHUNKED) + chunked(token_line(0), end=False),
            True,
            [0],
            ResultCode.STREAM_SILENT,
            Outcome.UNKNOWN,
        ),
        (
            head(200, CHUNKED) + chunked(b"nonsense\n"),
            False,
            [],
            ResultCode.MALFORMED_ANSWER,
            Outcome.UNKNOWN,
        ),
        (
            head(200, CHUNKED) + chunked(LONG_LINE, end=False),
            True,
            [],
            ResultCode.MALFORMED_ANSWER,
            Outcome.UNKNOWN,
        ),
        (b"SSH-2.0-x\r\n\r\n", False, [], ResultCode.MALFORMED_ANSWER, Outcome.UNKNOWN),
        (
            sized(b"{}", 503, "x-not-started: true", "retry-after: 3"),
            False,
            [],
            ResultCode.TARGET_REFUSED,
            Outcome.NOT_RUN,
        ),
        # A refusal without the target's own "not started" header proves nothing.
        (sized(b"{}", 503), False, [], ResultCode.TARGET_ERROR, Outcome.UNKNOWN),
        (sized(b"{}", 500), False, [], ResultCode.TARGET_ERROR, Outcome.UNKNOWN),
        (
            sized(b"", 200, exchange=99),
            False,
            [],
            ResultCode.MALFORMED_ANSWER,
            Outcome.UNKNOWN,
        ),
    ],
)
def test_each_failure_of_a_stream_has_its_code_and_is_sent_once(
    answer, hold, positions, code, outcome
):
    """The caller gets a result code with the correct outcome.

    The engine fails in one way after the request was sent.  Only its own refusal
    before the start is "not run", and nothing is sent twice.
    """
    seen, problem, requests = run_stream(answer, hold=hold)
    assert (seen, problem.code, problem.outcome) == (positions, code, outcome)
    assert requests == 1


def test_an_error_line_names_the_stage_at_fault_after_the_good_tokens():
    answer = head(200, CHUNKED) + chunked(token_line(0) + ERROR_LINE)
    positions, problem, _ = run_stream(answer)
    assert positions == [0]
    assert (problem.code, problem.target_id) == (ResultCode.STAGE_FAILED, "e2")


def test_refused_connection_is_not_run_but_unknown_for_a_reopened_attempt():
    async def main():
        target = Target("e", "h", "z", "127.0.0.1:1")
        targets = EngineTargets(SHORT_TIMEOUTS)
        _, problem = await read_all(targets, target)
        assert problem.code == ResultCode.CONNECT_FAILED
        assert problem.outcome == Outcome.NOT_RUN
        async with targets.reopen_stream(target, "r", 1, 3) as opened:
            assert opened.error.outcome == Outcome.UNKNOWN

    trio.run(main)


def test_connection_time_out_on_reopen_is_silence_and_not_a_refusal():
    """An attempt does not count as ended while its target is only stalled.

    The target's queue of connections is full, as when the target is stopped or this
    host's link is down.  The new connection is not refused, so nothing proves that
    the attempt has ended.
    """

    async def main():
        with socket.socket() as listener, ExitStack() as stack:
            listener.bind(("127.0.0.1", 0))
            listener.listen(0)
            for _ in range(4):
                backlog_socket = stack.enter_context(socket.socket())
                backlog_socket.setblocking(False)
                backlog_socket.connect_ex(listener.getsockname())
            port = listener.getsockname()[1]
            target = Target("e", "h", "z", f"127.0.0.1:{port}")
            targets = EngineTargets(replace(SHORT_TIMEOUTS, connect_s=0.1))
            async with targets.reopen_stream(target, "r", 1, 3) as opened:
                assert opened.error.code == ResultCode.STREAM_SILENT
                assert opened.error.outcome == Outcome.UNKNOWN

    trio.run(main)


def test_slow_prefill_does_not_count_as_a_stalled_stream():
    """The caller gets the answer although the first token is slow.

    The engine sends the headers at once and the first token later than the limit
    between tokens, because it first processes the complete prompt.
    """

    async def slow(stream):
        await _read_request(stream)
        await stream.send_all(head(200, CHUNKED))
        await trio.sleep(0.3)
        await stream.send_all(chunked(token_line(0, "stop")))

    async def main():
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(trio.serve_tcp, slow, 0)
            port = listeners[0].socket.getsockname()[1]
            target = Target("e", "h", "z", f"127.0.0.1:{port}")
            targets = EngineTargets(TargetTimeouts(first_token_s=5.0, idle_s=0.05))
            assert await read_all(targets, target) == ([0], None)
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_bytes_left_over_from_an_earlier_answer_are_rejected():
    """An order does not count as done because of an earlier order's answer.

    The engine sends its answer twice on one pooled connection.  The second copy
    stays in the parser and would answer the next order, which the engine refuses;
    that refusal would go unread.
    """
    done = sized(b'{"fencing":7}')
    refused = sized(b'{"error_code":7008}', 409, exchange=2)

    async def main():
        async with scripted_server(done + done, refused, refused) as server:
            targets = EngineTargets(SHORT_TIMEOUTS)
            first = await targets.order(server.target, ORDER)
            second = await targets.order(server.target, ORDER)
            assert first.is_ok()
            assert second.error.code == ResultCode.MALFORMED_ANSWER

    trio.run(main)


def test_an_order_with_an_old_fencing_number_is_refused_by_its_code():
    async def main():
        async with scripted_server(sized(b'{"error_code":7008}', 409)) as server:
            refused = await EngineTargets(SHORT_TIMEOUTS).order(server.target, ORDER)
            assert refused.error.code == ResultCode.ORDER_FENCED

    trio.run(main)


def service_request(deadline, headers=(), path="/lookup"):
    profile = Profile("p", "")
    return ServiceRequest(
        "r", "w", profile, "POST", path, b"body", 0.0, deadline, headers
    )


def run_call(*answers, hold=False, budget_s=1.0, headers=(), path="/lookup"):
    async def main():
        async with scripted_server(*answers, hold=hold) as server:
            request = service_request(trio.current_time() + budget_s, headers, path)
            targets = EngineTargets(SHORT_TIMEOUTS, TrioClock())
            return await targets.call(server.target, request), server.requests

    return trio.run(main)


def test_a_call_forwards_safe_headers_but_not_the_callers_credentials():
    headers = (
        ("Authorization", "Bearer secret"),
        ("accept", "text/plain"),
        ("content-length", "99"),
    )
    answer, requests = run_call(sized(b"found", 404, "x-a: b"), headers=headers)
    assert (answer.ok.status, answer.ok.body) == (404, b"found")
    assert ("x-a", "b") in answer.ok.headers
    assert b"secret" not in requests[0]
    assert b"accept: text/plain" in requests[0]


@pytest.mark.parametrize(
    ("answers", "settings_", "code", "outcome"),
    [
        ((b"",), {}, ResultCode.STREAM_BROKEN, Outcome.UNKNOWN),
        ((), {"hold": True}, ResultCode.DEADLINE_PASSED, Outcome.UNKNOWN),
        ((), {"budget_s": -1}, ResultCode.DEADLINE_PASSED, Outcome.NOT_RUN),
        ((), {"path": "/a b"}, ResultCode.BAD_HEADER, Outcome.NOT_RUN),
        (
            (sized(b"", 503, "x-not-started: true"),),
            {},
            ResultCode.TARGET_REFUSED,
            Outcome.NOT_RUN,
        ),
        (
            (head(200, CHUNKED) + chunked(b"half", end=False),),
            {},
            ResultCode.STREAM_BROKEN,
            Outcome.UNKNOWN,
        ),
        (
            (sized(bytes(5 << 20)),),
            {},
            ResultCode.ANSWER_TOO_LARGE,
            Outcome.UNKNOWN,
        ),
    ],
)
def test_each_failure_of_a_call_has_its_code_and_is_sent_at_most_once(
    answers, settings_, code, outcome
):
    """The caller of a call that may not be retried can rely on "not run".

    The service fails before, while or after it accepts the call.  The outcome of a
    call that may have reached it is unknown, and nothing is sent a second time.
    """
    answer, requests = run_call(*answers, **{"budget_s": 0.3, **settings_})
    assert (answer.error.code, answer.error.outcome) == (code, outcome)
    assert len(requests) <= 1


def test_protocols_are_found_by_name():
    port = targets_for("lines-http", SHORT_TIMEOUTS, TrioClock())
    assert isinstance(port.ok, EngineTargets)
    assert (
        targets_for("x", SHORT_TIMEOUTS, TrioClock()).error.code
        == ResultCode.SETTING_RANGE
    )


class FakeResponse:
    __slots__ = ("chunks",)

    def __init__(self, chunks):
        self.chunks = chunks

    async def aiter_stream(self):
        for chunk in self.chunks:
            yield chunk


@settings(max_examples=200, deadline=None)
@given(
    st.lists(st.integers(1, 60), max_size=40),
    st.integers(0, 400),
    st.binary(max_size=80),
)
def test_garbage_after_valid_tokens_neither_adds_a_token_nor_finishes(
    chunk_sizes, good_length, garbage
):
    """Valid tokens are kept however the engine's bytes are split or corrupted.

    Two valid lines and a corrupted rest arrive in chunks of any size.  The reader
    yields a prefix of the valid tokens, then one fault, and never a complete answer.
    """
    valid_bytes = (token_line(0) + token_line(1))[:good_length]
    data = valid_bytes + b"\xff" + garbage
    chunks, rest = [], data
    for size in chunk_sizes:
        chunks.append(rest[:size])
        rest = rest[size:]
    lines = TokenLines(FakeResponse([*chunks, rest]), SHORT_TIMEOUTS)

    async def main():
        positions = []
        for _ in range(5):
            match await lines.next_tokens():
                case Result(tag="error", error=problem):
                    return positions, problem
                case Result(tag="ok", ok=tokens):
                    positions.extend(token.position for token in tokens)

    positions, problem = trio.run(main)
    assert positions == [0, 1][: valid_bytes.count(b"\n")]
    assert problem.outcome == Outcome.UNKNOWN
