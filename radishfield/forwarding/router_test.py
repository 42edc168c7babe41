"""A whole router against stand-ins of the store and of both kinds of target."""

import trio

from radishfield.forwarding.conftest import play
from standins.fleet import free_port
from standins.routed_config import KEY, config, layered_entry, route


async def portal(played, targets=2, **promises):
    played.store.put("config", "main", config())
    for number in range(targets):
        await played.add_plain(f"p{number + 1}")
    await played.start_router(**promises)


async def pool(played, spans, **changes):
    played.store.put("config", "main", config())
    for number, (first, end) in enumerate(spans):
        await played.add_layered(f"t{number + 1}", first, end, **changes)
    await played.start_router()


def runs(played):
    return sum(sum(target.ran.values()) for target in played.plain)


def test_an_answer_comes_back_as_the_target_gave_it(tmp_path):
    async def scene(played):
        await portal(played, targets=1)
        reply = await played.request("/read/x?q=1", x_deadline_ms="3000")
        assert (reply.status, reply.body) == (200, b"answer of p1")
        assert reply.headers["x-server-stamp"] == "p1"
        assert reply.headers["x-request-id"] == "r1"
        (seen,) = played.plain[0].seen_headers
        assert seen[b"x-tenant"] == b"w1"
        assert b"authorization" not in seen
        assert 0 < int(seen[b"x-deadline-ms"]) <= 3000

    play(tmp_path, scene)


def test_callers_errors_are_told_apart(tmp_path):
    async def scene(played):
        await portal(played, targets=1)
        assert (await played.request("/nowhere/x")).status == 404
        assert (await played.request("/read/x", key="wrong")).status == 401
        assert (await played.request("/read/x", key=None)).status == 401
        assert (await played.request("/open/x", key=None)).status == 200
        large = await played.request("/post/x", "POST", body=b"x" * 200_000)
        assert large.status == 413
        assert runs(played) == 1

    play(tmp_path, scene)


def test_a_host_without_a_configuration_promises_and_is_not_ready(tmp_path):
    """A host starts while the store is away.

    It knows no routes and no keys; 404 or 401 would make callers give up on
    what is there, so it answers that nothing ran and when to come back.
    """

    async def scene(played):
        played.store.switches.status = 503
        played.nursery.start_soon(played.start_router)
        await played.until(lambda: played.router is not None)
        await trio.sleep(0.3)
        reply = await played.request("/read/x")
        assert reply.status == 503
        assert float(reply.headers["retry-after"]) > 0
        ready = await played.request("/readyz", address=played.ready)
        assert ready.status == 503
        played.store.put("config", "main", config())
        played.store.switches.status = 0
        await played.until(lambda: played.router.view.table is not None)
        ready = await played.request("/readyz", address=played.ready)
        assert ready.status == 200

    play(tmp_path, scene)


def test_a_failed_repeatable_request_runs_again_elsewhere(tmp_path):
    async def scene(played):
        await portal(played)
        played.plain[0].failures = ["error"] * 5
        for number in range(3):
            reply = await played.request("/read/x", request_id=f"r{number}")
            assert reply.body == b"answer of p2"

    play(tmp_path, scene)


def test_what_may_not_be_repeated_is_sent_once_and_promises_nothing(tmp_path):
    """The only run's answer breaks off half way.

    The target has run the request, so 503 would invite the caller to run it a
    second time; the caller is told that the outcome is unknown.
    """

    async def scene(played):
        await portal(played)
        for target in played.plain:
            target.failures = ["cut"]
        reply = await played.request("/post/x", "POST", body=b"x")
        assert reply.status == 502
        assert runs(played) == 1

    play(tmp_path, scene)


def test_a_refusal_by_a_target_is_tried_elsewhere_even_if_not_repeatable(tmp_path):
    async def scene(played):
        await portal(played)
        played.plain[0].failures = ["refuse"]
        played.plain[1].failures = ["refuse"]
        refused = await played.request("/post/x", "POST", body=b"x")
        assert refused.status == 503
        assert float(refused.headers["retry-after"]) > 0
        assert runs(played) == 0
        reply = await played.request("/post/x", "POST", body=b"x", request_id="r2")
        assert reply.status == 200

    play(tmp_path, scene)


def test_an_answer_to_another_request_never_reaches_the_caller(tmp_path):
    async def scene(played):
        await portal(played)
        for target in played.plain:
            target.failures = ["wrong-id"]
        reply = await played.request("/post/x", "POST", body=b"x")
        assert reply.status == 502
        assert b"answer of" not in reply.body
        again = await played.request("/read/x", request_id="r2")
        assert again.status == 200

    play(tmp_path, scene)


def test_a_lost_answer_is_asked_for_elsewhere_within_the_objective(tmp_path):
    """A target runs a request and its answer never comes.

    A repeatable one is sent to a second target while the caller still waits.
    """

    async def scene(played):
        await portal(played)
        played.plain[0].failures = ["silent"] * 5
        for number in range(2):
            started = trio.current_time()
            reply = await played.request("/read/x", request_id=f"r{number}")
            assert reply.body == b"answer of p2"
            assert trio.current_time() - started < 0.8

    play(tmp_path, scene)


def test_a_request_that_was_sent_twice_at_once_is_seen_by_no_third_target(tmp_path):
    """The first target is slow, so a second one is asked as well; both fail.

    The route allows two targets, and two have seen the request.
    """

    async def scene(played):
        await portal(played, targets=3)
        for target in played.plain:
            target.work_s = 0.7
            target.failures = ["error"] * 3
        reply = await played.request("/read/x")
        assert reply.status == 500
        assert sum(bool(target.ran) for target in played.plain) == 2

    play(tmp_path, scene)


def test_a_silent_run_that_may_not_be_repeated_ends_at_the_routes_timeout(tmp_path):
    async def scene(played):
        routes = [route("post", "non_idempotent", "portal", timeoutMs=400)]
        played.store.put("config", "main", config(routes=routes))
        target = await played.add_plain("p1")
        target.failures = ["silent"]
        await played.start_router()
        started = trio.current_time()
        reply = await played.request("/post/x", "POST", body=b"x")
        assert reply.status == 504
        assert 0.35 < trio.current_time() - started < 0.8

    play(tmp_path, scene)


def test_a_newer_configuration_is_in_force_at_once_and_an_older_one_never(tmp_path):
    async def scene(played):
        await portal(played)
        only = [route("other", "idempotent", "portal")]
        played.store.put("config", "main", config(5, routes=only))
        await played.until(lambda: played.router.view.table.config.version == 5)
        assert (await played.request("/read/x")).status == 404
        assert (await played.request("/other/x", request_id="r2")).status == 200
        played.store.put("config", "main", config(4))
        await trio.sleep(0.5)
        assert played.router.view.table.config.version == 5

    play(tmp_path, scene)


def test_a_key_is_refused_once_the_store_has_been_silent_too_long(tmp_path):
    """The store falls silent, and a key is taken away meanwhile.

    The host cannot know; after the bound it refuses every key with a promise,
    not with 401, and public routes go on.
    """

    async def scene(played):
        await portal(played, revoke="1500ms")
        assert (await played.request("/read/x")).status == 200
        played.store.switches.silent = True
        await trio.sleep(2.6)
        reply = await played.request("/read/x", request_id="r2")
        assert reply.status == 503
        assert float(reply.headers["retry-after"]) >= 1
        public = await played.request("/open/x", request_id="r3")
        assert public.status == 200

    play(tmp_path, scene)


def test_entries_that_cannot_be_read_name_no_target_and_the_others_hold(tmp_path):
    async def scene(played):
        await portal(played)
        good = played.store.spec("servers", "p1")
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
            played.store.put("servers", f"bad{number}", spec)
        await trio.sleep(0.6)
        directory = played.router.view.directory
        assert sorted(r.id for r in directory.listed("portal")) == ["p1", "p2"]
        assert (await played.request("/read/x")).status == 200
        played.store.put("servers", "p1", {"service": 1})
        await played.until(lambda: len(directory.listed("portal")) == 1)

    play(tmp_path, scene)


def test_targets_that_leave_get_no_more_work_after_history_was_lost(tmp_path):
    async def scene(played):
        await portal(played)
        entry = played.store.spec("servers", "p1")
        played.store.put("servers", "p1", entry | {"state": "draining"})
        played.store.forget_history()
        directory = played.router.view.directory
        await played.until(lambda: len(directory.listed("portal")) == 1)
        for number in range(4):
            reply = await played.request("/read/x", request_id=f"r{number}")
            assert reply.body == b"answer of p2"

    play(tmp_path, scene)


def test_pages_of_a_list_are_read_to_the_end(tmp_path):
    async def scene(played):
        played.store.switches.page_items = 2
        await portal(played, targets=5)
        directory = played.router.view.directory
        assert len(directory.listed("portal")) == 5

    play(tmp_path, scene)


def test_a_stream_passes_every_part_and_comes_back_whole(tmp_path):
    async def scene(played):
        await pool(played, [(0, 40), (40, 80)])
        reply = await played.request("/stream/x", "POST", body=b"{}")
        assert reply.status == 200 and reply.whole
        assert reply.body.count(b"\n\n") == 6
        first, second = played.layered
        path = f"{first.address}=0-40,{second.address}=40-80"
        assert first.paths == [path]

    play(tmp_path, scene)


def test_a_stream_that_breaks_within_an_event_goes_on_at_another_target(tmp_path):
    """The first target breaks off in the middle of an event.

    The caller gets each event once and in order, in one answer with the first
    target's signature, and never the torn half.
    """

    async def scene(played):
        await pool(played, [(0, 80), (0, 80)])
        for target in played.layered:
            target.cut_after = 3
        played.layered[1].cut_after = 0
        for number in range(2):
            reply = await played.request(
                "/stream/x", "POST", request_id=f"r{number}", body=b"{}"
            )
            assert reply.whole
            ids = [line for line in reply.body.split(b"\n") if line.startswith(b"id")]
            assert ids == [b"id: %d" % number for number in range(1, 7)]

    play(tmp_path, scene)


def test_a_part_that_dies_in_mid_stream_is_gone_around(tmp_path):
    """The second part of a path dies while a stream passes it.

    Nothing is cut off: the first target only falls silent.  Asked, it names the
    dead part; the path is changed in place and the caller sees a pause.
    """

    async def scene(played):
        await pool(played, [(0, 40), (40, 80), (40, 80)], events=30)
        replies = []

        async def call():
            replies.append(await played.request("/stream/x", "POST", body=b"{}"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(call)
            await trio.sleep(0.3)
            first = played.layered[0]
            used = next(t for t in played.layered[1:] if t.address in first.paths[0])
            used.dead = True
        (reply,) = replies
        assert reply.whole and reply.body.count(b"\n\n") == 30
        assert len(first.paths) == 2 and used.address not in first.paths[1]
        assert first.runs["r1"] == 1

    play(tmp_path, scene)


def test_a_dead_part_is_found_and_gone_around_within_a_pause_on_time(tmp_path):
    """The second part of a path dies under a stream whose pauses may last 0.3 s.

    The first target names the dead part only in a later report, and streams are
    given up on after more than a second.  Each target of the path is asked itself
    at the first sign of silence; the caller never sees a pause that is too long.
    """

    async def scene(played):
        pauses = [route("stream", "streaming", "pool", gapAimMs=300)]
        played.store.put("config", "main", config(routes=pauses))
        for number, (first, end) in enumerate([(0, 40), (40, 80), (40, 80)]):
            await played.add_layered(f"t{number + 1}", first, end, events=40)
        await played.start_router()
        # The usual time of an answer is measured first.
        assert (await played.request("/stream/x", "POST", body=b"{}")).whole
        replies = []

        async def call():
            replies.append(
                await played.request("/stream/x", "POST", request_id="r2", body=b"{}")
            )

        async with trio.open_nursery() as nursery:
            nursery.start_soon(call)
            await trio.sleep(0.3)
            first = played.layered[0]
            used = next(t for t in played.layered[1:] if t.address in first.paths[-1])
            used.dead = True
        (reply,) = replies
        assert reply.whole and reply.body.count(b"\n\n") == 40
        assert reply.longest_gap_s < 0.3

    play(tmp_path, scene)


def test_a_first_target_that_dies_in_mid_stream_is_replaced(tmp_path):
    async def scene(played):
        await pool(played, [(0, 80), (0, 80)], events=30)
        replies = []

        async def call():
            replies.append(await played.request("/stream/x", "POST", body=b"{}"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(call)
            await trio.sleep(0.3)
            used = next(target for target in played.layered if target.runs)
            used.dead = True
        (reply,) = replies
        ids = [line for line in reply.body.split(b"\n") if line.startswith(b"id")]
        assert reply.whole
        assert ids == [b"id: %d" % number for number in range(1, 31)]
        assert reply.headers["x-server-stamp"] == used.id

    play(tmp_path, scene)


def test_a_stream_that_breaks_again_and_again_is_seen_by_few_targets(tmp_path):
    """Each target breaks the stream off after one event.

    The stream may be sent on, but no more targets see it than the route allows:
    after two it goes on at one of them.
    """

    async def scene(played):
        await pool(played, [(0, 80)] * 4, events=4)
        for target in played.layered:
            target.cut_after = 1
        reply = await played.request("/stream/x", "POST", body=b"{}")
        seen = [target.id for target in played.layered if target.runs["r1"]]
        assert len(seen) == 2
        assert reply.whole

    play(tmp_path, scene)


def test_a_stream_without_any_path_is_refused_at_once(tmp_path):
    async def scene(played):
        await pool(played, [(0, 40)])
        started = trio.current_time()
        reply = await played.request("/stream/x", "POST", body=b"{}")
        assert reply.status == 503
        assert float(reply.headers["retry-after"]) > 0
        assert trio.current_time() - started < 0.3

    play(tmp_path, scene)


def test_a_zone_that_is_cut_off_does_not_use_up_a_streams_attempts(tmp_path):
    """Another zone, with the fastest targets, is cut off; its own could serve.

    Each attempt begins at another target of the lost zone and is refused at once.
    After four of them the caller would be told that there is no path.
    """

    async def scene(played):
        await pool(played, [(0, 40), (40, 80)])
        for number in range(20):
            address = f"127.0.0.1:{free_port()}"
            entry = layered_entry(address, 0, 80) | {"zone": "b"}
            played.store.put("servers", f"far-{number}", entry)
        view = played.router.view
        await played.until(lambda: len(list(view.directory.all_records())) == 22)
        for near in ("t1", "t2"):
            view.paces.note(near, 50.0, view.clock.now())
        reply = await played.request("/stream/x", "POST", body=b"{}")
        assert reply.status == 200 and reply.whole

    play(tmp_path, scene)


def test_work_ends_when_its_caller_leaves(tmp_path):
    async def scene(played):
        await pool(played, [(0, 80)], events=500)
        with trio.move_on_after(0.4):
            await played.request("/stream/x", "POST", body=b"{}")
        target = played.layered[0]
        await played.until(lambda: not target._path_by_request, limit_s=0.5)
        assert played.router.view.load.own_by_id == {}

    play(tmp_path, scene)


def test_empty_targets_are_given_their_layers_once(tmp_path):
    async def scene(played):
        await pool(played, [(0, 0), (0, 0)])
        await played.until(lambda: all(t.orders for t in played.layered))
        spans = sorted((target.first, target.end) for target in played.layered)
        assert spans == [(0, 40), (40, 80)]
        assert all(t.order_log[0]["expectRev"] == 0 for t in played.layered)
        for target in played.layered:
            held = {"from": target.first, "target": target.end, "version": 1}
            entry = played.store.spec("servers", target.id) | {"layers": held}
            played.store.put("servers", target.id, entry)
        await trio.sleep(1.0)
        assert [target.orders for target in played.layered] == [1, 1]
        reply = await played.request("/stream/x", "POST", body=b"{}")
        assert reply.whole

    play(tmp_path, scene)


def test_layers_that_are_held_are_never_ordered_again(tmp_path):
    """All hosts were restarted; the targets kept what they hold.

    Their entries lag, so the list may still show them empty; a target is asked
    before it is ordered.
    """

    async def scene(played):
        played.store.put("config", "main", config())
        target = await played.add_layered("t1", 0, 80)
        entry = played.store.spec("servers", "t1") | {"layers": None}
        played.store.put("servers", "t1", entry)
        await played.start_router()
        await trio.sleep(2.5)
        assert target.order_log == []

    play(tmp_path, scene)


def test_a_leaving_host_serves_on_and_asks_callers_to_close(tmp_path):
    async def scene(played):
        await portal(played)
        played.stop.set()
        await played.until(lambda: played.router.view.leaving)
        ready = await played.request("/readyz", address=played.ready)
        assert ready.status == 503
        reply = await played.request("/read/x")
        assert reply.status == 200
        assert reply.headers["connection"] == "close"

    play(tmp_path, scene)


def test_a_key_is_no_longer_admitted_after_its_removal(tmp_path):
    async def scene(played):
        await portal(played)
        assert (await played.request("/read/x")).status == 200
        tenants = [{"name": "w1", "apiKeys": ["new"]}]
        played.store.put("config", "main", config(2, tenants=tenants))
        await played.until(lambda: played.router.view.table.config.version == 2)
        assert (await played.request("/read/x", request_id="r2")).status == 401
        allowed = await played.request("/read/x", request_id="r3", key="new")
        assert allowed.status == 200
        assert KEY != "new"

    play(tmp_path, scene)


def test_a_repeatable_request_that_may_have_run_is_never_promised_not_to_have(tmp_path):
    """Every target breaks off its answer, and all tries are used up.

    The request has run; 503 would say that it has not.
    """

    async def scene(played):
        await portal(played)
        for target in played.plain:
            target.failures = ["cut"] * 5
        reply = await played.request("/read/x")
        assert reply.status == 502
        assert runs(played) == 2

    play(tmp_path, scene)


def test_a_stream_whose_only_target_died_after_it_began_promises_nothing(tmp_path):
    """The only path breaks off before the first event and nothing else is left."""

    async def scene(played):
        await pool(played, [(0, 80)], events=5, gap_s=30.0)
        replies = []

        async def call():
            replies.append(await played.request("/stream/x", "POST", body=b"{}"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(call)
            await played.until(lambda: bool(played.layered[0].runs))
            played.layered[0].dead = True
        assert replies[0].status in (502, 504)

    play(tmp_path, scene)


def test_a_stream_of_a_service_without_layers_is_passed_on_event_by_event(tmp_path):
    """A route streams from targets that each serve alone.

    Events reach the caller as they come, not all together at the end, and a break
    is gone around as on paths.
    """

    async def scene(played):
        services = [{"name": "pool", "healthPath": "/h", "maxConns": 100}]
        played.store.put("config", "main", config(services=services))
        for number in range(2):
            await played.add_layered(f"t{number + 1}", 0, 80, events=10, gap_s=0.05)
        played.layered[0].cut_after = 4
        await played.start_router()
        for number in range(4):
            reply = await played.request(
                "/stream/x", "POST", request_id=f"r{number}", body=b"{}"
            )
            ids = [line for line in reply.body.split(b"\n") if line.startswith(b"id")]
            assert reply.whole
            assert ids == [b"id: %d" % event for event in range(1, 11)]
        assert set(played.layered[0].paths + played.layered[1].paths) == {""}

    play(tmp_path, scene)


def test_a_key_that_is_taken_away_while_its_request_waits_does_not_run(tmp_path):
    """All paths are full, so a stream stands in line.

    Its key is taken away meanwhile; when a place is freed the request must not
    take it, although its key was good when it came.
    """

    async def scene(played):
        await pool(played, [(0, 80)])
        load, replies = played.router.view.load, []
        load.started("t1", 1e9, True)

        async def call():
            replies.append(await played.request("/stream/x", "POST", body=b"{}"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(call)
            await trio.sleep(0.3)
            tenants = [{"name": "w1", "apiKeys": ["new"]}]
            played.store.put("config", "main", config(2, tenants=tenants))
            await played.until(lambda: played.router.view.table.config.version == 2)
            load.ended("t1", 1e9, True)
        assert replies[0].status == 401
        assert not played.layered[0].runs

    play(tmp_path, scene)


def test_datagrams_that_can_not_be_read_are_counted_on_the_metrics_page(tmp_path):
    """A stranger's bytes reach the port for peers; operators see that they came."""

    async def scene(played):
        await portal(played, targets=1)
        with trio.socket.socket(type=trio.socket.SOCK_DGRAM) as sock:
            host, _, port = played.gossip.rpartition(":")
            await sock.sendto(b"no status", (host, int(port)))
        peers = played.router._kernel.find("peers", object)
        await played.until(lambda: peers.malformed == 1)
        reply = await played.request("/metrics", address=played.metrics)
        lines = reply.body.decode().splitlines()
        (told,) = [x for x in lines if "peer_malformed" in x and x[0] != "#"]
        assert told.endswith(" 1.0")

    play(tmp_path, scene)
