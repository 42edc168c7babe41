"""The store's client against the stand-in: lists, watches, writes, failures."""

import trio

from radishfield.core import ResultCode, SystemClock
from radishfield.platform import ObjectStore
from radishfield.web import (
    ApiAddress,
    ApiCaller,
    CallBudget,
    ListenerConfig,
    serve_app,
)
from standins.object_store import ObjectStoreApp


def play(scene):
    async def main():
        app = ObjectStoreApp()
        listener = ListenerConfig.from_settings("127.0.0.1:0", drain_s=0.0)
        with trio.fail_after(15):
            async with trio.open_nursery() as nursery:
                (url,) = await nursery.start(serve_app, app, listener, None)
                address = url.removeprefix("http://")
                calls = ApiCaller(ApiAddress(address), CallBudget(), SystemClock())
                await scene(app, ObjectStore(calls), calls)
                nursery.cancel_scope.cancel()

    trio.run(main)


def test_a_list_in_pages_is_read_whole_and_watched_from_its_first_page():
    async def scene(app, store, calls):
        app.switches.page_items = 3
        for number in range(8):
            app.put("k", f"n{number}", {"v": number})
        listing = (await store.list("k")).ok
        assert [value.name for value in listing.values] == [f"n{n}" for n in range(8)]
        assert listing.revision == app.revision

    play(scene)


def test_a_watch_tells_changes_and_removals_and_ends_in_time():
    async def scene(app, store, calls):
        app.put("k", "a", 1)
        revision = app.revision
        app.put("k", "b", 2)
        app.remove("k", "a")
        seen = (await store.watch("k", revision, 1.0)).ok
        assert [(c.value.name, c.deleted) for c in seen.changes] == [
            ("b", False),
            ("a", True),
        ]
        started = trio.current_time()
        nothing = (await store.watch("k", seen.revision, 0.3)).ok
        assert nothing.changes == () and trio.current_time() - started < 1.0

    play(scene)


def test_history_that_is_gone_is_told_apart():
    async def scene(app, store, calls):
        app.put("k", "a", 1)
        app.forget_history()
        gone = await store.watch("k", 1, 0.3)
        assert gone.error.code is ResultCode.WATCH_GAP

    play(scene)


def test_conditional_writes_lose_to_whoever_wrote_before():
    async def scene(app, store, calls):
        made = (await store.create("k", "a", 1)).ok
        again = await store.create("k", "a", 2)
        assert again.error.code is ResultCode.PLATFORM_CONFLICT
        app.put("k", "a", 3)
        late = await store.replace("k", "a", 4, made.revision)
        assert late.error.code is ResultCode.PLATFORM_CONFLICT
        read = (await store.read("k", "a")).ok
        assert read.spec == 3
        assert (await store.replace("k", "a", 4, read.revision)).is_ok()

    play(scene)


def test_a_write_whose_answer_is_lost_may_be_done_and_says_so():
    """The store makes a change and its answer is lost.

    Told as refused, the change would be made again by somebody else's hand;
    told as done, a change that never came would be relied on.
    """

    async def scene(app, store, calls):
        app.switches.lost_answers = 1
        lost = await store.create("k", "a", 1)
        assert lost.error.code is ResultCode.PLATFORM_AMBIGUOUS
        assert (await store.read("k", "a")).ok.spec == 1

    play(scene)


def test_refusals_prove_that_nothing_was_done():
    async def scene(app, store, calls):
        for status, code in (
            (429, ResultCode.PLATFORM_RATE_LIMITED),
            (503, ResultCode.PLATFORM_UNAVAILABLE),
        ):
            app.switches.status = status
            assert (await store.list("k")).error.code is code
        app.switches.status = 0
        assert (await store.list("k")).is_ok()
        assert calls.faults_by_code[ResultCode.PLATFORM_RATE_LIMITED] == 1

    play(scene)


def test_a_silent_store_costs_its_time_limit_and_new_connections_work():
    async def scene(app, store, calls):
        assert (await store.list("k")).is_ok()
        app.switches.silent = True
        started = trio.current_time()
        silent = await store.watch("k", 1, 0.2)
        assert silent.error.code is ResultCode.PLATFORM_UNAVAILABLE
        assert trio.current_time() - started < 1.6
        app.switches.silent = False
        assert (await store.list("k")).is_ok()

    play(scene)


def test_a_lost_answer_leaves_a_watch_on_its_way_alone():
    """A list is not answered while a watch waits on another connection.

    Ended with the lost one's connections the watch would fail as well, and the host
    would take one lost answer for an outage.
    """

    async def scene(app, store, calls):
        app.put("k", "a", 1)
        seen = []

        async def watch():
            seen.append(await store.watch("k", app.revision, 4.0))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch)
            await trio.sleep(0.1)
            app.switches.silent = True
            assert (await store.read("k", "a")).is_error()
            app.switches.silent = False
            app.put("k", "b", 2)
        assert seen[0].is_ok()
        assert [change.value.name for change in seen[0].ok.changes] == ["b"]

    play(scene)


def test_a_budget_bounds_the_calls():
    async def scene(app, store, calls):
        calls._budget = CallBudget(0.1, 2.0, 2.0, trio.current_time())
        results = [await store.read("k", "a") for _ in range(3)]
        codes = [result.error.code for result in results]
        missing = ResultCode.OBJECT_NOT_FOUND
        assert codes == [missing, missing, ResultCode.PLATFORM_RATE_LIMITED]
        assert app.calls == 2

    play(scene)


def test_objects_that_cannot_be_read_do_not_hide_the_others():
    async def scene(app, store, calls):
        app.put("k", "a", {"v": 1})
        app._items["k"]["b"] = "no object"
        app.put("k", "c", {"v": 3})
        listing = (await store.list("k")).ok
        assert [value.name for value in listing.values] == ["a", "", "c"]

    play(scene)


def test_an_unreadable_object_at_the_end_of_a_page_does_not_end_the_list():
    async def scene(app, store, calls):
        app.switches.page_items = 2
        for name in "acd":
            app.put("k", name, 1)
        app._items["k"]["b"] = "no object"
        listing = (await store.list("k")).ok
        assert {value.name for value in listing.values} == {"a", "", "c", "d"}

    play(scene)
