"""What an entry host tells about itself: logs, metrics and request records."""

from importlib import import_module

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

_MODULE_BY_LAZY_NAME = {
    "NullTelemetry": "radishfield.telemetry._metrics",
    "Telemetry": "radishfield.telemetry._metrics",
    "TelemetryObserver": "radishfield.telemetry._observer",
}


def __getattr__(name: str):
    """Load the metrics and the dispatcher's observer on first use.

    The one takes a fifth of a router's start, the other needs the scheduler and
    with it the graph library, 13 MB that a router never uses.
    """
    module = _MODULE_BY_LAZY_NAME.get(name)
    if module is None:
        raise AttributeError(name)
    return getattr(import_module(module), name)


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
