"""The daemons as processes, killed, stopped and replaced under requests."""

import signal
import time

import httpcore
import pytest
import trio

from proofs._processes import Heard, RelayedFleet, stream
from standins.launcher import chat, expected_text, post

TOKENS = 60


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    relayed = RelayedFleet(tmp_path_factory.mktemp("fleet"))
    try:
        relayed.start()
        yield relayed
    finally:
        relayed.stop()


def play(fleet, port, prompt, trouble, profile="review", key=""):
    """Stream an answer; once its first tokens are there, play the trouble."""
    heard = Heard(prompt, TOKENS)

    async def main():
        first_token = trio.Event()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(stream, port, heard, profile, key, first_token)
            with trio.move_on_after(10):
                await first_token.wait()
            await trio.sleep(0.15)
            await trio.to_thread.run_sync(trouble, heard)

    trio.run(main)
    return heard


def test_stage_killed_in_mid_token_is_replaced_and_the_answer_is_whole(fleet):
    """The caller sees one whole answer, with a pause.

    A stage in the middle of the route is killed while tokens flow.  The next
    attempt goes on from the committed tokens on another route.
    """
    killed = []

    def kill(heard):
        killed.append(fleet.stages_of(heard.system_id)[2])
        fleet.end(killed[0], signal.SIGKILL)

    heard = play(fleet, fleet.entry_ports[0], "kill a stage", kill)
    doubled = fleet.layers_run_twice(heard.system_id)
    fleet.restart_engine(killed[0])
    assert heard.is_whole, heard
    assert doubled == []


def test_work_that_may_not_run_twice_is_not_started_again_after_a_kill(fleet):
    """The caller hears "unknown", and so does its repeat at another host.

    The first stage is killed in the middle of a draft.  The route may have had
    effects, so neither the system nor the caller's repeat starts it again.
    """
    killed = []

    def kill(heard):
        killed.append(fleet.stages_of(heard.system_id)[1])
        fleet.end(killed[0], signal.SIGKILL)

    ports = fleet.entry_ports
    heard = play(fleet, ports[0], "kill a draft", kill, "draft", "ticket-1")
    starts = fleet.starts_of(heard.system_id)
    fleet.restart_engine(killed[0])
    assert not heard.is_done and heard.outcome == "unknown", heard
    assert starts == 1
    repeat = chat(ports[-1], "draft", "kill a draft", TOKENS, key="ticket-1")
    assert repeat.outcome == "unknown", repeat
    assert fleet.starts_of(repeat.system_id) == 0


def test_call_that_may_not_run_twice_runs_once_whatever_host_its_repeat_reaches(fleet):
    """The caller repeats a notice at each host and gets the first run's answer."""
    ports = fleet.entry_ports
    headers = {"idempotency-key": "notice-1", "content-type": "application/json"}
    path = "/v1/services/portal/notices"
    told = [post(port, path, {"text": "delayed"}, headers) for port in (*ports, *ports)]
    assert {answer.status for answer in told} == {200}, told
    assert len({answer.body for answer in told}) == 1
    calls = fleet.service_record().calls
    assert sum(call.idempotency_key == "notice-1" for call in calls) <= 1
    assert sum(call.path == "/notices" for call in calls) == 1


def test_finished_draft_is_answered_again_without_running_again(fleet):
    """The caller repeats a finished draft elsewhere and gets the same answer."""
    ports = fleet.entry_ports
    first = chat(ports[0], "draft", "once only", 6, key="ticket-3")
    again = [chat(port, "draft", "once only", 6, key="ticket-3") for port in ports]
    assert first.code == "1000" and first.text == expected_text("once only", 6)
    assert {(told.code, told.text) for told in again} == {("1001", first.text)}
    assert fleet.starts_of(first.system_id) == 1
    assert sum(fleet.starts_of(told.system_id) for told in again) == 0
    reused = chat(ports[-1], "draft", "another body", 6, key="ticket-3")
    assert reused.outcome == "not-run" and reused.code == "2007"


def test_stopped_stage_is_taken_for_silent_and_the_answer_is_whole(fleet):
    """The caller sees one whole answer although a stage stands still.

    The stage is stopped, so its connections stay open and say nothing.  It goes
    on later, and what it still does then reaches no caller.
    """
    stopped = []

    def stop(heard):
        stopped.append(fleet.stages_of(heard.system_id)[0])
        fleet.signal(stopped[0], signal.SIGSTOP)

    try:
        heard = play(fleet, fleet.entry_ports[0], "stop a stage", stop)
    finally:
        fleet.signal(stopped[0], signal.SIGCONT)
    assert heard.is_whole, heard
    again = play(fleet, fleet.entry_ports[0], "after the stop", lambda heard: None)
    assert again.is_whole, again


def test_silent_connection_is_replaced_by_a_new_one(fleet):
    """The caller sees one whole answer although a connection fell silent.

    Whatever stands between host and target forgets the open connections; new
    ones work.  Drafts may not be started again, so that the answer is whole
    shows that the attempt was attached to and not repeated.
    """
    for number in range(6):
        heard = play(
            fleet,
            fleet.entry_ports[0],
            f"silence {number}",
            lambda heard: fleet.relay.silence_open_connections(),
            "draft",
            f"silent-{number}",
        )
        assert heard.is_whole, heard
        assert fleet.starts_of(heard.system_id) == 1
        if "a-engine-0" in fleet.stages_of(heard.system_id):
            return
    pytest.fail("no request passed the relay")


def test_entry_host_that_was_stopped_goes_on_with_its_streams(fleet):
    """The caller sees one whole answer after a pause; other hosts serve."""
    entry = list(fleet.entries_by_id.values())[0]
    others = []

    def stop(heard):
        fleet.signal(entry.id, signal.SIGSTOP)
        told = chat(fleet.entry_ports[1], "review", "meanwhile", 4)
        others.append(told.status)
        fleet.signal(entry.id, signal.SIGCONT)

    heard = play(fleet, entry.caller_port, "stop a host", stop)
    assert heard.is_whole, heard
    assert others == [200]


def test_target_that_an_operator_drains_gets_no_new_work_after_seconds(fleet):
    """Callers notice nothing; the drained engine runs no new request's step."""
    entry = list(fleet.entries_by_id)[0]
    drain = "/v1/drains/target/a-engine-8"
    assert fleet.operate(entry, "PUT", drain, {}) == 200
    try:
        time.sleep(4)
        before = fleet.starts_at("a-engine-8")
        for number in range(12):
            port = fleet.entry_ports[number % len(fleet.entry_ports)]
            assert chat(port, "review", f"drained {number}", 3).status == 200
        assert fleet.starts_at("a-engine-8") == before
    finally:
        assert fleet.operate(entry, "DELETE", drain, {}) == 200


def test_profile_change_is_in_force_at_every_host_within_seconds(fleet):
    """One of two racing operators wins, and every host serves by the change."""
    first, *_, last = fleet.entries_by_id
    fresh = {"name": "fresh", "model": "small"}
    assert fleet.operate(first, "POST", "/v1/profiles", fresh) in (200, 201)
    changed = {**fresh, "deadline_s": 20.0, "expected_version": 1}
    told = [
        fleet.operate(host, "PUT", "/v1/profiles/fresh", changed)
        for host in (first, last)
    ]
    assert sorted(told) == [200, 409]
    assert fleet.operate(last, "DELETE", "/v1/profiles/fresh", {}) == 200
    deadline = time.monotonic() + 8.0
    codes = set()
    while codes != {"2008"} and time.monotonic() < deadline:
        codes = {chat(port, "fresh", "x", 1).code for port in fleet.entry_ports}
        time.sleep(0.1)
    assert codes == {"2008"}


def test_work_of_a_killed_entry_host_is_unknown_to_the_others(fleet):
    """The caller's connection breaks; its repeat elsewhere does not run again.

    The host is killed while it streams a draft.  Nobody can know how the draft
    went, so the repeat hears "unknown".  A review may simply be asked again.
    """
    victim = list(fleet.entries_by_id)[1]
    port = fleet.entries_by_id[victim].caller_port
    zone = fleet.entries_by_id[victim].zone

    def kill(heard):
        fleet.end(victim, signal.SIGKILL)

    heard = play(fleet, port, "kill a host", kill, "draft", "ticket-2")
    assert heard.broken and not heard.is_done
    repeat = chat(fleet.entry_ports[0], "draft", "kill a host", TOKENS, "ticket-2")
    assert repeat.outcome == "unknown", repeat
    assert fleet.starts_of(heard.system_id) == 1
    assert fleet.starts_of(repeat.system_id) == 0
    again = play(fleet, fleet.entry_ports[0], "kill a host", lambda heard: None)
    assert again.is_whole, again
    fleet.wait_serving(fleet.start_entry(f"{victim}-again", zone))


def test_platform_that_stands_still_stops_no_request(fleet):
    """Callers notice nothing while the platform's service does not answer."""
    fleet.signal("platform", signal.SIGSTOP)
    try:
        for port in fleet.entry_ports:
            heard = play(fleet, port, f"no platform {port}", lambda heard: None)
            assert heard.is_whole, heard
    finally:
        fleet.signal("platform", signal.SIGCONT)


def test_every_entry_host_is_replaced_under_load_and_no_request_is_cut(fleet):
    """Callers that go elsewhere when told "not run" get every answer whole.

    One host after another gets a successor and a SIGTERM.  It finishes what it
    has, and refuses new work with the word that it was not run.
    """
    heard_by_number = {}
    tried_elsewhere = []

    async def caller(number, stop):
        count = 0
        while not stop.is_set():
            heard = Heard(f"load {number} {count}", 20)
            count += 1
            for _ in range(40):
                ports = fleet.entry_ports
                port = ports[(number + count) % len(ports)]
                heard = await stream(port, Heard(heard.prompt, 20))
                if heard.outcome != "not-run" and heard.broken != "ConnectError":
                    break
                tried_elsewhere.append(heard)
                count += 1
                await trio.sleep(0.1)
            heard_by_number[number, count] = heard

    def replace_all():
        for entry in list(fleet.entries_by_id.values()):
            successor = fleet.start_entry(f"{entry.id}-next", entry.zone)
            fleet.wait_serving(successor)
            fleet.end(entry.id, signal.SIGTERM)
            assert entry.process.returncode == 0

    async def main():
        stop = trio.Event()
        async with trio.open_nursery() as nursery:
            for number in range(4):
                nursery.start_soon(caller, number, stop)
            await trio.to_thread.run_sync(replace_all)
            stop.set()

    trio.run(main)
    cut = [heard for heard in heard_by_number.values() if not heard.is_whole]
    assert cut == []
    assert len(heard_by_number) > 20


def test_stream_in_flight_outlives_the_signal_to_stop(fleet):
    """The caller's answer is whole although its host was told to stop."""
    entry = list(fleet.entries_by_id.values())[0]
    told = []

    def stop(heard):
        fleet.signal(entry.id, signal.SIGTERM)
        told.append(httpcore.request("GET", url).status)

    url = f"http://127.0.0.1:{entry.caller_port}/readyz"
    heard = play(fleet, entry.caller_port, "stop in mid stream", stop)
    assert heard.is_whole, heard
    assert told == [503] or told == [200]
    assert entry.process.wait(timeout=20) == 0
    fleet.processes_by_id.pop(entry.id)
    fleet.entries_by_id.pop(entry.id)
