"""Tests of the daemons as processes: killed, stopped and replaced while they serve."""

import signal
import time

import httpcore
import pytest
import trio

from proofs._processes import ReceivedAnswer, RelayedFleet, stream
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


def stream_with_fault(fleet, port, prompt, inject_fault, profile="review", key=""):
    """Stream an answer, and inject a fault once its first tokens are there."""
    received = ReceivedAnswer(prompt, TOKENS)

    async def main():
        first_token = trio.Event()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(stream, port, received, profile, key, first_token)
            with trio.move_on_after(10):
                await first_token.wait()
            await trio.sleep(0.15)
            await trio.to_thread.run_sync(inject_fault, received)

    trio.run(main)
    return received


def test_stage_killed_in_mid_token_is_replaced_and_the_answer_is_whole(fleet):
    """The caller receives one complete answer, with a pause.

    A stage in the middle of the route is killed while tokens flow.  The next
    attempt continues from the committed tokens on another route.
    """
    killed = []

    def kill(received):
        killed.append(fleet.stages_of(received.system_id)[2])
        fleet.end(killed[0], signal.SIGKILL)

    received = stream_with_fault(fleet, fleet.entry_ports[0], "kill a stage", kill)
    doubled = fleet.layers_run_twice(received.system_id)
    fleet.restart_engine(killed[0])
    assert received.is_complete, received
    assert doubled == []


def test_work_that_may_not_run_twice_is_not_started_again_after_a_kill(fleet):
    """The caller gets "unknown", and so does its retry at another host.

    The first stage is killed in the middle of a draft.  The route may have had
    effects, so neither the system nor the caller's retry starts it again.
    """
    killed = []

    def kill(received):
        killed.append(fleet.stages_of(received.system_id)[1])
        fleet.end(killed[0], signal.SIGKILL)

    ports = fleet.entry_ports
    received = stream_with_fault(
        fleet, ports[0], "kill a draft", kill, "draft", "ticket-1"
    )
    starts = fleet.count_starts(received.system_id)
    fleet.restart_engine(killed[0])
    assert not received.is_done and received.outcome == "unknown", received
    assert starts == 1
    retry = chat(ports[-1], "draft", "kill a draft", TOKENS, key="ticket-1")
    assert retry.outcome == "unknown", retry
    assert fleet.count_starts(retry.system_id) == 0


def test_call_that_may_not_run_twice_runs_once_whatever_host_its_repeat_reaches(fleet):
    """The caller retries a notice at each host and gets the first run's answer."""
    ports = fleet.entry_ports
    headers = {"idempotency-key": "notice-1", "content-type": "application/json"}
    path = "/v1/services/portal/notices"
    answers = [
        post(port, path, {"text": "delayed"}, headers) for port in (*ports, *ports)
    ]
    assert {answer.status for answer in answers} == {200}, answers
    assert len({answer.body for answer in answers}) == 1
    calls = fleet.service_record().calls
    assert sum(call.idempotency_key == "notice-1" for call in calls) <= 1
    assert sum(call.path == "/notices" for call in calls) == 1


def test_finished_draft_is_answered_again_without_running_again(fleet):
    """The caller retries a finished draft at other hosts and gets the same answer."""
    ports = fleet.entry_ports
    first = chat(ports[0], "draft", "once only", 6, key="ticket-3")
    again = [chat(port, "draft", "once only", 6, key="ticket-3") for port in ports]
    assert first.code == "1000" and first.text == expected_text("once only", 6)
    assert {(answer.code, answer.text) for answer in again} == {("1001", first.text)}
    assert fleet.count_starts(first.system_id) == 1
    assert sum(fleet.count_starts(answer.system_id) for answer in again) == 0
    reused = chat(ports[-1], "draft", "another body", 6, key="ticket-3")
    assert reused.outcome == "not-run" and reused.code == "2007"


def test_stopped_stage_is_taken_for_silent_and_the_answer_is_whole(fleet):
    """The caller receives one complete answer although a stage is stopped.

    The connections of the stopped stage stay open without data.  It resumes
    later, and what it still does then reaches no caller.
    """
    stopped = []

    def stop(received):
        stopped.append(fleet.stages_of(received.system_id)[0])
        fleet.signal(stopped[0], signal.SIGSTOP)

    try:
        received = stream_with_fault(fleet, fleet.entry_ports[0], "stop a stage", stop)
    finally:
        fleet.signal(stopped[0], signal.SIGCONT)
    assert received.is_complete, received
    again = stream_with_fault(
        fleet, fleet.entry_ports[0], "after the stop", lambda received: None
    )
    assert again.is_complete, again


def test_silent_connection_is_replaced_by_a_new_one(fleet):
    """The caller receives one complete answer although a connection went silent.

    A middlebox between host and target loses the open connections, and new ones
    work.  Drafts may not be started again, so a complete answer shows that the
    host reconnected to the attempt and did not retry it.
    """
    for number in range(6):
        received = stream_with_fault(
            fleet,
            fleet.entry_ports[0],
            f"silence {number}",
            lambda received: fleet.relay.silence_open_connections(),
            "draft",
            f"silent-{number}",
        )
        assert received.is_complete, received
        assert fleet.count_starts(received.system_id) == 1
        if "a-engine-0" in fleet.stages_of(received.system_id):
            return
    pytest.fail("no request passed the relay")


def test_entry_host_that_was_stopped_goes_on_with_its_streams(fleet):
    """The caller receives one complete answer after a pause, and other hosts serve."""
    entry = list(fleet.entries_by_id.values())[0]
    others = []

    def stop(received):
        fleet.signal(entry.id, signal.SIGSTOP)
        answer = chat(fleet.entry_ports[1], "review", "meanwhile", 4)
        others.append(answer.status)
        fleet.signal(entry.id, signal.SIGCONT)

    received = stream_with_fault(fleet, entry.caller_port, "stop a host", stop)
    assert received.is_complete, received
    assert others == [200]


def test_target_that_an_operator_drains_gets_no_new_work_after_seconds(fleet):
    """Callers notice nothing, and the drained engine runs no step of a new request."""
    entry = list(fleet.entries_by_id)[0]
    drain = "/v1/drains/target/a-engine-8"
    assert fleet.send_operator_request(entry, "PUT", drain, {}) == 200
    try:
        time.sleep(4)
        before = fleet.count_started_requests("a-engine-8")
        for number in range(12):
            port = fleet.entry_ports[number % len(fleet.entry_ports)]
            assert chat(port, "review", f"drained {number}", 3).status == 200
        assert fleet.count_started_requests("a-engine-8") == before
    finally:
        assert fleet.send_operator_request(entry, "DELETE", drain, {}) == 200


def test_profile_change_is_in_force_at_every_host_within_seconds(fleet):
    """One of two concurrent operators wins, and every host applies the change."""
    first, *_, last = fleet.entries_by_id
    fresh = {"name": "fresh", "model": "small"}
    assert fleet.send_operator_request(first, "POST", "/v1/profiles", fresh) in (
        200,
        201,
    )
    changed = {**fresh, "deadline_s": 20.0, "expected_version": 1}
    statuses = [
        fleet.send_operator_request(host, "PUT", "/v1/profiles/fresh", changed)
        for host in (first, last)
    ]
    assert sorted(statuses) == [200, 409]
    assert fleet.send_operator_request(last, "DELETE", "/v1/profiles/fresh", {}) == 200
    deadline = time.monotonic() + 8.0
    codes = set()
    while codes != {"2008"} and time.monotonic() < deadline:
        codes = {chat(port, "fresh", "x", 1).code for port in fleet.entry_ports}
        time.sleep(0.1)
    assert codes == {"2008"}


def test_work_of_a_killed_entry_host_is_unknown_to_the_others(fleet):
    """The caller's connection breaks, and its retry elsewhere does not run again.

    The host is killed while it streams a draft.  The outcome of the draft can't be
    determined, so the retry gets "unknown".  A review may simply be retried.
    """
    killed_host = list(fleet.entries_by_id)[1]
    port = fleet.entries_by_id[killed_host].caller_port
    zone = fleet.entries_by_id[killed_host].zone

    def kill(received):
        fleet.end(killed_host, signal.SIGKILL)

    received = stream_with_fault(fleet, port, "kill a host", kill, "draft", "ticket-2")
    assert received.broken and not received.is_done
    retry = chat(fleet.entry_ports[0], "draft", "kill a host", TOKENS, "ticket-2")
    assert retry.outcome == "unknown", retry
    assert fleet.count_starts(received.system_id) == 1
    assert fleet.count_starts(retry.system_id) == 0
    again = stream_with_fault(
        fleet, fleet.entry_ports[0], "kill a host", lambda received: None
    )
    assert again.is_complete, again
    fleet.wait_serving(fleet.start_entry(f"{killed_host}-again", zone))


def test_platform_that_stands_still_stops_no_request(fleet):
    """Callers notice nothing while the platform's service does not answer."""
    fleet.signal("platform", signal.SIGSTOP)
    try:
        for port in fleet.entry_ports:
            received = stream_with_fault(
                fleet, port, f"no platform {port}", lambda received: None
            )
            assert received.is_complete, received
    finally:
        fleet.signal("platform", signal.SIGCONT)


def test_every_entry_host_is_replaced_under_load_and_no_request_is_cut(fleet):
    """Callers that retry elsewhere after "not run" receive every answer complete.

    One host after another gets a successor and a SIGTERM.  It finishes the
    requests that it has, and refuses new work as "not run".
    """
    received_by_number = {}
    tried_elsewhere = []

    async def caller(number, stop):
        count = 0
        while not stop.is_set():
            received = ReceivedAnswer(f"load {number} {count}", 20)
            count += 1
            for _ in range(40):
                ports = fleet.entry_ports
                port = ports[(number + count) % len(ports)]
                received = await stream(port, ReceivedAnswer(received.prompt, 20))
                if received.outcome != "not-run" and received.broken != "ConnectError":
                    break
                tried_elsewhere.append(received)
                count += 1
                await trio.sleep(0.1)
            received_by_number[number, count] = received

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
    incomplete = [
        received for received in received_by_number.values() if not received.is_complete
    ]
    assert incomplete == []
    assert len(received_by_number) > 20


def test_stream_in_flight_outlives_the_signal_to_stop(fleet):
    """The caller receives a complete answer although its host gets a SIGTERM."""
    entry = list(fleet.entries_by_id.values())[0]
    statuses = []

    def stop(received):
        fleet.signal(entry.id, signal.SIGTERM)
        statuses.append(httpcore.request("GET", url).status)

    url = f"http://127.0.0.1:{entry.caller_port}/readyz"
    received = stream_with_fault(fleet, entry.caller_port, "stop in mid stream", stop)
    assert received.is_complete, received
    assert statuses == [503] or statuses == [200]
    assert entry.process.wait(timeout=20) == 0
    fleet.processes_by_id.pop(entry.id)
    fleet.entries_by_id.pop(entry.id)
