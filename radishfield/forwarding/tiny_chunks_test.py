"""Targets that send chunks of some bytes without end."""

import pytest
import trio

from radishfield.forwarding.conftest import play
from radishfield.web import AnswerFraming
from radishfield.web._answer_framing import SMALL_CHUNK_BYTES, SMALL_CHUNKS
from standins.routed_config import config, target_entry
from standins.scripted_targets import ScriptedTarget, answer_bytes

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
FLOOD = b"2\r\nxx\r\n" * 400_000
EVENT = b"id: 1\ndata: token 1\n\n"
INTERVAL_S, SECONDS = 0.04, 4.0
MIN_SERVED = 0.95
EVENTS = 5_000
PIECES = 4_000


def sound(request):
    if request.path == "/report":
        return answer_bytes(200, b"{}")
    request_id = request.headers[b"x-request-id"].decode()
    return answer_bytes(200, EVENT, X_Request_Id=request_id, X_Server_Stamp="s1")


def flooding(request):
    if request.path == "/report":
        return HEAD + b"\r\n" + FLOOD
    request_id = request.headers[b"x-request-id"]
    return HEAD + b"X-Request-Id: %s\r\n\r\n" % request_id + FLOOD


@pytest.mark.parametrize(
    ("service", "path", "method"),
    [("portal", "/read/x", "GET"), ("pool", "/stream/x", "POST")],
)
def test_target_with_chunks_without_end_leaves_the_others_served(
    tmp_path, service, path, method
):
    """Guards against an event loop that reads the chunks of one answer all the time."""

    async def scenario(testbed):
        settings = config()
        for rule in settings["services"]:
            rule.pop("engine", None)
        testbed.store.put("config", "main", settings)
        for number, answer in enumerate((flooding, sound, sound, sound)):
            target = ScriptedTarget(f"{service}-{number}", answer)
            await testbed.nursery.start(target.serve)
            entry = target_entry(service, target.address)
            testbed.store.put("servers", target.id, entry)
            testbed.plain.append(target)
        await testbed.start_router()
        statuses = []

        async def call(number):
            body = b"{}" if method == "POST" else b""
            reply = await testbed.request(path, method, f"r{number}", body=body)
            statuses.append(reply.status)

        began_at, sent = trio.current_time(), 0
        async with trio.open_nursery() as nursery:
            while trio.current_time() < began_at + SECONDS:
                nursery.start_soon(call, sent)
                sent += 1
                await trio.sleep(INTERVAL_S)
        assert sent >= 0.5 * SECONDS / INTERVAL_S
        assert statuses.count(200) >= MIN_SERVED * sent

    play(tmp_path, scenario, limit_s=40.0)


def test_chunks_of_events_and_large_ones_are_not_small():
    """Guards against a whole answer that is refused for the sizes of its chunks."""
    large = b"%X\r\n%s\r\n" % (SMALL_CHUNK_BYTES, b"x" * SMALL_CHUNK_BYTES)
    framing = AnswerFraming(b"GET")
    body = large * (4 * SMALL_CHUNKS) + b"2\r\nxx\r\n" * SMALL_CHUNKS + b"0\r\n\r\n"
    framing.feed(HEAD + b"\r\n" + body)
    assert framing.complete and not framing.problem


def test_events_that_a_target_sends_all_at_once_are_delivered(tmp_path):
    """Guards against a fast stream that is cut for the number of its events."""
    events = [b"id: %d\ndata: t\n\n" % number for number in range(1, EVENTS + 1)]
    body = b"".join(b"%X\r\n%s\r\n" % (len(event), event) for event in events)

    def answer(request):
        if request.path == "/report":
            return answer_bytes(200, b"{}")
        request_id = request.headers[b"x-request-id"]
        own = b"X-Request-Id: %s\r\nX-Server-Stamp: s1\r\n\r\n" % request_id
        return HEAD + own + body + b"0\r\n\r\n"

    async def scenario(testbed):
        settings = config()
        for rule in settings["services"]:
            rule.pop("engine", None)
        testbed.store.put("config", "main", settings)
        target = ScriptedTarget("pool-0", answer)
        await testbed.nursery.start(target.serve)
        testbed.store.put("servers", target.id, target_entry("pool", target.address))
        testbed.plain.append(target)
        await testbed.start_router()
        reply = await testbed.request("/stream/x", "POST", "r1", body=b"{}")
        assert (reply.status, reply.body) == (200, b"".join(events))

    play(tmp_path, scenario, limit_s=40.0)


def test_answer_that_is_sent_in_tokens_is_whole():
    """Guards against a sound answer that is refused for the sizes of its chunks."""
    framing = AnswerFraming(b"GET")
    framing.feed(HEAD + b"\r\n" + b"3\r\n1, \r\n" * PIECES + b"0\r\n\r\n")
    assert framing.complete and not framing.problem
