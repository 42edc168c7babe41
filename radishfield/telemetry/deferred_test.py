"""Tests that the first scrape includes all counts kept before it."""

import subprocess
import sys

from radishfield.core import Outcome, ResultCode
from radishfield.telemetry import DeferredTelemetry, RequestKind, _deferred


def test_first_scrape_includes_kept_counts_and_later_counts_add_up():
    telemetry = DeferredTelemetry()
    telemetry.watch("hosts", "Hosts.", lambda: 7)
    for _ in range(3):
        telemetry.refused(ResultCode.NO_TARGET)
    telemetry.retried(ResultCode.STREAM_BROKEN)
    telemetry.first_token(0.2)
    telemetry.ended(RequestKind.MODEL, Outcome.FINISHED, ResultCode.FINISHED, 1.5)
    first = telemetry.exposition().decode()
    assert 'refusals_total{code="3004",reason="no-target"} 3.0' in first
    assert 'retries_total{code="4003",reason="stream-broken"} 1.0' in first
    assert "radishfield_hosts 7.0" in first
    assert "radishfield_first_token_seconds_count 1.0" in first
    telemetry.refused(ResultCode.NO_TARGET)
    second = telemetry.exposition().decode()
    assert 'refusals_total{code="3004",reason="no-target"} 4.0' in second


def test_counters_stay_complete_when_no_more_times_are_kept(monkeypatch):
    monkeypatch.setattr(_deferred, "KEPT_TIMES", 2)
    telemetry = DeferredTelemetry()
    for _ in range(5):
        telemetry.ended(RequestKind.MODEL, Outcome.FINISHED, ResultCode.FINISHED, 1.0)
    page = telemetry.exposition().decode()
    (line,) = [
        line for line in page.splitlines() if line.startswith("radishfield_requests_t")
    ]
    assert line.endswith(" 5.0")


def test_a_router_starts_without_the_metrics_library_and_the_graph_library():
    code = (
        "import sys, radishfield.forwarding;"
        "print([m for m in ('opentelemetry', 'networkx', 'capnp') if m in sys.modules])"
    )
    completed = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    assert completed.stdout.strip() == "[]"
