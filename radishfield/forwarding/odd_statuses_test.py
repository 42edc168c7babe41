"""Answers of targets and of the store whose status is none that HTTP knows."""

import pytest
import trio

from radishfield.core import SystemClock
from radishfield.forwarding.conftest import open_testbed, play
from radishfield.relay import RelayServer
from radishfield.web import ApiAddress, ApiCall, ApiCaller, CallBudget
from standins.link_cuts import LinkCuts, NewConnections, OpenConnections
from standins.routed_config import config, target_entry
from standins.scripted_targets import ScriptedTarget

ODD_STATUSES = [
    "000",
    "001",
    "099",
    "600",
    "601",
    "700",
    "999",
    "1000",
    "2000",
    "-200",
    "+200",
    "20",
    "20x",
    "0200",
    "",
    "\xb2\xb0\xb0",
]
ROUTES = [("/read/x", "GET"), ("/post/x", "POST"), ("/stream/x", "POST")]
EVENT = b"id: 1\ndata: token 1\n\n"
REQUESTS = 40


def answer_with(status, body=b"answer"):
    """Return a script that answers each caller's request with a status."""

    def answer(request):
        if request.path == "/report":
            return b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
        lines = [
            f"HTTP/1.1 {status} Any".encode("latin-1"),
            b"Content-Length: %d" % len(body),
            b"X-Request-Id: " + request.headers.get(b"x-request-id", b""),
            b"X-Server-Stamp: s1",
        ]
        return b"\r\n".join(lines) + b"\r\n\r\n" + body

    return answer


async def start(testbed, *answers, services=("portal", "pool"), hosts=1):
    """Start routers and one target with each of the scripts for each service."""
    settings = config()
    for rule in settings["services"]:
        rule.pop("engine", None)
    testbed.store.put("config", "main", settings)
    targets = []
    for service in services:
        for number, answer in enumerate(answers):
            target = ScriptedTarget(f"{service}-{number}", answer)
            await testbed.nursery.start(target.serve)
            entry = target_entry(service, target.address)
            testbed.store.put("servers", target.id, entry)
            targets.append(target)
    testbed.plain.extend(targets)
    if hosts > 1:
        await testbed.start_zone(hosts)
    else:
        await testbed.start_router()
    return targets


@pytest.mark.parametrize("status", ODD_STATUSES)
def test_no_caller_gets_a_status_that_is_none(tmp_path, status):
    """Guards against a target in trouble whose status 000 or 600 is passed on."""

    async def scenario(testbed):
        await start(testbed, answer_with(status, EVENT))
        for number, (path, method) in enumerate(ROUTES):
            body = b"{}" if method == "POST" else b""
            reply = await testbed.request(path, method, f"r{number}", body=body)
            assert reply.status in (502, 503)
            assert "x-server-stamp" not in reply.headers

    play(tmp_path, scenario)


@pytest.mark.parametrize("status", ["000", "600"])
@pytest.mark.parametrize(("path", "method"), [ROUTES[0], ROUTES[2]])
def test_target_with_such_answers_is_avoided(tmp_path, status, path, method):
    """Guards against a target that is asked on and on, and repeats each time."""

    async def scenario(testbed):
        odd, _ = await start(
            testbed,
            answer_with(status, EVENT),
            answer_with("200", EVENT),
            services=("portal" if method == "GET" else "pool",),
        )
        served = 0
        for number in range(REQUESTS):
            body = b"{}" if method == "POST" else b""
            reply = await testbed.request(path, method, f"r{number}", body=body)
            served += reply.status == 200
            await trio.sleep(0.01)
        assert served == REQUESTS
        assert len(odd.connections_of(path)) <= 0.25 * REQUESTS

    play(tmp_path, scenario)


@pytest.mark.parametrize("status", ["000", "600", "1000"])
def test_no_caller_behind_a_relaying_host_gets_such_a_status(tmp_path, status):
    """Guards against an answer that only the relaying host could tell from one."""
    cuts = LinkCuts()

    async def scenario(testbed):
        targets = await start(testbed, answer_with(status, EVENT), hosts=2)
        first, second = testbed.routers
        testbed.front = testbed.fronts[0]
        await testbed.until(lambda: first.view.peers.heard == 1)
        await testbed.until(lambda: second.view.offers_relay())
        ports = [int(each.address.rpartition(":")[2]) for each in targets]
        cuts.cut(["host-0"], ports, NewConnections.REFUSED, OpenConnections.RESET)
        relay, number = second._kernel.find("relay", RelayServer), 0
        for path, method in ROUTES:
            served = relay.served
            while relay.served == served:
                number += 1
                body = b"{}" if method == "POST" else b""
                reply = await testbed.request(path, method, f"r{number}", body=body)
                assert reply.status in (502, 503)
                assert "x-server-stamp" not in reply.headers
                await trio.sleep(0.1)

    async def main():
        with trio.fail_after(60.0), cuts.installed():
            async with open_testbed(tmp_path) as testbed:
                await scenario(testbed)

    trio.run(main)


@pytest.mark.parametrize("status", ["000", "600"])
def test_resumed_stream_does_not_end_with_such_a_status(tmp_path, status):
    """Guards against a begun stream that such an answer ends as if it were whole."""

    async def scenario(testbed):
        odd = answer_with(status, EVENT)

        def cut_then_odd(request):
            if b"last-event-id" in request.headers or request.path == "/report":
                return odd(request)
            whole = answer_with("200", EVENT + b"id: 2\ndata: to")(request)
            return whole.replace(b"Content-Length: 36", b"Transfer-Encoding: chunked")

        await start(testbed, cut_then_odd, services=("pool",))
        reply = await testbed.request("/stream/x", "POST", body=b"{}")
        assert not reply.whole or reply.status in (502, 503)

    play(tmp_path, scenario)


@pytest.mark.parametrize("status", ODD_STATUSES)
def test_answer_of_the_store_with_such_a_status_is_lost(tmp_path, status):
    """Guards against a write that counts as done for an answer that says nothing."""

    async def scenario(testbed):
        store = ScriptedTarget("store", answer_with(status, b"{}"))
        await testbed.nursery.start(store.serve)
        clock = SystemClock()
        budget = CallBudget(100.0, 100.0, 100.0, clock.now())
        caller = ApiCaller(ApiAddress(store.address), budget, clock)
        for method in ("GET", "PUT"):
            call = ApiCall("any", method, "/objects/config", b"{}", 1.0)
            assert (await caller.call(call)).is_error()

    play(tmp_path, scenario)
