"""Tests of the store's client on the stand-in: lists, watches, writes, failures."""

import pytest
import trio

from radishfield.core import ResultCode, SystemClock
from radishfield.platform import ObjectStore
from radishfield.platform._store import _read_value
from radishfield.routing import Position
from radishfield.web import (
    ApiAddress,
    ApiCaller,
    CallBudget,
    ListenerConfig,
    serve_app,
)
from standins.object_store import ObjectStoreApp


def run_scenario(scenario):
    async def main():
        app = ObjectStoreApp()
        listener = ListenerConfig.from_settings("127.0.0.1:0", drain_s=0.0)
        with trio.fail_after(15):
            async with trio.open_nursery() as nursery:
                (url,) = await nursery.start(serve_app, app, listener, None)
                address = url.removeprefix("http://")
                calls = ApiCaller(ApiAddress(address), CallBudget(), SystemClock())
                await scenario(app, ObjectStore(calls), calls)
                nursery.cancel_scope.cancel()

    trio.run(main)


def test_paged_list_is_complete_and_has_the_revision_of_its_first_page():
    async def scenario(app, store, calls):
        app.switches.page_items = 3
        for number in range(8):
            app.put("k", f"n{number}", {"v": number})
        listing = (await store.list("k")).ok
        assert [value.name for value in listing.values] == [f"n{n}" for n in range(8)]
        assert listing.position == app.position

    run_scenario(scenario)


@pytest.mark.parametrize(
    "spec", [b"[" * 100_000 + b"]" * 100_000, b"9" * 5000, b"1e999", b'"\xff"']
)
def test_content_that_can_not_be_read_is_none(spec):
    """Guards against an end of the process by an entry that is nested too deeply."""
    value = _read_value(b'{"metadata": {"name": "a"}, "spec": ' + spec + b"}", era=1)
    assert value.spec is None


def test_watch_returns_changes_and_removals_and_times_out():
    async def scenario(app, store, calls):
        app.put("k", "a", 1)
        position = app.position
        app.put("k", "b", 2)
        app.remove("k", "a")
        seen = (await store.watch("k", position, 1.0)).ok
        assert [(c.value.name, c.deleted) for c in seen.changes] == [
            ("b", False),
            ("a", True),
        ]
        started = trio.current_time()
        unchanged = (await store.watch("k", seen.position, 0.3)).ok
        assert unchanged.changes == () and trio.current_time() - started < 1.0

    run_scenario(scenario)


def test_watch_from_a_discarded_revision_gives_watch_gap():
    async def scenario(app, store, calls):
        app.put("k", "a", 1)
        app.forget_history()
        gone = await store.watch("k", Position(1, 1), 0.3)
        assert gone.error.code is ResultCode.WATCH_GAP

    run_scenario(scenario)


def test_conditional_write_conflicts_with_an_earlier_write():
    async def scenario(app, store, calls):
        created = (await store.create("k", "a", 1)).ok
        duplicate = await store.create("k", "a", 2)
        assert duplicate.error.code is ResultCode.PLATFORM_CONFLICT
        app.put("k", "a", 3)
        outdated = await store.replace("k", "a", 4, created.position)
        assert outdated.error.code is ResultCode.PLATFORM_CONFLICT
        read = (await store.read("k", "a")).ok
        assert read.spec == 3
        assert (await store.replace("k", "a", 4, read.position)).is_ok()

    run_scenario(scenario)


def test_write_with_a_lost_answer_is_reported_as_ambiguous():
    """The store makes a change and its answer is lost.

    If it were reported as refused, somebody else would make the change again.  If it
    were reported as done, a change that was never made would be relied on.
    """

    async def scenario(app, store, calls):
        app.switches.lost_answers = 1
        lost = await store.create("k", "a", 1)
        assert lost.error.code is ResultCode.PLATFORM_AMBIGUOUS
        assert (await store.read("k", "a")).ok.spec == 1

    run_scenario(scenario)


def test_refused_calls_are_reported_by_code_and_counted():
    async def scenario(app, store, calls):
        for status, code in (
            (429, ResultCode.PLATFORM_RATE_LIMITED),
            (503, ResultCode.PLATFORM_UNAVAILABLE),
        ):
            app.switches.status = status
            assert (await store.list("k")).error.code is code
        app.switches.status = 0
        assert (await store.list("k")).is_ok()
        assert calls.faults_by_code[ResultCode.PLATFORM_RATE_LIMITED] == 1

    run_scenario(scenario)


def test_silent_store_times_out_and_new_connections_work():
    async def scenario(app, store, calls):
        assert (await store.list("k")).is_ok()
        app.switches.silent = True
        started = trio.current_time()
        silent = await store.watch("k", Position(1, 1), 0.2)
        assert silent.error.code is ResultCode.PLATFORM_UNAVAILABLE
        assert trio.current_time() - started < 1.6
        app.switches.silent = False
        assert (await store.list("k")).is_ok()

    run_scenario(scenario)


def test_lost_answer_does_not_end_a_watch_in_flight():
    """A read is not answered while a watch waits on another connection.

    If all connections were closed after the lost answer, the watch would fail as well
    and the host would take one lost answer for an outage.
    """

    async def scenario(app, store, calls):
        app.put("k", "a", 1)
        seen = []

        async def watch():
            seen.append(await store.watch("k", app.position, 4.0))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch)
            await trio.sleep(0.1)
            app.switches.silent = True
            assert (await store.read("k", "a")).is_error()
            app.switches.silent = False
            app.put("k", "b", 2)
        assert seen[0].is_ok()
        assert [change.value.name for change in seen[0].ok.changes] == ["b"]

    run_scenario(scenario)


def test_renewed_connections_leave_calls_under_way_alone():
    """Guards against calls that wait on connections which the store has lost."""

    async def scenario(app, store, calls):
        app.put("k", "a", 1)
        first = calls._connections
        async with trio.open_nursery() as nursery:

            async def watch():
                assert (await store.watch("k", app.position, 0.3)).is_ok()

            nursery.start_soon(watch)
            await trio.sleep(0.1)
            calls.renew_connections()
            assert (await store.list("k")).is_ok()
        assert first.retired and calls._connections is not first

    run_scenario(scenario)


def test_call_budget_limits_the_calls():
    async def scenario(app, store, calls):
        calls._budget = CallBudget(0.1, 2.0, 2.0, trio.current_time())
        results = [await store.read("k", "a") for _ in range(3)]
        codes = [result.error.code for result in results]
        missing = ResultCode.OBJECT_NOT_FOUND
        assert codes == [missing, missing, ResultCode.PLATFORM_RATE_LIMITED]
        assert app.calls == 2

    run_scenario(scenario)


def test_unreadable_objects_do_not_hide_the_others():
    async def scenario(app, store, calls):
        app.put("k", "a", {"v": 1})
        app._items["k"]["b"] = "no object"
        app.put("k", "c", {"v": 3})
        listing = (await store.list("k")).ok
        assert [value.name for value in listing.values] == ["a", "", "c"]

    run_scenario(scenario)


UNREADABLE = {
    "escape": b'"\\udcff"',
    "unknown escape": b'"\\x"',
    "byte": b'"\xff"',
    "control character": b'"\x01"',
    "not a number": b"NaN",
    "leading zero": b"01",
    "large number": b"9" * 5000,
    "nested": b"[" * 50_000 + b"]" * 50_000,
}


@pytest.mark.parametrize("part", UNREADABLE.values(), ids=UNREADABLE)
@pytest.mark.parametrize("member", ["spec", "metadata", "status"])
def test_part_that_can_not_be_read_hides_no_other_object(part, member):
    """Guards against a list that no host can read while one such entry is there."""
    text_by_member = {
        "spec": b'{"metadata": {"name": "b"}, "spec": {"zone": %s}}',
        "metadata": b'{"metadata": {"finalizers": %s, "name": "b"}, "spec": 2}',
        "status": b'{"status": %s, "metadata": {"name": "b"}, "spec": 2}',
    }

    async def scenario(app, store, calls):
        app.put("k", "a", {"v": 1})
        position = app.position
        app.put_text("k", "b", text_by_member[member] % part)
        app.put("k", "c", {"v": "}],[{"})
        app.remove("k", "a")
        listing = (await store.list("k")).ok
        assert [value.name for value in listing.values] == ["b", "c"]
        assert listing.values[1].spec == {"v": "}],[{"}
        assert listing.position == app.position
        seen = (await store.watch("k", position, 1.0)).ok
        assert [(change.value.name, change.deleted) for change in seen.changes] == [
            ("b", False),
            ("c", False),
            ("a", True),
        ]
        assert seen.complete and seen.position == app.position
        read = (await store.read("k", "b")).ok
        assert read.name == "b"

    run_scenario(scenario)


def test_removal_whose_name_can_not_be_read_makes_the_changes_incomplete():
    """Guards against a target that is kept since its removal named nothing."""

    async def scenario(app, store, calls):
        app.put("k", "a", 1)
        position = app.position
        nameless = b'{"metadata": {"name": "\\udcff"}, "spec": 1}'
        app.put_text("k", "b", nameless)
        written = (await store.watch("k", position, 1.0)).ok
        assert written.complete
        app.put_text("k", "b", nameless, deleted=True)
        removed = (await store.watch("k", written.position, 1.0)).ok
        assert not removed.complete

    run_scenario(scenario)


def test_page_of_unreadable_names_does_not_end_the_list():
    async def scenario(app, store, calls):
        app.switches.page_items = 2
        nameless = b'{"metadata": {"name": "b%d\\udcff"}, "spec": 1}'
        app.put("k", "a", 1)
        for number in range(5):
            app.put_text("k", f"b{number}\udcff", nameless % number)
        app.put("k", "c", 1)
        names = [value.name for value in (await store.list("k")).ok.values]
        assert names[0] == "a" and names[-1] == "c"

    run_scenario(scenario)


def test_answer_that_is_no_object_is_malformed():
    async def scenario(app, store, calls):
        app.put("k", "a", 1)
        app.put_text("k", "b", b'{"metadata": {')
        malformed = (await store.list("k")).error
        assert malformed.code is ResultCode.PLATFORM_MALFORMED

    run_scenario(scenario)


def test_unreadable_object_at_the_end_of_a_page_does_not_end_the_list():
    async def scenario(app, store, calls):
        app.switches.page_items = 2
        for name in "acd":
            app.put("k", name, 1)
        app._items["k"]["b"] = "no object"
        listing = (await store.list("k")).ok
        assert {value.name for value in listing.values} == {"a", "", "c", "d"}

    run_scenario(scenario)


class Eras:
    """Keeps the newest era and counts the answers that do not count."""

    def __init__(self):
        self.known = 0
        self.problems = []
        self.dropped = 0

    def accepts(self, era):
        if era.is_error():
            self.problems.append(era.error.code)
        named = era.default_value(None) or self.known
        self.dropped += named < self.known
        accepted = named >= self.known
        self.known = max(self.known, named)
        return accepted


def run_with_eras(scenario):
    async def with_eras(app, store, calls):
        eras = Eras()
        await scenario(app, ObjectStore(calls, eras), eras)

    run_scenario(with_eras)


def test_watch_of_a_passed_era_is_a_gap_also_if_the_revision_is_there_again():
    """Guards against changes of another history that count as those since a list."""

    async def scenario(app, store, eras):
        copy = app.copy()
        app.put("k", "a", 1)
        listed = (await store.list("k")).ok
        app.restore(copy)
        app.put("k", "b", 1)
        app.put("k", "c", 1)
        for _ in range(2):
            # The first answer tells the new era; the second call is not sent.
            gap = (await store.watch("k", listed.position, 0.2)).error
            assert gap.code is ResultCode.WATCH_GAP
        assert (await store.list("k")).ok.position == app.position

    run_with_eras(scenario)


def test_conditional_write_of_a_passed_era_counts_for_nothing():
    """Guards against a write that meets another object under the same revision."""

    async def scenario(app, store, eras):
        app.put("k", "a", 1)
        copy = app.copy()
        app.put("k", "a", 2)
        read = (await store.read("k", "a")).ok
        app.restore(copy)
        app.put("k", "a", 3)
        assert read.position.revision == app.revision
        written = await store.replace("k", "a", 4, read.position)
        assert written.error.code is ResultCode.PLATFORM_AMBIGUOUS
        again = await store.replace("k", "a", 5, read.position)
        assert again.error.code is ResultCode.PLATFORM_CONFLICT
        removed = await store.remove("k", "a", read.position)
        assert removed.error.code is ResultCode.PLATFORM_CONFLICT
        assert app.spec("k", "a") == 4

    run_with_eras(scenario)


def test_answer_of_an_older_era_counts_as_lost():
    async def scenario(app, store, eras):
        app.put("k", "a", 1)
        eras.known = 2
        lost = await store.list("k")
        assert lost.error.code is ResultCode.PLATFORM_UNAVAILABLE
        written = await store.create("k", "b", 1)
        assert written.error.code is ResultCode.PLATFORM_AMBIGUOUS
        assert eras.dropped == 2

    run_with_eras(scenario)


def test_list_whose_pages_are_of_two_eras_is_a_gap(monkeypatch):
    async def scenario(app, store, eras):
        app.switches.page_items = 1
        for name in "abc":
            app.put("k", name, 1)
        eras_named = iter([b"1", b"2"])
        monkeypatch.setattr(
            ObjectStoreApp,
            "answer_headers",
            lambda self: [(b"store-era", next(eras_named))],
        )
        assert (await store.list("k")).error.code is ResultCode.WATCH_GAP

    run_with_eras(scenario)


@pytest.mark.parametrize(
    "named", [[], [b"x"], [b""], [b"-1"], [b"1", b"2"], [b"9" * 30], [b"1.5"]]
)
def test_era_that_can_not_be_read_counts_as_the_known_one(named, monkeypatch):
    async def scenario(app, store, eras):
        app.put("k", "a", 1)
        eras.known = 3
        headers = [(b"store-era", value) for value in named]
        monkeypatch.setattr(ObjectStoreApp, "answer_headers", lambda self: headers)
        listed = (await store.list("k")).ok
        assert listed.position == Position(3, app.revision) and eras.known == 3
        assert eras.problems == [ResultCode.STORE_ERA] * bool(named)

    run_with_eras(scenario)
