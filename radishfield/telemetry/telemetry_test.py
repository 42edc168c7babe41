"""Tests of logs, metrics and request records."""

import json
import logging

from radishfield.core import (
    LayerRange,
    Outcome,
    Profile,
    Receipt,
    Request,
    ResultCode,
    Route,
    Stage,
    SystemClock,
    Token,
    fault,
)
from radishfield.decisions import Dispatch, Failure, FailureKind, Retry
from radishfield.telemetry import (
    LogSetup,
    RecordKind,
    RequestKind,
    RequestRecords,
    Telemetry,
    TelemetryObserver,
    configure_logs,
    current_request_id,
    log_event,
)
from radishfield.telemetry._records import MAX_EVENTS


def test_a_log_line_is_json_with_event_and_request_and_no_secret(capsys):
    root = logging.getLogger()
    before = list(root.handlers), root.level
    try:
        configure_logs(LogSetup("info", "stdout", "entry-1"))
        reset_token = current_request_id.set("r-1")
        log_event("request.ended", code=1000, token="abc", detail="x" * 1000)
        log_event("request.noise", logging.DEBUG)
        logging.getLogger("hypercorn.error").warning("two\nlines")
        current_request_id.reset(reset_token)
    finally:
        root.handlers, root.level = before
    first, second = map(json.loads, capsys.readouterr().out.splitlines())
    assert first["event"] == "request.ended"
    assert first["request"] == "r-1"
    assert first["host"] == "entry-1"
    assert first["token"] == "(hidden)"
    assert len(first["detail"]) == 300
    assert second["message"] == "two\nlines"


def test_every_refusal_reason_has_a_counter_from_the_start():
    telemetry = Telemetry()
    telemetry.refused(ResultCode.QUEUE_FULL)
    telemetry.retried(ResultCode.STREAM_SILENT)
    text = telemetry.exposition().decode()
    assert 'radishfield_refusals_total{code="3002",reason="queue-full"} 1.0' in text
    assert 'radishfield_refusals_total{code="3005",reason="draining"} 0.0' in text
    assert 'radishfield_retries_total{code="4004",reason="stream-silent"} 1.0' in text


def test_requests_tokens_and_gauges_are_scraped():
    telemetry = Telemetry()
    telemetry.watch("in_flight", "Requests in flight.", lambda: 3)
    telemetry.first_token(0.3)
    for _ in range(14):
        telemetry.token_gap(0.02)
    telemetry.ended(RequestKind.MODEL, Outcome.FINISHED, ResultCode.FINISHED, 0.6)
    text = telemetry.exposition().decode()
    assert "radishfield_tokens_total 15.0" in text
    assert "radishfield_token_gap_seconds_count 2.0" in text
    assert 'radishfield_first_token_seconds_bucket{le="0.34"} 1.0' in text
    assert "radishfield_in_flight 3.0" in text
    ended = 'code="1000",kind="model",outcome="finished"'
    assert f"radishfield_requests_total{{{ended}}} 1.0" in text


def test_records_are_bounded_and_found_by_either_id():
    records = RequestRecords(max_records=2)
    for number in range(3):
        records.open(f"r{number}", "same", "default", "review", 10.0)
    assert records.find("r0") is None
    assert records.find("same").request_id == "r2"
    for _ in range(2 * MAX_EVENTS):
        records.note("r2", 11.0, RecordKind.DISPATCHED, "shortest queue", ("a", "b"), 1)
    records.note("r2", 12.5, RecordKind.ENDED, code=ResultCode.FINISHED)
    record = records.find("r2")
    assert len(record.events) == MAX_EVENTS
    assert record.events_left_out == MAX_EVENTS + 2
    assert record.events[1].target_ids == ("a", "b")
    assert record.events[-1].after_s == 2.5


def test_the_observer_records_a_retried_request_from_dispatch_to_end():
    telemetry, records = Telemetry(), RequestRecords()
    observer = TelemetryObserver(telemetry, records, SystemClock())
    now = SystemClock().now()
    request = Request("r", "w", Profile("p", "m"), "secret", 4, now, now + 9)
    records.open("r", "mine", "w", "p", now)
    stage = Stage("engine-0", "127.0.0.1:1", LayerRange(0, 4))
    dispatch = Dispatch(None, 1, Route((stage,)), reason="fullest stage first")
    observer.admitted(request)
    observer.dispatched(request, dispatch)
    for position in range(2):
        observer.token(request, Token(position, "x", Receipt("r", 1, position, ())))
    problem = fault(ResultCode.STAGE_FAILED, "stage died")
    failure = Failure("r", "engine-0", FailureKind.BROKEN, True, 2)
    observer.attempt_failed(request, failure, problem)
    observer.retried(request, Retry(dispatch), problem)
    observer.ended(request, None)
    events = records.find("mine").events
    assert [event.kind for event in events] == [
        RecordKind.RECEIVED,
        RecordKind.QUEUED,
        RecordKind.DISPATCHED,
        RecordKind.ATTEMPT_FAILED,
        RecordKind.ENDED,
    ]
    assert events[2].target_ids == ("engine-0",)
    text = telemetry.exposition().decode()
    assert 'radishfield_retries_total{code="4006",reason="stage-failed"} 1.0' in text
    assert "radishfield_first_token_seconds_count 1.0" in text
    assert "radishfield_tokens_total 2.0" in text
