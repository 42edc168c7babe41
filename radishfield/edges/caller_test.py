"""Tests the callers' ASGI application with a scripted `Serving`."""

import json
from collections.abc import Callable
from dataclasses import dataclass, field

import pytest
import trio
import trio.testing
from expression import Error, Ok
from hypothesis import example, given, settings
from hypothesis import strategies as st

from radishfield.core import (
    Finished,
    Outcome,
    Priority,
    Profile,
    Receipt,
    ResultCode,
    ServiceAnswer,
    TargetKind,
    Token,
    TrioClock,
    fault,
)
from radishfield.edges import BodyLimit, CallerApp, CallerLimits
from radishfield.telemetry import Telemetry

CHAT = "/v1/chat/completions"
HELLO = {"model": "review", "messages": [{"role": "user", "content": "hello"}]}
PROFILES = {
    "review": Profile("review", "small", deadline_s=30.0),
    "portal": Profile("portal", "portal", TargetKind.SERVICE),
}


class Profiles:
    def find(self, name):
        if name in PROFILES:
            return Ok(PROFILES[name])
        return Error(fault(ResultCode.UNKNOWN_PROFILE, name))

    def names(self):
        return list(PROFILES)


class ScriptedServing:
    """Pushes tokens, then returns the given ending; records the requests."""

    def __init__(self, texts=("a", " b"), ending=None, pause_s=0.0):
        self.texts = texts
        self.ending = ending or Ok(Finished("length"))
        self.pause_s = pause_s
        self.requests = []
        self.cancelled = 0
        self.answer = Ok(ServiceAnswer(200, b"{}", (("content-type", "a/b"),)))

    async def generate(self, request, sink):
        self.requests.append(request)
        try:
            for position, text in enumerate(self.texts):
                receipt = Receipt(request.id, 1, position, ())
                await sink.push(Token(position, text, receipt))
                await trio.sleep(self.pause_s)
        except trio.Cancelled:
            self.cancelled += 1
            raise
        return self.ending

    async def call_service(self, request):
        self.requests.append(request)
        return self.answer


@dataclass
class Response:
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = False

    @property
    def json(self):
        return json.loads(self.body)

    @property
    def code(self):
        return ResultCode(self.json["error"]["code"])


async def exchange(
    app: CallerApp,
    path: str,
    body: object = b"",
    method: str = "POST",
    headers: dict[str, str] | None = None,
    disconnect_when: Callable[[Response], bool] | None = None,
) -> Response:
    """Send one request; the caller disconnects once ``disconnect_when`` is true."""
    body = body if isinstance(body, bytes) else json.dumps(body).encode()
    raw_path, _, query = path.encode().partition(b"?")
    scope = {
        "type": "http",
        "http_version": "1.1",
        "method": method,
        "path": raw_path.decode(),
        "raw_path": raw_path,
        "query_string": query,
        "headers": [(k.encode(), v.encode()) for k, v in (headers or {}).items()],
    }
    got = Response()
    disconnected = trio.Event()
    messages = [{"type": "http.request", "body": body, "more_body": False}]

    async def receive():
        if messages:
            return messages.pop()
        await disconnected.wait()
        return {"type": "http.disconnect"}

    async def send(message):
        if message["type"] == "http.response.start":
            got.status = message["status"]
            pairs = message["headers"]
            got.headers = {k.decode(): v.decode("latin-1") for k, v in pairs}
        else:
            got.body += message["body"]
            got.is_whole = not message["more_body"]
        if disconnect_when is not None and disconnect_when(got):
            disconnected.set()
        await trio.lowlevel.checkpoint()

    await app(scope, receive, send)
    return got


def ask(serving, path=CHAT, body=HELLO, app=None, **options) -> Response:
    app = app or CallerApp(serving, Profiles(), TrioClock())

    async def main():
        return await exchange(app, path, body, **options)

    return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def events(got):
    return [line[6:] for line in got.body.decode().split("\n\n") if line]


def test_complete_chat_answer_has_ids_outcome_and_usage():
    got = ask(ScriptedServing(), headers={"x-request-id": "mine"})
    assert got.json["choices"][0]["message"]["content"] == "a b"
    assert got.json["choices"][0]["finish_reason"] == "length"
    assert got.json["usage"]["completion_tokens"] == 2
    assert got.headers["x-request-id"] == "mine"
    assert got.headers["x-outcome"] == "finished"
    assert got.headers["x-result-code"] == "1000"


def test_same_caller_id_gets_distinct_request_ids():
    serving = ScriptedServing()
    for _ in range(2):
        ask(serving, headers={"x-request-id": "same"})
    assert len({request.id for request in serving.requests}) == 2


def test_stream_ends_with_reason_outcome_usage_and_done():
    body = HELLO | {"stream": True, "stream_options": {"include_usage": True}}
    got = ask(ScriptedServing(pause_s=0.1), body=body)
    *texts, last, usage, done = events(got)
    content = [json.loads(event)["choices"][0]["delta"]["content"] for event in texts]
    assert content == ["a", " b"]
    assert json.loads(last)["choices"][0]["finish_reason"] == "length"
    assert json.loads(last)["radishfield"] == {"outcome": "finished", "code": 1000}
    assert json.loads(usage)["usage"]["total_tokens"] == 3
    assert done == "[DONE]"
    assert got.is_whole


def test_tokens_buffered_together_are_sent_as_one_event():
    class BurstServing(ScriptedServing):
        async def generate(self, request, sink):
            receipt = Receipt(request.id, 1, 0, ())
            for position, text in enumerate(("0", " 1", " 2")):
                await sink.push(Token(position, text, receipt))
            return self.ending

    first, _, _ = events(ask(BurstServing(), body=HELLO | {"stream": True}))
    assert json.loads(first)["choices"][0]["delta"]["content"] == "0 1 2"


def test_failed_stream_is_not_marked_finished():
    """The caller receives an error event, and the connection is aborted.

    The request fails after two tokens are sent.  Neither a finish reason, nor
    [DONE], nor the closing chunk is sent, so a client cannot take the answer for
    complete.
    """
    broken = Error(fault(ResultCode.STREAM_BROKEN, "stage died"))
    got = ask(ScriptedServing(ending=broken, pause_s=0.1), body=HELLO | {"stream": 1})
    assert got.code is ResultCode.MALFORMED_BODY
    got = ask(
        ScriptedServing(ending=broken, pause_s=0.1), body=HELLO | {"stream": True}
    )
    error = json.loads(events(got)[-1])["error"]
    assert (error["code"], error["outcome"]) == (4003, "unknown")
    assert b"[DONE]" not in got.body and b'"finish_reason":"' not in got.body
    assert not got.is_whole


def test_refusal_before_first_token_is_not_streamed_and_sets_retry_after():
    refused = Error(fault(ResultCode.QUEUE_FULL, "full", retry_after_s=1.2004))
    got = ask(ScriptedServing((), refused), body=HELLO | {"stream": True})
    assert (got.status, got.code) == (503, ResultCode.QUEUE_FULL)
    assert got.headers["x-outcome"] == "not-run"
    assert got.headers["retry-after"] == "2"
    assert got.headers["retry-after-ms"] == "1201"
    assert got.headers["x-should-retry"] == "true"


def test_unknown_outcome_sets_should_retry_to_false():
    got = ask(ScriptedServing((), Error(fault(ResultCode.STREAM_BROKEN))))
    assert (got.status, got.headers["x-should-retry"]) == (502, "false")


def test_defect_returns_result_code_without_traceback():
    class FailingServing(ScriptedServing):
        async def generate(self, request, sink):
            raise ZeroDivisionError("secret place")

    got = ask(FailingServing())
    assert (got.status, got.code) == (500, ResultCode.INTERNAL)
    assert b"secret place" not in got.body


def test_caller_disconnect_cancels_its_request():
    serving = ScriptedServing(["word"] * 100, pause_s=1.0)
    ask(
        serving,
        body=HELLO | {"stream": True},
        disconnect_when=lambda got: b"word" in got.body,
    )
    assert serving.cancelled == 1


def test_hanging_dispatcher_is_cancelled_after_deadline():
    serving = ScriptedServing(["word"] * 100, pause_s=1.0)
    got = ask(serving, headers={"x-deadline-ms": "2500"})
    assert (got.status, got.code) == (504, ResultCode.DEADLINE_PASSED)
    assert got.json["error"]["outcome"] == Outcome.UNKNOWN


def test_headers_set_workspace_key_deadline_and_priority():
    serving = ScriptedServing()
    headers = {"x-workspace": "ripe:1", "idempotency-key": "k-1"}
    ask(serving, headers=headers | {"x-deadline-ms": "1500", "x-priority": "low"})
    ask(serving, headers={"x-deadline-ms": "3600000", "x-priority": "urgent"})
    first, second = serving.requests
    assert (first.workspace, first.idempotency_key) == ("ripe:1", "k-1")
    assert first.deadline - first.arrived == 1.5
    assert first.priority is Priority.LOW
    # A caller may lower the profile's limits but not raise them.
    assert second.deadline - second.arrived == 30.0
    assert second.priority is Priority.NORMAL


def test_digest_covers_fields_that_determine_the_answer():
    serving = ScriptedServing()
    reordered = dict(reversed(HELLO.items())) | {"stream": True, "user": "x"}
    for body in (HELLO, reordered, HELLO | {"max_tokens": 3}):
        ask(serving, body=body)
    first, second, third = (request.body_digest for request in serving.requests)
    assert first == second != third


def test_messages_but_the_last_are_shared_parts():
    """Guards against conversations that can't be told to share a crashing message."""
    served = []

    def parts_of(*contents):
        serving = ScriptedServing()
        messages = [{"role": "user", "content": content} for content in contents]
        ask(serving, body=HELLO | {"messages": messages})
        served.extend(serving.requests)
        return served[-1].shared_parts

    assert parts_of("only") == ()
    one, two = parts_of("a", "b", "c")
    assert parts_of("a", "c") == (one,)
    assert parts_of("b", "a") == (two,)


@pytest.mark.parametrize(
    ("path", "body", "headers", "status", "code"),
    [
        (CHAT, b"{", {}, 400, ResultCode.MALFORMED_BODY),
        (CHAT, b"\xff\xfe", {}, 400, ResultCode.MALFORMED_BODY),
        (CHAT, b'{"messages":' + b"[" * 9000, {}, 400, ResultCode.MALFORMED_BODY),
        (CHAT, HELLO | {"max_tokens": 0}, {}, 400, ResultCode.MALFORMED_BODY),
        (CHAT, HELLO | {"seed": 1 << 63}, {}, 400, ResultCode.MALFORMED_BODY),
        (CHAT, HELLO | {"messages": []}, {}, 400, ResultCode.MALFORMED_BODY),
        (CHAT, HELLO | {"tools": []}, {}, 400, ResultCode.UNSUPPORTED_FIELD),
        (CHAT, HELLO | {"model": "no"}, {}, 404, ResultCode.UNKNOWN_PROFILE),
        (CHAT, HELLO | {"model": "portal"}, {}, 400, ResultCode.WRONG_TARGET_KIND),
        (CHAT, b" " * 2000, {}, 413, ResultCode.BODY_TOO_LARGE),
        (CHAT, HELLO, {"x-deadline-ms": "0"}, 400, ResultCode.BAD_HEADER),
        (CHAT, HELLO, {"x-deadline-ms": "3600001"}, 400, ResultCode.BAD_HEADER),
        (CHAT, HELLO, {"x-priority": "top"}, 400, ResultCode.BAD_HEADER),
        (CHAT, HELLO, {"x-workspace": "a b"}, 400, ResultCode.BAD_HEADER),
        (CHAT, HELLO, {"idempotency-key": "k" * 129}, 400, ResultCode.BAD_HEADER),
        ("/v2/chat", HELLO, {}, 404, ResultCode.UNKNOWN_ROUTE),
        ("/v1/models", b"", {}, 405, ResultCode.METHOD_NOT_ALLOWED),
        ("/v1/services/portal/../x", b"", {}, 404, ResultCode.UNKNOWN_ROUTE),
        ("/v1/services/portal/%2e%2E%2fx", b"", {}, 404, ResultCode.UNKNOWN_ROUTE),
        ("/v1/services/review/x", b"", {}, 400, ResultCode.WRONG_TARGET_KIND),
    ],
)
def test_bad_input_is_refused_with_result_code(path, body, headers, status, code):
    serving = ScriptedServing()
    limits = CallerLimits(BodyLimit(max_bytes=1500 if body == b" " * 2000 else 1 << 20))
    app = CallerApp(serving, Profiles(), TrioClock(), limits)
    got = ask(serving, path, body, app, headers=headers)
    assert (got.status, got.code) == (status, code)
    assert got.headers["x-outcome"] == "not-run"
    assert "x-request-id" in got.headers
    assert not serving.requests


def test_body_that_arrives_too_slowly_is_refused():
    app = CallerApp(ScriptedServing(), Profiles(), TrioClock())
    sent = []

    async def receive():
        await trio.sleep(4)
        return {"type": "http.request", "body": b" ", "more_body": True}

    async def send(message):
        sent.append(message)

    scope = {"type": "http", "http_version": "1.1", "method": "POST", "path": CHAT}
    scope |= {"raw_path": CHAT.encode(), "query_string": b"", "headers": []}
    clock = trio.testing.MockClock(autojump_threshold=0)
    trio.run(app, scope, receive, send, clock=clock)
    assert sent[0]["status"] == 408


def test_service_call_forwards_path_and_only_safe_headers():
    serving = ScriptedServing()
    serving.answer = Ok(
        ServiceAnswer(
            201,
            b"made",
            (("Content-Type", "text/plain"), ("ETag", "1"), ("Set-Cookie", "a=b")),
        )
    )
    got = ask(
        serving,
        "/v1/services/portal/members/7%20a?x=1&y",
        b"raw",
        method="PUT",
        headers={"authorization": "Bearer x", "cookie": "c", "accept": "a/b"},
    )
    (request,) = serving.requests
    assert (request.method, request.path) == ("PUT", "/members/7%20a?x=1&y")
    assert (request.body, request.headers) == (b"raw", (("accept", "a/b"),))
    assert (got.status, got.body) == (201, b"made")
    assert (got.headers["etag"], got.headers["content-type"]) == ("1", "text/plain")
    assert "set-cookie" not in got.headers


def test_draining_host_fails_readiness_at_once_and_refuses_after_the_notice():
    """Callers see no failure while the balancer still sends requests to this host.

    Readiness fails at once.  New requests are accepted during the notice time and
    then refused with a retry time.  A stream in flight continues to its end.
    """
    serving = ScriptedServing(["word"] * 10, pause_s=1.0)
    limits = CallerLimits(notice_s=3.0)
    app = CallerApp(serving, Profiles(), TrioClock(), limits, Telemetry())
    got = {}

    async def run(name, after_s, path=CHAT, body=HELLO, method="POST"):
        await trio.sleep(after_s)
        got[name] = await exchange(app, path, body, method)

    async def main():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(run, "early", 0, CHAT, HELLO | {"stream": True})
            nursery.start_soon(run, "ready", 1.5, "/readyz", b"", "GET")
            nursery.start_soon(run, "live", 1.5, "/healthz", b"", "GET")
            nursery.start_soon(run, "noticed", 2)
            nursery.start_soon(run, "late", 5)
            await trio.sleep(1)
            app.start_draining()
            await app.wait_idle()
            assert app.in_flight == 0
            return trio.current_time()

    clock = trio.testing.MockClock(autojump_threshold=0)
    # The request sent at 2 s is the last to end.
    assert trio.run(main, clock=clock) == pytest.approx(12, abs=0.1)
    assert [got[name].status for name in ("ready", "live")] == [503, 200]
    assert got["early"].is_whole and b"[DONE]" in got["early"].body
    assert got["noticed"].status == 200
    assert got["late"].code is ResultCode.DRAINING
    assert got["late"].headers["retry-after"] == "1"


def test_host_without_profiles_is_live_but_not_ready():
    class UnloadedProfiles(Profiles):
        def find(self, name):
            return Error(fault(ResultCode.PROFILES_UNKNOWN, retry_after_s=1.0))

    app = CallerApp(ScriptedServing(), UnloadedProfiles(), TrioClock())
    assert ask(None, "/readyz", b"", app, method="GET").status == 503
    assert ask(None, "/healthz", b"", app, method="GET").status == 200
    app = CallerApp(ScriptedServing(), Profiles(), TrioClock())
    assert ask(None, "/readyz", b"", app, method="GET").status == 200


def test_requests_over_max_in_flight_are_refused():
    serving = ScriptedServing(["word"], pause_s=1.0)
    limits = CallerLimits(max_in_flight=1)
    app = CallerApp(serving, Profiles(), TrioClock(), limits)
    got = []

    async def run():
        got.append(await exchange(app, CHAT, HELLO))

    async def main():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(run)
            nursery.start_soon(run)

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    assert sorted(one.status for one in got) == [200, 503]


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=20),
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(st.sampled_from([*HELLO, "stream", "n", "x"]), inner),
    max_leaves=8,
)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(
    path=st.sampled_from([CHAT, "/v1/completions", "/v1/services/portal"])
    | st.text(st.characters(min_codepoint=33, max_codepoint=126), max_size=30),
    body=JSON | st.binary(max_size=200),
    method=st.sampled_from(["POST", "GET", "BREW"]),
    headers=st.dictionaries(
        st.sampled_from(["x-request-id", "x-priority", "idempotency-key"]),
        st.text(max_size=80),
    ),
)
@example(
    CHAT, HELLO | {"messages": [{"role": "user", "content": "\ud800"}]}, "POST", {}
)
def test_any_input_is_answered_with_a_number(path, body, method, headers):
    got = ask(ScriptedServing(), path or "/", body, method=method, headers=headers)
    assert got.status < 600 and got.status != 500
    assert got.is_whole
    if got.status >= 400 and path != "/readyz":
        assert 2000 < got.code < 3000
