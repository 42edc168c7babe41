"""Structured logs as JSON lines, each with the id of the current request.

A line holds an event name and named scalar fields.  Prompts, bodies, tokens and
keys are never passed to `log_event`; fields with such names are masked
nevertheless, because an accidental leak cannot be undone.
"""

import logging
import sys
from contextvars import ContextVar
from datetime import UTC, datetime

import msgspec

LOGGER_NAME = "radishfield"
MASKED_FIELDS = frozenset(
    {"authorization", "body", "cookie", "key", "prompt", "secret", "text", "token"}
)
MASK = "(hidden)"
# Limits the length of a line, since fields can hold input of callers.
MAX_FIELD_LENGTH = 300

current_request_id: ContextVar[str] = ContextVar("current_request_id", default="")

Scalar = str | int | float | bool | None

_logger = logging.getLogger(LOGGER_NAME)


class LogSetup(msgspec.Struct, frozen=True):
    """Lowest level, destination and host id of log lines."""

    level: str = "info"
    destination: str = "stderr"
    host: str = ""


class JsonLineFormatter(logging.Formatter):
    """Formats a record as one line of JSON."""

    def __init__(self, host: str = ""):
        super().__init__()
        self._host = host

    def format(self, record: logging.LogRecord) -> str:
        """Return the line without a line break."""
        timestamp = datetime.fromtimestamp(record.created, UTC)
        line: dict[str, Scalar] = {
            "time": timestamp.isoformat(timespec="milliseconds"),
            "level": record.levelname.lower(),
            "event": getattr(record, "event", "log"),
            "host": self._host,
        }
        request_id = getattr(record, "request", "") or current_request_id.get()
        if request_id:
            line["request"] = request_id
        fields = getattr(record, "fields", None)
        if fields is None:
            fields = {"logger": record.name, "message": record.getMessage()}
        line |= {name: _mask_or_truncate(name, value) for name, value in fields.items()}
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return msgspec.json.encode(line).decode()


def configure_logs(setup: LogSetup, handler: logging.Handler | None = None) -> None:
    """Send all logs of the process through one handler, as JSON lines.

    Parameters
    ----------
    handler : logging.Handler, optional
        Replaces the default stream handler, which writes each line immediately.
    """
    root = logging.getLogger()
    for old_handler in list(root.handlers):
        root.removeHandler(old_handler)
    root.setLevel(setup.level.upper())
    if setup.destination == "off":
        root.addHandler(logging.NullHandler())
        return
    if handler is None:
        stream = sys.stdout if setup.destination == "stdout" else sys.stderr
        handler = logging.StreamHandler(stream)
    handler.setFormatter(JsonLineFormatter(setup.host))
    root.addHandler(handler)


def log_event(
    event: str, level: int = logging.INFO, *, defect: bool = False, **fields: Scalar
) -> None:
    """Log an event as one line.

    Parameters
    ----------
    event : str
        Name of the event in lower case with dots, for example ``request.ended``.
    defect : bool
        Add the traceback of the exception being handled.
    """
    if _logger.isEnabledFor(level):
        extra = {"event": event, "fields": fields}
        _logger.log(level, event, extra=extra, exc_info=defect)


def _mask_or_truncate(name: str, value: Scalar) -> Scalar:
    if name in MASKED_FIELDS:
        return MASK
    if isinstance(value, bool | int | float | None):
        return value
    return str(value)[:MAX_FIELD_LENGTH]
