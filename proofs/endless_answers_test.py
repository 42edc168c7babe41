"""Targets that all send more than an answer may have, to a router process."""

import pytest
import trio

from proofs.caller_crowds_test import CALLER_WAIT_S, MANY_RESOURCES, check, play
from proofs.caller_crowds_test import MANY_OPEN_FILES as OPEN_FILES
from standins.crowd import ResourceMeter, ask, head
from standins.routed_config import target_entry
from standins.scripted_targets import ScriptedTarget

MIB = 1 << 20
TARGETS = 4
CALLS, INTERVAL_S = 200, 0.01
FILLER = b"x" * (16 * MIB)
STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
CHUNKED = STATUS_LINE + b"Transfer-Encoding: chunked\r\n"
LARGE_CHUNK = b"10000\r\n" + bytes(64 << 10) + b"\r\n"


def counted(announced: int, sent: int) -> tuple[bytes, bytes]:
    """Return an answer that announces a length, and the bytes that are sent of it."""
    return STATUS_LINE + b"Content-Length: %d\r\n" % announced, FILLER[:sent]


ANSWER_BY_NAME = {
    "no-head": (b"", FILLER),
    "one-field": (STATUS_LINE, b"X-Filler: " + FILLER),
    "fields": (STATUS_LINE, b"X-Filler: x\r\n" * MIB),
    "announced-over-the-limit": counted(64 * MIB, 16 * MIB),
    "one-byte-short": counted(7 * MIB, 7 * MIB - 1),
    "whole": counted(7 * MIB, 7 * MIB),
    "chunks": (CHUNKED, LARGE_CHUNK * 256),
    "informational-answers": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * (MIB // 2)),
    "size-of-a-chunk": (CHUNKED, b"0" * (16 * MIB)),
    "extension-of-a-chunk": (CHUNKED, b"1;" + FILLER),
    "trailers": (CHUNKED, b"0\r\n" + b"X-Filler: x\r\n" * MIB),
}


@pytest.mark.parametrize("name", ANSWER_BY_NAME)
def test_process_outlives_targets_that_send_without_end(tmp_path, name):
    """Guards against a process that keeps all that faulty targets send."""
    first, rest = ANSWER_BY_NAME[name]

    def answer(request):
        if not first:
            return rest
        own = b"X-Request-Id: %s\r\nX-Server-Stamp: s1\r\n"
        end = b"" if name in ("one-field", "fields") else b"\r\n"
        return first + own % request.headers.get(b"x-request-id", b"") + end + rest

    async def scene(testbed):
        router = testbed.router
        meter = ResourceMeter(router.pid, int(router.front.rpartition(":")[2]))
        statuses = []

        async def call(number):
            asked = head(
                f"long-{number}",
                "Content-Length: 0",
                "Connection: close",
                path="/large/x",
            )
            with trio.move_on_after(CALLER_WAIT_S):
                status, _ = await ask(router.front, asked)
                statuses.append(status)

        async with trio.open_nursery() as nursery:
            testbed.store.remove("servers", "large")
            for number in range(TARGETS):
                target = ScriptedTarget(f"endless-{number}", answer)
                await nursery.start(target.serve)
                entry = target_entry("library", target.address, slots=1000)
                testbed.store.put("servers", target.id, entry)
            await trio.sleep(1.0)
            nursery.start_soon(meter.run)
            async with trio.open_nursery() as callers:
                for number in range(CALLS):
                    callers.start_soon(call, number)
                    await trio.sleep(INTERVAL_S)
                reply = await testbed.request(1)
            nursery.cancel_scope.cancel()
        seen = f"{meter}, {[(s, statuses.count(s)) for s in set(statuses)]}"

        check(testbed, meter, reply, seen, OPEN_FILES)

    play(tmp_path, scene, MANY_RESOURCES)
