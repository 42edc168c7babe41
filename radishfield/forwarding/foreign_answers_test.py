"""Bytes that a target sends after an answer, where the next answer is expected."""

import pytest
import trio

from radishfield.forwarding.conftest import play
from standins.routed_config import config, target_entry
from standins.stuttering_targets import LATER_S, Moment, StutteringTarget

MARGIN_S = 0.02
TYPICAL_ID = "a-100"


async def start(testbed, chunked):
    """Start a router and one plain target of its service."""
    settings = config()
    for rule in settings["services"]:
        rule.pop("engine", None)
    testbed.store.put("config", "main", settings)
    target = StutteringTarget("one", chunked)
    await testbed.nursery.start(target.serve)
    testbed.store.put("servers", "one", target_entry("portal", target.address))
    testbed.plain.append(target)
    await testbed.start_router()
    return target


async def ask_after_stutter(testbed, target, number, extra, moment, status):
    """Return the replies to a request with a second answer, and to the next one."""
    first = await testbed.request(
        "/read/x",
        request_id=f"a-{number}",
        x_play_extra=str(extra),
        x_play_moment=moment,
    )
    if moment is Moment.LATER:
        await trio.sleep(LATER_S + MARGIN_S)
    second = await testbed.request(
        "/read/x", request_id=f"b-{number}", x_play_status=str(status)
    )
    return first, second


def own_success(target, request_id, reply):
    """Return whether a reply is the whole answer of a successful run of its request."""
    stamp = reply.headers.get("x-server-stamp", "")
    return (
        reply.status == 200
        and reply.headers.get("x-request-id") == request_id
        and stamp in target.runs_by_id.get(request_id, ())
        and target.statuses_by_stamp[stamp] == 200
        and reply.body == f"body of {stamp}".encode()
    )


@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize("moment", list(Moment))
def test_no_failure_after_a_second_answer_is_a_success(tmp_path, moment, chunked):
    """Guards against a failure read as the rest of a success's head."""

    async def scenario(testbed):
        target = await start(testbed, chunked)
        whole = len(target.answer(TYPICAL_ID, "one.100"))
        mixed, unserved = [], []
        for extra in range(1, whole + 1):
            first, second = await ask_after_stutter(
                testbed, target, 100 + extra, extra, moment, 500
            )
            if not own_success(target, f"a-{100 + extra}", first):
                unserved.append(extra)
            if second.status < 400:
                mixed.append(extra)
        assert (mixed, unserved) == ([], []), (
            f"{len(mixed)} of {whole} failures were successes to their callers; "
            f"{len(unserved)} unserved"
        )

    play(tmp_path, scenario, limit_s=120)


@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize("moment", [Moment.TOGETHER, Moment.LATER])
def test_bytes_after_an_answer_cost_the_next_request_nothing(tmp_path, moment, chunked):
    """Guards against requests sent over a connection with unrequested bytes."""

    async def scenario(testbed):
        target = await start(testbed, chunked)
        whole = len(target.answer(TYPICAL_ID, "one.100"))
        unserved, repeated = [], []
        for extra in range(1, whole + 1):
            ids = [f"{letter}-{100 + extra}" for letter in "ab"]
            replies = await ask_after_stutter(
                testbed, target, 100 + extra, extra, moment, 200
            )
            for request_id, reply in zip(ids, replies, strict=True):
                if not own_success(target, request_id, reply):
                    unserved.append((extra, request_id))
                if len(target.runs_by_id.get(request_id, ())) != 1:
                    repeated.append((extra, request_id))
        assert (unserved, repeated) == (
            [],
            [],
        ), f"{len(unserved)} of {2 * whole} unserved, {len(repeated)} not run once"

    play(tmp_path, scenario, limit_s=120)
