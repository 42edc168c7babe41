"""Tests that no kind of request reaches a target that is known to leave."""

import pytest

from radishfield.forwarding.conftest import play
from standins.routed_config import config, layered_entry, target_entry

LEAVING = {"state": "draining"}


async def start(testbed):
    """Start a router with two targets for each kind of work, one of which leaves."""
    testbed.store.put("config", "main", config())
    stays, leaves = await testbed.add_plain("p1"), await testbed.add_plain("p2")
    spans = [(0, 40), (0, 40), (40, 80), (40, 80)]
    for number, (first, end) in enumerate(spans):
        await testbed.add_layered(f"t{number + 1}", first, end)
    await testbed.start_router()
    entry = target_entry("portal", leaves.address, **LEAVING)
    testbed.store.put("servers", "p2", entry)
    for target in (testbed.layered[1], testbed.layered[3]):
        entry = layered_entry(target.address, target.first, target.end)
        testbed.store.put("servers", target.id, entry | LEAVING)
    directory = testbed.router.view.directory
    await testbed.until(
        lambda: len(directory.listed("portal")) == 1
        and len(directory.listed("pool")) == 2
    )
    return stays, leaves


@pytest.mark.parametrize("failure", ["", "error", "silent", "refuse", "cut"])
@pytest.mark.parametrize(
    ("path", "method"), [("/read/x", "GET"), ("/open/x", "GET"), ("/post/x", "POST")]
)
def test_no_plain_request_reaches_a_leaving_target(tmp_path, path, method, failure):
    """Guards against retries and hedges that take any target that is left."""

    async def scenario(testbed):
        stays, leaves = await start(testbed)
        stays.failures = [failure] if failure else []
        await testbed.request(path, method, x_deadline_ms="1500")
        assert sum(leaves.ran.values()) == 0
        assert leaves.seen_headers == []

    play(tmp_path, scenario)


@pytest.mark.parametrize("trouble", ["none", "abort", "dead first", "dead last"])
def test_no_stream_passes_a_leaving_target(tmp_path, trouble):
    """Guards against paths, resumes and repaths over a target that leaves."""

    async def scenario(testbed):
        await start(testbed)
        first, leaving_first, last, leaving_last = testbed.layered
        if trouble == "abort":
            first.abort_after_events = 3
        first.dead = trouble == "dead first"
        last.dead = trouble == "dead last"
        reply = await testbed.request("/stream/x", "POST", x_deadline_ms="1500")
        used = testbed.fleet.addresses_by_request["r1"]
        assert not used & {leaving_first.address, leaving_last.address}
        if trouble in ("none", "abort"):
            assert reply.whole

    play(tmp_path, scenario)
