"""What an entry host tells about itself: logs, metrics and request records."""

from radishfield.telemetry._lines import LineWriter
from radishfield.telemetry._logs import (
    LogSetup,
    configure_logs,
    current_request_id,
    log_event,
)
from radishfield.telemetry._metrics import NullTelemetry, RequestKind, Telemetry
from radishfield.telemetry._records import (
    RecordedEvent,
    RecordKind,
    RequestRecord,
    RequestRecords,
)


def __getattr__(name: str):
    """Load the dispatcher's observer on first use.

    It needs the scheduler and with it the graph library, 13 MB that a router of
    the users' platform never uses.
    """
    if name == "TelemetryObserver":
        from radishfield.telemetry._observer import TelemetryObserver

        return TelemetryObserver
    raise AttributeError(name)


__all__ = [
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
