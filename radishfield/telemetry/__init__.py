"""What an entry host tells about itself: logs, metrics and request records."""

from radishfield.telemetry._logs import (
    LogSetup,
    configure_logs,
    current_request_id,
    log_event,
)
from radishfield.telemetry._metrics import NullTelemetry, RequestKind, Telemetry
from radishfield.telemetry._observer import TelemetryObserver
from radishfield.telemetry._records import (
    RecordedEvent,
    RecordKind,
    RequestRecord,
    RequestRecords,
)

__all__ = [
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
