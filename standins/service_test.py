"""Tests of non-idempotent calls to a plain service."""

import pytest
import trio
from hypercorn.config import Config
from hypercorn.trio import serve

from radishfield.core import (
    Outcome,
    Profile,
    ResultCode,
    ServiceRequest,
    Target,
    TrioClock,
)
from radishfield.edges import EngineTargets
from standins.ports import free_port
from standins.service import ServiceApp, ServiceFaults


def call_with(faults):
    """Make one call; return its result and how often the service ran it."""

    async def main():
        app = ServiceApp("s")
        app.faults = faults
        config = Config()
        config.bind = [f"127.0.0.1:{free_port()}"]
        config.loglevel = "CRITICAL"
        async with trio.open_nursery() as nursery:
            await nursery.start(serve, app, config)
            target = Target("s", "h", "z", config.bind[0])
            deadline = trio.current_time() + 0.5
            request = ServiceRequest(
                "r", "w", Profile("p", ""), "POST", "/notices", b"{}", 0.0, deadline
            )
            result = await EngineTargets(clock=TrioClock()).call(target, request)
            nursery.cancel_scope.cancel()
        return result, len(app.record.calls)

    return trio.run(main)


def test_call_runs_once_and_the_service_error_is_its_answer():
    answer, runs = call_with(ServiceFaults())
    assert (answer.ok.status, runs) == (200, 1)
    answer, runs = call_with(ServiceFaults(fail=True))
    assert (answer.ok.status, runs) == (500, 1)


@pytest.mark.parametrize(
    ("faults", "code", "outcome", "runs"),
    [
        (ServiceFaults(refuse=True), ResultCode.TARGET_REFUSED, Outcome.NOT_RUN, 0),
        (ServiceFaults(truncate=True), ResultCode.STREAM_BROKEN, Outcome.UNKNOWN, 1),
        (ServiceFaults(silent=True), ResultCode.DEADLINE_PASSED, Outcome.UNKNOWN, 1),
        (ServiceFaults(slow_s=2.0), ResultCode.DEADLINE_PASSED, Outcome.UNKNOWN, 1),
    ],
)
def test_failed_call_is_reported_as_not_run_only_if_it_did_not_run(
    faults, code, outcome, runs
):
    """The outcome reported to the caller agrees with the service's record.

    The service refuses before it starts, or runs the call and its answer is
    truncated, missing or late; it runs the call at most once.
    """
    result, run_count = call_with(faults)
    assert (result.error.code, result.error.outcome) == (code, outcome)
    assert run_count == runs
