"""Tests of a complete router against stand-ins for the store and both target kinds."""

import trio

from radishfield.forwarding._connections import TargetConnections
from radishfield.forwarding.conftest import play
from radishfield.routing import MAX_EVENT_BYTES
from standins.fleet import free_port
from standins.routed_config import KEY, config, layered_entry, route


async def start_plain_router(testbed, targets=2, **settings):
    testbed.store.put("config", "main", config())
    for number in range(targets):
        await testbed.add_plain(f"p{number + 1}")
    await testbed.start_router(**settings)


async def start_layered_router(testbed, spans, **changes):
    testbed.store.put("config", "main", config())
    for number, (first, end) in enumerate(spans):
        await testbed.add_layered(f"t{number + 1}", first, end, **changes)
    await testbed.start_router()


def runs(testbed):
    return sum(sum(target.ran.values()) for target in testbed.plain)


def test_answer_is_forwarded_unchanged(tmp_path):
    async def scenario(testbed):
        await start_plain_router(testbed, targets=1)
        reply = await testbed.request("/read/x?q=1", x_deadline_ms="3000")
        assert (reply.status, reply.body) == (200, b"answer of p1")
        assert reply.headers["x-server-stamp"] == "p1"
        assert reply.headers["x-request-id"] == "r1"
        (seen,) = testbed.plain[0].seen_headers
        assert seen[b"x-tenant"] == b"w1"
        assert b"authorization" not in seen
        assert 0 < int(seen[b"x-deadline-ms"]) <= 3000

    play(tmp_path, scenario)


def test_caller_errors_have_distinct_statuses(tmp_path):
    async def scenario(testbed):
        await start_plain_router(testbed, targets=1)
        assert (await testbed.request("/nowhere/x")).status == 404
        assert (await testbed.request("/read/x", key="wrong")).status == 401
        assert (await testbed.request("/read/x", key=None)).status == 401
        assert (await testbed.request("/open/x", key=None)).status == 200
        large = await testbed.request("/post/x", "POST", body=b"x" * 200_000)
        assert large.status == 413
        assert runs(testbed) == 1

    play(tmp_path, scenario)


def test_host_without_configuration_answers_503_and_is_not_ready(tmp_path):
    """A host starts while the store is unavailable.

    It has no routes and no keys.  Callers would stop retrying valid requests after 404
    or 401, so the host answers that nothing ran and when to retry.
    """

    async def scenario(testbed):
        testbed.store.switches.status = 503
        testbed.nursery.start_soon(testbed.start_router)
        await testbed.until(lambda: testbed.router is not None)
        await trio.sleep(0.3)
        reply = await testbed.request("/read/x")
        assert reply.status == 503
        assert float(reply.headers["retry-after"]) > 0
        ready = await testbed.request("/readyz", address=testbed.ready)
        assert ready.status == 503
        testbed.store.put("config", "main", config())
        testbed.store.switches.status = 0
        await testbed.until(lambda: testbed.router.view.table is not None)
        ready = await testbed.request("/readyz", address=testbed.ready)
        assert ready.status == 200

    play(tmp_path, scenario)


def test_failed_repeatable_request_is_retried_at_another_target(tmp_path):
    async def scenario(testbed):
        await start_plain_router(testbed)
        testbed.plain[0].failures = ["error"] * 5
        for number in range(3):
            reply = await testbed.request("/read/x", request_id=f"r{number}")
            assert reply.body == b"answer of p2"

    play(tmp_path, scenario)


def test_truncated_non_idempotent_request_is_sent_once_and_answered_502(tmp_path):
    """The answer of the only attempt is truncated.

    The target has run the request, and a 503 would invite the caller to run it a
    second time.  The answer therefore says that the outcome is unknown.
    """

    async def scenario(testbed):
        await start_plain_router(testbed)
        for target in testbed.plain:
            target.failures = ["cut"]
        reply = await testbed.request("/post/x", "POST", body=b"x")
        assert reply.status == 502
        assert runs(testbed) == 1

    play(tmp_path, scenario)


def test_refused_request_is_sent_to_another_target_even_if_not_repeatable(tmp_path):
    async def scenario(testbed):
        await start_plain_router(testbed)
        testbed.plain[0].failures = ["refuse"]
        testbed.plain[1].failures = ["refuse"]
        refused = await testbed.request("/post/x", "POST", body=b"x")
        assert refused.status == 503
        assert float(refused.headers["retry-after"]) > 0
        assert runs(testbed) == 0
        reply = await testbed.request("/post/x", "POST", body=b"x", request_id="r2")
        assert reply.status == 200

    play(tmp_path, scenario)


def test_an_answer_to_another_request_never_reaches_the_caller(tmp_path):
    async def scenario(testbed):
        await start_plain_router(testbed)
        for target in testbed.plain:
            target.failures = ["wrong-id"]
        reply = await testbed.request("/post/x", "POST", body=b"x")
        assert reply.status == 502
        assert b"answer of" not in reply.body
        again = await testbed.request("/read/x", request_id="r2")
        assert again.status == 200

    play(tmp_path, scenario)


def test_request_with_a_lost_answer_is_hedged_within_the_objective(tmp_path):
    """A target runs a request and its answer never arrives.

    A repeatable request is sent to a second target while the caller still waits.
    """

    async def scenario(testbed):
        await start_plain_router(testbed)
        testbed.plain[0].failures = ["silent"] * 5
        for number in range(2):
            started = trio.current_time()
            reply = await testbed.request("/read/x", request_id=f"r{number}")
            assert reply.body == b"answer of p2"
            assert trio.current_time() - started < 0.8

    play(tmp_path, scenario)


def test_hedged_request_is_sent_to_no_third_target(tmp_path):
    """The first target is slow, so a second one gets the request as well; both fail.

    The route allows two targets, and two have received the request.
    """

    async def scenario(testbed):
        await start_plain_router(testbed, targets=3)
        for target in testbed.plain:
            target.work_s = 0.7
            target.failures = ["error"] * 3
        reply = await testbed.request("/read/x")
        assert reply.status == 500
        assert sum(bool(target.ran) for target in testbed.plain) == 2

    play(tmp_path, scenario)


def test_unanswered_non_idempotent_request_ends_at_the_route_timeout(tmp_path):
    async def scenario(testbed):
        routes = [route("post", "non_idempotent", "portal", timeoutMs=400)]
        testbed.store.put("config", "main", config(routes=routes))
        target = await testbed.add_plain("p1")
        target.failures = ["silent"]
        await testbed.start_router()
        started = trio.current_time()
        reply = await testbed.request("/post/x", "POST", body=b"x")
        assert reply.status == 504
        assert 0.35 < trio.current_time() - started < 0.8

    play(tmp_path, scenario)


def test_newer_configuration_is_applied_at_once_and_an_older_one_ignored(tmp_path):
    async def scenario(testbed):
        await start_plain_router(testbed)
        only = [route("other", "idempotent", "portal")]
        testbed.store.put("config", "main", config(5, routes=only))
        await testbed.until(lambda: testbed.router.view.table.config.version == 5)
        assert (await testbed.request("/read/x")).status == 404
        assert (await testbed.request("/other/x", request_id="r2")).status == 200
        testbed.store.put("config", "main", config(4))
        await trio.sleep(0.5)
        assert testbed.router.view.table.config.version == 5

    play(tmp_path, scenario)


def test_a_key_is_refused_once_the_store_has_been_silent_too_long(tmp_path):
    """The store stops answering, and a key is removed meanwhile.

    The host cannot detect the removal.  After the limit it refuses every key with 503
    and a retry time, not with 401, and still serves public routes.
    """

    async def scenario(testbed):
        await start_plain_router(testbed, revoke="1500ms")
        assert (await testbed.request("/read/x")).status == 200
        testbed.store.switches.silent = True
        await trio.sleep(2.6)
        reply = await testbed.request("/read/x", request_id="r2")
        assert reply.status == 503
        assert float(reply.headers["retry-after"]) >= 1
        public = await testbed.request("/open/x", request_id="r3")
        assert public.status == 200

    play(tmp_path, scenario)


def test_malformed_directory_entries_are_ignored_and_the_others_kept(tmp_path):
    async def scenario(testbed):
        await start_plain_router(testbed)
        good = testbed.store.spec("servers", "p1")
        bad = [
            {},
            None,
            "text",
            [1],
            good | {"addr": 5},
            good | {"state": "asleep"},
            good | {"addr": "nowhere"},
            {name: value for name, value in good.items() if name != "service"},
        ]
        for number, spec in enumerate(bad):
            testbed.store.put("servers", f"bad{number}", spec)
        await trio.sleep(0.6)
        directory = testbed.router.view.directory
        assert sorted(r.id for r in directory.listed("portal")) == ["p1", "p2"]
        assert (await testbed.request("/read/x")).status == 200
        testbed.store.put("servers", "p1", {"service": 1})
        await testbed.until(lambda: len(directory.listed("portal")) == 1)

    play(tmp_path, scenario)


def test_entries_that_no_socket_or_path_search_takes_end_no_router(tmp_path):
    """Guards against a process that ends at each start while such an entry stays."""

    async def scenario(testbed):
        await start_layered_router(testbed, [(0, 40), (40, 80)])
        good = testbed.store.spec("servers", "t1")
        foreign = [
            {"addr": "127.0.0.9\ufffd:8080"},
            {"addr": "a..b:8080"},
            {"addr": "127.0.0.9:\u00b2"},
            {"layers": {"from": 79, "target": 81, "version": 1}},
            {"layers": {"from": -1, "target": 80, "version": 1}},
            {"born": 1 << 70, "state": "draining"},
        ]
        for number, changes in enumerate(foreign):
            # In zones of their own, each of which has a target measured.
            entry = good | {"zone": f"z{number}"} | changes
            testbed.store.put("servers", f"foreign{number}", entry)
        await trio.sleep(2.5)
        listed = testbed.router.view.directory.listed("pool")
        assert sorted(record.id for record in listed) == ["t1", "t2"]
        reply = await testbed.request("/stream/x", "POST", body=b"{}")
        assert reply.status == 200 and reply.whole

    play(tmp_path, scenario)


def test_entry_that_can_not_be_read_hides_neither_removal_nor_list(tmp_path):
    """Guards against requests at leaving targets, and against a start without any."""

    async def scenario(testbed):
        testbed.store.put("config", "main", config())
        unreadable = b'{"metadata": {"name": "x"}, "spec": {"zone": "\\udcff"}}'
        testbed.store.put_text("servers", "x", unreadable)
        for number in range(3):
            await testbed.add_plain(f"p{number + 1}")
        await testbed.start_router()
        directory = testbed.router.view.directory
        assert len(directory.listed("portal")) == 3
        entry = testbed.store.spec("servers", "p1")
        testbed.store.put("servers", "p1", entry | {"state": "draining"})
        testbed.store.put_text("servers", "x", unreadable)
        testbed.store.remove("servers", "p2")
        await testbed.until(lambda: len(directory.listed("portal")) == 1, 1.0)
        assert (await testbed.request("/read/x")).body == b"answer of p3"

    play(tmp_path, scenario)


def test_exception_in_the_work_for_one_target_ends_neither_router_nor_requests(
    tmp_path, monkeypatch
):
    """Guards against input that the grammar of entries lets through by mistake."""
    send = TargetConnections.send

    async def send_or_raise(connections, address, *arguments):
        if address == "127.0.0.9:8080":
            raise UnicodeError("label too long")
        return await send(connections, address, *arguments)

    async def scenario(testbed):
        await start_layered_router(testbed, [(0, 40), (40, 80)])
        await testbed.add_plain("p1")
        monkeypatch.setattr(TargetConnections, "send", send_or_raise)
        for service, name in (("pool", "t1"), ("portal", "p1")):
            good = testbed.store.spec("servers", name)
            foreign = good | {"addr": "127.0.0.9:8080", "zone": f"far-{service}"}
            testbed.store.put("servers", f"foreign-{service}", foreign)
        directory = testbed.router.view.directory
        await testbed.until(lambda: len(list(directory.all_records())) == 5)
        for number in range(12):
            reply = await testbed.request(
                "/stream/x", "POST", body=b"{}", request_id=f"s{number}"
            )
            assert reply.status == 200 and reply.whole
            reply = await testbed.request("/read/x", request_id=f"r{number}")
            assert reply.status == 200
        assert 1 <= testbed.router.view.boundary.defects
        text = (await testbed.request("/metrics", address=testbed.metrics)).body
        assert b"defects_contained" in text

    play(tmp_path, scenario)


def test_draining_targets_get_no_requests_after_history_was_lost(tmp_path):
    async def scenario(testbed):
        await start_plain_router(testbed)
        entry = testbed.store.spec("servers", "p1")
        testbed.store.put("servers", "p1", entry | {"state": "draining"})
        testbed.store.forget_history()
        directory = testbed.router.view.directory
        await testbed.until(lambda: len(directory.listed("portal")) == 1)
        for number in range(4):
            reply = await testbed.request("/read/x", request_id=f"r{number}")
            assert reply.body == b"answer of p2"

    play(tmp_path, scenario)


def test_pages_of_a_list_are_read_to_the_end(tmp_path):
    async def scenario(testbed):
        testbed.store.switches.page_items = 2
        await start_plain_router(testbed, targets=5)
        directory = testbed.router.view.directory
        assert len(directory.listed("portal")) == 5

    play(tmp_path, scenario)


def test_stream_uses_every_stage_and_is_complete(tmp_path):
    async def scenario(testbed):
        await start_layered_router(testbed, [(0, 40), (40, 80)])
        reply = await testbed.request("/stream/x", "POST", body=b"{}")
        assert reply.status == 200 and reply.whole
        assert reply.body.count(b"\n\n") == 6
        first, second = testbed.layered
        path = f"{first.address}=0-40,{second.address}=40-80"
        assert first.paths == [path]

    play(tmp_path, scenario)


def test_stream_that_breaks_within_an_event_resumes_at_another_target(tmp_path):
    """The first target aborts the stream in the middle of an event.

    The caller gets each event once and in order, in one answer with the first
    target's signature, and never the partial event.
    """

    async def scenario(testbed):
        await start_layered_router(testbed, [(0, 80), (0, 80)])
        for target in testbed.layered:
            target.abort_after_events = 3
        testbed.layered[1].abort_after_events = 0
        for number in range(2):
            reply = await testbed.request(
                "/stream/x", "POST", request_id=f"r{number}", body=b"{}"
            )
            assert reply.whole
            ids = [line for line in reply.body.split(b"\n") if line.startswith(b"id")]
            assert ids == [b"id: %d" % number for number in range(1, 7)]

    play(tmp_path, scenario)


def test_stream_whose_bytes_do_not_end_resumes_at_another_target(tmp_path):
    """Guards against a host that keeps such bytes until its memory is used up."""

    async def scenario(testbed):
        await start_layered_router(testbed, [(0, 80), (0, 80)])
        for after in (0, 3):
            testbed.layered[0].endless_after_events = after
            for number in range(3):
                with trio.fail_after(3.0):
                    reply = await testbed.request(
                        "/stream/x", "POST", request_id=f"r{after}-{number}", body=b"{}"
                    )
                assert reply.status == 200 and reply.whole
                ids = [line for line in reply.body.split(b"\n") if line[:2] == b"id"]
                assert ids == [b"id: %d" % number for number in range(1, 7)]
            testbed.router.view.directory.clear("t1")
        target = testbed.layered[0]
        assert target.ended_runs >= 1
        # Sockets take some bytes more than the host reads.
        assert target.endless_bytes < target.ended_runs * 16 * MAX_EVENT_BYTES

    play(tmp_path, scenario)


def test_stage_that_crashes_during_a_stream_is_bypassed(tmp_path):
    """The second stage of a path crashes while a stream uses it.

    No connection breaks: the first target only sends no more events.  Its report names
    the crashed stage; the path is changed in place, and the caller sees a pause.
    """

    async def scenario(testbed):
        await start_layered_router(testbed, [(0, 40), (40, 80), (40, 80)], events=30)
        replies = []

        async def call():
            replies.append(await testbed.request("/stream/x", "POST", body=b"{}"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(call)
            await trio.sleep(0.3)
            first = testbed.layered[0]
            used = next(t for t in testbed.layered[1:] if t.address in first.paths[0])
            used.dead = True
        (reply,) = replies
        assert reply.whole and reply.body.count(b"\n\n") == 30
        assert len(first.paths) == 2 and used.address not in first.paths[1]
        assert first.runs["r1"] == 1

    play(tmp_path, scenario)


def test_crashed_stage_is_bypassed_within_the_gap_objective(tmp_path):
    """The second stage of a path crashes under a stream whose pauses may last 0.3 s.

    The first target names the crashed stage only in a later report, and streams are
    abandoned after more than a second.  Each target of the path is therefore probed at
    the first sign of silence, and the caller never sees a pause that is too long.
    """

    async def scenario(testbed):
        pauses = [route("stream", "streaming", "pool", gapAimMs=300)]
        testbed.store.put("config", "main", config(routes=pauses))
        for number, (first, end) in enumerate([(0, 40), (40, 80), (40, 80)]):
            await testbed.add_layered(f"t{number + 1}", first, end, events=40)
        await testbed.start_router()
        # The typical answer time is measured first.
        assert (await testbed.request("/stream/x", "POST", body=b"{}")).whole
        replies = []

        async def call():
            replies.append(
                await testbed.request("/stream/x", "POST", request_id="r2", body=b"{}")
            )

        async with trio.open_nursery() as nursery:
            nursery.start_soon(call)
            await trio.sleep(0.3)
            first = testbed.layered[0]
            used = next(t for t in testbed.layered[1:] if t.address in first.paths[-1])
            used.dead = True
        (reply,) = replies
        assert reply.whole and reply.body.count(b"\n\n") == 40
        assert reply.longest_gap_s < 0.3

    play(tmp_path, scenario)


def test_first_target_that_crashes_during_a_stream_is_replaced(tmp_path):
    async def scenario(testbed):
        await start_layered_router(testbed, [(0, 80), (0, 80)], events=30)
        replies = []

        async def call():
            replies.append(await testbed.request("/stream/x", "POST", body=b"{}"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(call)
            await trio.sleep(0.3)
            used = next(target for target in testbed.layered if target.runs)
            used.dead = True
        (reply,) = replies
        ids = [line for line in reply.body.split(b"\n") if line.startswith(b"id")]
        assert reply.whole
        assert ids == [b"id: %d" % number for number in range(1, 31)]
        assert reply.headers["x-server-stamp"] == used.id

    play(tmp_path, scenario)


def test_repeatedly_broken_stream_is_sent_to_few_targets(tmp_path):
    """Each target aborts the stream after one event.

    The stream may be resumed, but on no more targets than the route allows: after two
    targets it resumes at one of them.
    """

    async def scenario(testbed):
        await start_layered_router(testbed, [(0, 80)] * 4, events=4)
        for target in testbed.layered:
            target.abort_after_events = 1
        reply = await testbed.request("/stream/x", "POST", body=b"{}")
        seen = [target.id for target in testbed.layered if target.runs["r1"]]
        assert len(seen) == 2
        assert reply.whole

    play(tmp_path, scenario)


def test_a_stream_without_any_path_is_refused_at_once(tmp_path):
    async def scenario(testbed):
        await start_layered_router(testbed, [(0, 40)])
        started = trio.current_time()
        reply = await testbed.request("/stream/x", "POST", body=b"{}")
        assert reply.status == 503
        assert float(reply.headers["retry-after"]) > 0
        assert trio.current_time() - started < 0.3

    play(tmp_path, scenario)


def test_partitioned_zone_does_not_use_up_the_attempts_of_a_stream(tmp_path):
    """Another zone, with the fastest targets, is partitioned; the host's own can serve.

    Each attempt starts at another target of the partitioned zone and is refused at
    once.  After four of them the caller would get an answer that there is no path.
    """

    async def scenario(testbed):
        await start_layered_router(testbed, [(0, 40), (40, 80)])
        for number in range(20):
            address = f"127.0.0.1:{free_port()}"
            entry = layered_entry(address, 0, 80) | {"zone": "b"}
            testbed.store.put("servers", f"far-{number}", entry)
        view = testbed.router.view
        await testbed.until(lambda: len(list(view.directory.all_records())) == 22)
        for near in ("t1", "t2"):
            view.slowdowns.note(near, 50.0, view.clock.now())
        reply = await testbed.request("/stream/x", "POST", body=b"{}")
        assert reply.status == 200 and reply.whole

    play(tmp_path, scenario)


def test_work_ends_when_its_caller_disconnects(tmp_path):
    async def scenario(testbed):
        await start_layered_router(testbed, [(0, 80)], events=500)
        with trio.move_on_after(0.4):
            await testbed.request("/stream/x", "POST", body=b"{}")
        target = testbed.layered[0]
        await testbed.until(lambda: not target._stages_by_request, limit_s=0.5)
        assert testbed.router.view.load.own_by_id == {}

    play(tmp_path, scenario)


def test_empty_targets_are_given_their_layers_once(tmp_path):
    async def scenario(testbed):
        await start_layered_router(testbed, [(0, 0), (0, 0)])
        await testbed.until(lambda: all(t.orders for t in testbed.layered))
        spans = sorted((target.first, target.end) for target in testbed.layered)
        assert spans == [(0, 40), (40, 80)]
        assert all(t.order_log[0]["expectRev"] == 0 for t in testbed.layered)
        for target in testbed.layered:
            held = {"from": target.first, "target": target.end, "version": 1}
            entry = testbed.store.spec("servers", target.id) | {"layers": held}
            testbed.store.put("servers", target.id, entry)
        await trio.sleep(1.0)
        assert [target.orders for target in testbed.layered] == [1, 1]
        reply = await testbed.request("/stream/x", "POST", body=b"{}")
        assert reply.whole

    play(tmp_path, scenario)


def test_layers_that_are_held_are_never_ordered_again(tmp_path):
    """All hosts restart, and the targets keep the layers that they hold.

    Their directory entries lag and may still show no layers, so a target is queried
    before an order is sent to it.
    """

    async def scenario(testbed):
        testbed.store.put("config", "main", config())
        target = await testbed.add_layered("t1", 0, 80)
        entry = testbed.store.spec("servers", "t1") | {"layers": None}
        testbed.store.put("servers", "t1", entry)
        await testbed.start_router()
        await trio.sleep(2.5)
        assert target.order_log == []

    play(tmp_path, scenario)


def test_leaving_host_keeps_serving_and_sends_connection_close(tmp_path):
    async def scenario(testbed):
        await start_plain_router(testbed)
        testbed.stop.set()
        await testbed.until(lambda: testbed.router.view.leaving)
        ready = await testbed.request("/readyz", address=testbed.ready)
        assert ready.status == 503
        reply = await testbed.request("/read/x")
        assert reply.status == 200
        assert reply.headers["connection"] == "close"

    play(tmp_path, scenario)


def test_a_key_is_no_longer_admitted_after_its_removal(tmp_path):
    async def scenario(testbed):
        await start_plain_router(testbed)
        assert (await testbed.request("/read/x")).status == 200
        tenants = [{"name": "w1", "apiKeys": ["new"]}]
        testbed.store.put("config", "main", config(2, tenants=tenants))
        await testbed.until(lambda: testbed.router.view.table.config.version == 2)
        assert (await testbed.request("/read/x", request_id="r2")).status == 401
        allowed = await testbed.request("/read/x", request_id="r3", key="new")
        assert allowed.status == 200
        assert KEY != "new"

    play(tmp_path, scenario)


def test_repeatable_request_that_may_have_run_is_not_answered_503(tmp_path):
    """Every target truncates its answer, and all attempts are used up.

    The request has run; a 503 would say that it has not.
    """

    async def scenario(testbed):
        await start_plain_router(testbed)
        for target in testbed.plain:
            target.failures = ["cut"] * 5
        reply = await testbed.request("/read/x")
        assert reply.status == 502
        assert runs(testbed) == 2

    play(tmp_path, scenario)


def test_stream_whose_only_target_crashed_after_start_is_not_answered_503(tmp_path):
    """The only path breaks before the first event and no other path is left."""

    async def scenario(testbed):
        await start_layered_router(testbed, [(0, 80)], events=5, gap_s=30.0)
        replies = []

        async def call():
            replies.append(await testbed.request("/stream/x", "POST", body=b"{}"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(call)
            await testbed.until(lambda: bool(testbed.layered[0].runs))
            testbed.layered[0].dead = True
        assert replies[0].status in (502, 504)

    play(tmp_path, scenario)


def test_stream_of_a_service_without_layers_is_forwarded_event_by_event(tmp_path):
    """A route streams from targets that each serve alone.

    Events are forwarded as they arrive, not all together at the end, and a broken
    stream resumes at another target, as on paths.
    """

    async def scenario(testbed):
        services = [{"name": "pool", "healthPath": "/h", "maxConns": 100}]
        testbed.store.put("config", "main", config(services=services))
        for number in range(2):
            await testbed.add_layered(f"t{number + 1}", 0, 80, events=10, gap_s=0.05)
        testbed.layered[0].abort_after_events = 4
        await testbed.start_router()
        for number in range(4):
            reply = await testbed.request(
                "/stream/x", "POST", request_id=f"r{number}", body=b"{}"
            )
            ids = [line for line in reply.body.split(b"\n") if line.startswith(b"id")]
            assert reply.whole
            assert ids == [b"id: %d" % event for event in range(1, 11)]
        assert set(testbed.layered[0].paths + testbed.layered[1].paths) == {""}

    play(tmp_path, scenario)


def test_request_whose_key_is_removed_while_queued_does_not_run(tmp_path):
    """All paths are full, so a stream waits in the queue.

    Its key is removed meanwhile.  When capacity becomes free, the request must not use
    it, although its key was valid when it arrived.
    """

    async def scenario(testbed):
        await start_layered_router(testbed, [(0, 80)])
        load, replies = testbed.router.view.load, []
        load.started("t1", 1e9, True)

        async def call():
            replies.append(await testbed.request("/stream/x", "POST", body=b"{}"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(call)
            await trio.sleep(0.3)
            tenants = [{"name": "w1", "apiKeys": ["new"]}]
            testbed.store.put("config", "main", config(2, tenants=tenants))
            await testbed.until(lambda: testbed.router.view.table.config.version == 2)
            load.ended("t1", 1e9, True)
        assert replies[0].status == 401
        assert not testbed.layered[0].runs

    play(tmp_path, scenario)


def test_malformed_datagrams_are_counted_on_the_metrics_page(tmp_path):
    """Bytes from an unknown sender reach the peer port and are shown to operators."""

    async def scenario(testbed):
        await start_plain_router(testbed, targets=1)
        with trio.socket.socket(type=trio.socket.SOCK_DGRAM) as sock:
            host, _, port = testbed.gossip.rpartition(":")
            await sock.sendto(b"no status", (host, int(port)))
        peers = testbed.router._kernel.find("peers", object)
        await testbed.until(lambda: peers.malformed == 1)
        reply = await testbed.request("/metrics", address=testbed.metrics)
        lines = reply.body.decode().splitlines()
        (metric_line,) = [x for x in lines if "peer_malformed" in x and x[0] != "#"]
        assert metric_line.endswith(" 1.0")

    play(tmp_path, scenario)
