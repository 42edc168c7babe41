"""Tests of the stand-ins that routers are tested against."""

import pytest
import trio

from standins.object_store import ObjectStoreApp
from standins.routed_targets import LayeredTarget, PlainTarget


@pytest.mark.parametrize(
    "app", [PlainTarget("p1"), LayeredTarget("t1"), ObjectStoreApp()]
)
def test_a_request_whose_connection_ends_before_its_body_runs_nothing(app):
    """Guards against an error in a stand-in that a test would take for a fault."""
    sent = []
    messages = [
        {"type": "http.request", "body": b"{", "more_body": True},
        {"type": "http.disconnect"},
    ]

    async def receive():
        return messages.pop(0)

    async def send(message):
        sent.append(message)

    scope = {
        "type": "http",
        "method": "POST",
        "path": "/order",
        "query_string": b"",
        "headers": [(b"x-expect-instance", b"p1")],
    }
    trio.run(app, scope, receive, send)
    assert sent == []
