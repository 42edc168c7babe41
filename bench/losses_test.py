"""Tests that each late request gets one cause from the hosts' log lines."""

import json
from collections import Counter

import pytest

from bench.losses import ended_requests, read_lines, table

STREAM = {
    "event": "request.ended",
    "code": 1000,
    "seconds": 2.0,
    "sent": 1,
    "route": "r",
    "objective_s": 0.5,
    "gap_objective_s": 0.2,
    "deadline_s": 20.0,
    "first_event_s": 0.05,
    "longest_gap_s": 0.07,
    "events": 60,
    "queued_s": 0.0,
    "moved": 0,
}


def log(*fields, host="edge-1"):
    rows = [{"event": "host.starting", "zone": "a"}, *fields]
    return [f"{at:9.3f} {host} {json.dumps(row)}" for at, row in enumerate(rows)]


def causes(*fields):
    return [row.cause for row in ended_requests(read_lines(log(*fields)))]


@pytest.mark.parametrize(
    ("changes", "cause"),
    [
        ({}, "in time"),
        ({"first_event_s": 0.6, "queued_s": 0.5}, "late: waited in line"),
        (
            {"first_event_s": 0.6, "sent": 2},
            "late: target lost before the first event",
        ),
        ({"first_event_s": 0.6}, "late: slow first event"),
        ({"longest_gap_s": 0.3, "moved": 1}, "late: path moved in mid stream"),
        ({"longest_gap_s": 0.3, "sent": 2}, "late: target lost in mid stream"),
        ({"longest_gap_s": 0.3}, "late: pause too long"),
        ({"code": 3001}, "refused: full"),
        ({"code": 3006}, "refused: keys stale"),
        ({"code": 4014}, "failed: target lost, no try left"),
    ],
)
def test_stream_gets_the_cause_that_its_log_line_shows(changes, cause):
    assert causes(STREAM | {"request": "r1"} | changes) == [cause]


def test_retry_after_refusal_is_late_even_if_served_in_time():
    first = STREAM | {"request": "r1"}
    again = STREAM | {"request": "r2", "deadline_s": 14.0}
    assert causes(first, again) == ["in time", "late: came back after a refusal"]


def test_open_streams_of_a_killed_host_are_counted():
    """A host is killed with a stream in flight, and restarts.

    The end of the stream is not logged; only its ``attempt.sent`` line shows it.
    """
    sent = {"event": "attempt.sent", "request": "r1", "path": "t=0-80"}
    assert causes(sent, {"event": "host.starting", "zone": "a"}) == ["host gone"]


def test_caller_errors_and_truncated_lines_are_not_counted():
    unknown = STREAM | {"request": "r1", "code": 7005}
    rows = [*log(unknown), '    3.0 edge-1 {"event": "request.en', "a table's row"]
    assert ended_requests(read_lines(rows)) == []


def test_counts_are_given_by_second_route_and_zone():
    rows = ended_requests(read_lines(log(STREAM | {"request": "r1"})))
    assert Counter(row.cause for row in rows) == {"in time": 1}
    for span in ("second", "route", "zone"):
        (line,) = table(rows, span, 2.0)
        assert "1 asked     1 in time" in line
