"""Answers to reports and orders, which carry no id, beside bytes of other answers."""

import tracemalloc

import msgspec
import pytest
import trio

from radishfield.core import ResultCode
from radishfield.forwarding._connections import Outgoing, TargetConnections
from radishfield.forwarding._targets import Targets, order_status
from radishfield.forwarding.conftest import play
from radishfield.telemetry import DeferredTelemetry
from standins.routed_config import config, target_entry
from standins.scripted_targets import ScriptedTarget, answer_bytes

REPORT = msgspec.json.encode(
    {
        "busy": False,
        "seq": 3,
        "waiting": 0,
        "running": 0,
        "kvUsed": 0,
        "kvTotal": 1000,
        "layers": {"from": 0, "target": 40, "version": 1},
    }
)
ORDER = b'{"operation":"place"}'
NOTICES = {"Retry_After": "30", "Server_Limit": "0.01", "Server_Leaving": "1"}
CALLERS_PATH = "/read/x"


class TargetClient:
    """A client of one scripted target, with the view of a running router."""

    def __init__(self, view, target):
        self.view = view
        self.target = target
        self.calls, self.control = (TargetConnections(view.clock) for _ in range(2))
        self.targets = Targets(self.calls, self.control, view, DeferredTelemetry())

    @classmethod
    async def start(cls, testbed, answer):
        target = ScriptedTarget("t1", answer)
        await testbed.nursery.start(target.serve)
        testbed.plain.append(target)
        testbed.store.put("config", "main", config())
        testbed.store.put("servers", "t1", target_entry("pool", target.address))
        await testbed.start_router()
        return cls(testbed.router.view, target)

    @property
    def record(self):
        return self.view.directory.find("t1")

    async def call(self):
        """Send a caller's request whose connection is kept."""
        headers = [
            (b"host", self.target.address.encode()),
            (b"x-request-id", b"r1"),
        ]
        outgoing = Outgoing("GET", CALLERS_PATH.encode(), headers)
        sent = await self.calls.send(self.target.address, outgoing, fresh=False)
        assert sent.is_ok(), sent.error
        assert (await sent.ok.read()).is_ok()
        await sent.ok.close(reusable=True)
        return sent.ok.facts

    def assert_nothing_noted(self):
        """Check that neither a limit, a rest nor leaving of the target is believed."""
        record, now = self.record, self.view.clock.now()
        assert not self.view.rests.is_resting(record, now)
        assert self.view.limits.take([record], now)
        assert self.view.limits.take([record], now)
        assert self.view.directory.listed("pool") == [record]


def own_answer(request, **changes):
    """Return the answer that belongs to a request."""
    match request.path:
        case "/report":
            return answer_bytes(200, changes.get("report", REPORT))
        case "/order":
            return answer_bytes(409, b"{}")
    request_id = request.headers[b"x-request-id"].decode()
    return answer_bytes(200, b"answer", X_Request_Id=request_id)


def late_answer_before(path, late):
    """Return a script that sends an extra answer as a request to a path arrives.

    It is sent only on a connection that has answered a caller's request, as an answer
    to that one.
    """
    callers = set()

    def answer(request):
        if request.path == CALLERS_PATH:
            callers.add(request.connection)
        if request.path == path and request.connection in callers:
            return late + own_answer(request)
        return own_answer(request)

    return answer


@pytest.mark.parametrize("status", [200, 202])
def test_late_answer_to_a_request_is_not_taken_for_that_to_an_order(tmp_path, status):
    """Guards against an order that counts as carried out though it was refused."""

    async def scenario(testbed):
        late = answer_bytes(status, b"answer", X_Request_Id="r1")
        client = await TargetClient.start(testbed, late_answer_before("/order", late))
        await client.call()
        answer = await client.targets.order(client.record, ORDER)
        assert order_status(answer) == 409

    play(tmp_path, scenario)


def test_late_answer_to_a_request_is_not_taken_for_a_report(tmp_path):
    """Guards against notices of another answer that are believed of a target."""

    async def scenario(testbed):
        late = answer_bytes(503, b"{}", X_Not_Executed="1", **NOTICES)
        client = await TargetClient.start(testbed, late_answer_before("/report", late))
        await client.call()
        report = await client.targets.report(client.record)
        assert report.is_ok() and report.ok.order_count == 3
        client.assert_nothing_noted()

    play(tmp_path, scenario)


def test_late_report_is_not_taken_for_the_answer_to_a_request(tmp_path):
    """Guards against an answer without an id that refuses a request."""

    async def scenario(testbed):
        reported = set()

        def answer(request):
            if request.path == "/report":
                reported.add(request.connection)
            elif request.connection in reported:
                return answer_bytes(503, b"{}", X_Not_Executed="1")
            return own_answer(request)

        client = await TargetClient.start(testbed, answer)
        assert (await client.targets.report(client.record)).is_ok()
        assert (await client.call()).status == 200

    play(tmp_path, scenario)


@pytest.mark.parametrize("status", [200, 202, 409, 503])
@pytest.mark.parametrize("path", ["/report", "/order"])
def test_answer_with_the_id_of_a_request_proves_nothing(tmp_path, path, status):
    """Guards against a report or an order answered by the bytes of a request."""

    async def scenario(testbed):
        def answer(request):
            if request.path == path:
                return answer_bytes(status, REPORT, X_Request_Id="r1", **NOTICES)
            return own_answer(request)

        client = await TargetClient.start(testbed, answer)
        if path == "/report":
            result = await client.targets.report(client.record)
        else:
            result = await client.targets.order(client.record, ORDER)
        assert result.is_error()
        assert result.error.code is ResultCode.STREAM_BROKEN
        client.assert_nothing_noted()

    play(tmp_path, scenario)


@pytest.mark.parametrize("body", [b"answer", b"{}", b"[]", b"null", REPORT[:-1]])
def test_notices_beside_a_report_that_does_not_decode_are_not_believed(tmp_path, body):
    """Guards against bytes that are no report and still rest or limit a target."""

    async def scenario(testbed):
        def answer(request):
            return answer_bytes(200, body, **NOTICES)

        client = await TargetClient.start(testbed, answer)
        report = await client.targets.report(client.record)
        assert report.error.code is ResultCode.MALFORMED_ANSWER
        client.assert_nothing_noted()

    play(tmp_path, scenario)


def test_notices_of_a_truncated_refusal_are_not_believed(tmp_path):
    """Guards against a rest that half an answer asks for."""

    async def scenario(testbed):
        def answer(request):
            testbed.nursery.start_soon(client.target.streams[-1].aclose)
            return answer_bytes(503, b"refused", **NOTICES)[:-3]

        client = await TargetClient.start(testbed, answer)
        report = await client.targets.report(client.record)
        assert report.error.code is ResultCode.ANSWER_TRUNCATED
        client.assert_nothing_noted()

    play(tmp_path, scenario)


def test_reports_share_connections_and_orders_do_not(tmp_path):
    """Guards against a new connection for each report."""

    async def scenario(testbed):
        client = await TargetClient.start(testbed, own_answer)
        for _ in range(3):
            assert (await client.targets.report(client.record)).is_ok()
            await client.targets.order(client.record, ORDER)
        reports = client.target.connections_of("/report")
        orders = client.target.connections_of("/order")
        assert len(set(reports)) == 1
        assert len(set(orders)) == 3 and not set(orders) & set(reports)

    play(tmp_path, scenario)


FILLER = b"x" * (16 << 20)
HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
ENDLESS_BY_NAME = {
    "no-head": FILLER,
    "one-field": HEAD + b"X-Filler: " + FILLER,
    "fields": HEAD + b"X-Filler: x\r\n" * (1 << 20),
    "informational-answers": b"HTTP/1.1 103 Early Hints\r\n\r\n" * (1 << 19),
    "announced": HEAD + b"Content-Length: %d\r\n\r\n" % (64 << 20) + FILLER,
    "chunks": CHUNKED + (b"10000\r\n" + bytes(64 << 10) + b"\r\n") * 256,
    "chunks-of-two-bytes": CHUNKED + b"2\r\nxx\r\n" * (1 << 20),
    "size-of-a-chunk": CHUNKED + b"0" * (16 << 20),
    "trailers": CHUNKED + b"0\r\n" + b"X-Filler: x\r\n" * (1 << 20),
}
MAX_HELD_BYTES = 12 << 20
"""An answer of 8 MiB, and what the libraries take beside it."""
GIVEN_UP_S = 5.0


@pytest.mark.parametrize("name", ENDLESS_BY_NAME)
@pytest.mark.parametrize("path", ["/report", "/order"])
def test_answer_without_end_to_a_report_or_an_order_is_given_up(tmp_path, path, name):
    """Guards against a host that keeps all that a faulty target sends."""

    def answer(request):
        if request.path == path:
            return ENDLESS_BY_NAME[name]
        return own_answer(request)

    async def scenario(testbed):
        client = await TargetClient.start(testbed, answer)
        tracemalloc.start()
        try:
            with trio.fail_after(GIVEN_UP_S):
                if path == "/order":
                    asked = await client.targets.order(client.record, ORDER)
                else:
                    asked = await client.targets.report(client.record)
            _, held_bytes = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        assert asked.is_error()
        assert held_bytes <= MAX_HELD_BYTES

    play(tmp_path, scenario)
