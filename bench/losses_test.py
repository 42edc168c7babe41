"""Each request that was not in time gets one cause, from what hosts logged of it."""

import json
from collections import Counter

import pytest

from bench.losses import ends, read_lines, table

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
    return [row.cause for row in ends(read_lines(log(*fields)))]


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
def test_a_stream_has_the_cause_that_its_line_shows(changes, cause):
    assert causes(STREAM | {"request": "r1"} | changes) == [cause]


def test_a_request_that_returned_is_late_however_fast_it_was_served():
    first = STREAM | {"request": "r1"}
    again = STREAM | {"request": "r2", "deadline_s": 14.0}
    assert causes(first, again) == ["in time", "late: came back after a refusal"]


def test_streams_that_a_killed_host_took_along_are_counted():
    """A host is killed with a stream in flight, and starts again.

    Nothing logs the end of that stream; only its sending shows that it was there.
    """
    sent = {"event": "attempt.sent", "request": "r1", "path": "t=0-80"}
    assert causes(sent, {"event": "host.starting", "zone": "a"}) == ["host gone"]


def test_what_callers_did_wrong_and_half_lines_do_not_count():
    unknown = STREAM | {"request": "r1", "code": 7005}
    rows = [*log(unknown), '    3.0 edge-1 {"event": "request.en', "a table's row"]
    assert ends(read_lines(rows)) == []


def test_counts_are_given_by_second_route_and_zone():
    rows = ends(read_lines(log(STREAM | {"request": "r1"})))
    assert Counter(row.cause for row in rows) == {"in time": 1}
    for span in ("second", "route", "zone"):
        (line,) = table(rows, span, 2.0)
        assert "1 asked     1 in time" in line
