"""Logs, metrics and request records of a host."""

from radishfield.core import lazy_getattr
from radishfield.telemetry._deferred import DeferredTelemetry
from radishfield.telemetry._kinds import RequestKind
from radishfield.telemetry._lines import LineWriter
from radishfield.telemetry._logs import (
    LogSetup,
    configure_logs,
    current_request_id,
    log_event,
)
from radishfield.telemetry._records import (
    RecordedEvent,
    RecordKind,
    RequestRecord,
    RequestRecords,
)

# Loading the metrics takes a fifth of a router's start-up time; the observer needs
# the scheduler and with it the graph library, 13 MB that a router never uses.
__getattr__ = lazy_getattr(
    {
        "NullTelemetry": "radishfield.telemetry._metrics",
        "Telemetry": "radishfield.telemetry._metrics",
        "TelemetryObserver": "radishfield.telemetry._observer",
    }
)

__all__ = [
    "DeferredTelemetry",
    "LineWriter",
    "LogSetup",
    "NullTelemetry",
    "RecordKind",
    "RecordedEvent",
    "RequestKind",
    "RequestRecord",
    "RequestRecords",
    "Telemetry",
    "TelemetryObserver",
    "configure_logs",
    "current_request_id",
    "log_event",
]
