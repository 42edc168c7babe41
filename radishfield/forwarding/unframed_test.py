"""Answers without a length or chunks, which end with their connection."""

import pytest

from radishfield.forwarding.conftest import play
from standins.routed_config import config, target_entry
from standins.unframed_targets import End, UnframedTarget

EVENTS = [b"id: %d\ndata: token %d\n\n" % (number, number) for number in range(1, 5)]
WHOLE = b"".join(EVENTS)
TWO = b"".join(EVENTS[:2])
CUT = TWO + EVENTS[2][:9]
REST = b"".join(EVENTS[2:])


async def start(testbed, service, usual, content_type):
    """Start a router and one target of a service without an engine."""
    settings = config()
    for rule in settings["services"]:
        rule.pop("engine", None)
    testbed.store.put("config", "main", settings)
    targets = []
    for name in ("one", "two"):
        target = UnframedTarget(name, usual, content_type)
        await testbed.nursery.start(target.serve)
        testbed.store.put("servers", name, target_entry(service, target.address))
        targets.append(target)
    testbed.plain.extend(targets)
    await testbed.start_router()
    return targets


def set_next(targets, body, end):
    for target in targets:
        target.bodies = [(body, end)]


def requests(targets):
    return [after for target in targets for after in target.resumed_after]


def test_stream_that_ends_with_its_connection_after_an_event_is_whole(tmp_path):
    """Guards against a complete stream that is run again for want of a length."""

    async def scenario(testbed):
        targets = await start(testbed, "pool", WHOLE, b"text/event-stream")
        reply = await testbed.request("/stream/x", "POST", body=b"{}")
        assert (reply.status, reply.whole, reply.body) == (200, True, WHOLE)
        assert requests(targets) == [b""]

    play(tmp_path, scenario)


@pytest.mark.parametrize(
    ("body", "end"),
    [(CUT, End.CLOSE), (CUT, End.RESET), (TWO, End.RESET)],
)
def test_stream_that_is_broken_off_without_a_length_is_resumed(tmp_path, body, end):
    """Guards against a stream delivered as whole that ends inside an event."""

    async def scenario(testbed):
        targets = await start(testbed, "pool", REST, b"text/event-stream")
        for target in targets:
            target.bodies = [(body, end)]

        async def forget_the_other():
            # Only the first answer is broken off, whichever target it comes from.
            await testbed.until(lambda: requests(targets))
            for target in targets:
                target.bodies = []

        testbed.nursery.start_soon(forget_the_other)
        reply = await testbed.request("/stream/x", "POST", body=b"{}")
        assert (reply.status, reply.whole, reply.body) == (200, True, WHOLE)
        assert sorted(requests(targets)) == [b"", b"2"]

    play(tmp_path, scenario)


def test_plain_answer_that_ends_with_its_connection_is_whole(tmp_path):
    """Guards against a complete answer that is taken for a broken one."""

    async def scenario(testbed):
        targets = await start(testbed, "portal", b"answer", b"text/plain")
        for path, method in (("/read/x", "GET"), ("/post/x", "POST")):
            reply = await testbed.request(path, method)
            assert (reply.status, reply.whole, reply.body) == (200, True, b"answer")
        assert len(requests(targets)) == 2

    play(tmp_path, scenario)


def test_plain_answer_whose_connection_is_reset_is_not_whole(tmp_path):
    """Guards against half an answer delivered as complete."""

    async def scenario(testbed):
        targets = await start(testbed, "portal", b"answer", b"text/plain")
        set_next(targets, b"half", End.RESET)
        reply = await testbed.request("/post/x", "POST")
        assert reply.status == 502
        assert len(requests(targets)) == 1
        set_next(targets, b"half", End.RESET)
        for target in targets[:1]:
            target.bodies = []
        reply = await testbed.request("/read/x", "GET")
        assert (reply.status, reply.body) == (200, b"answer")

    play(tmp_path, scenario)
