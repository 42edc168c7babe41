"""JSON-lines logs: one event name a line, with the request's id throughout.

A line holds an event name and named scalar fields.  Prompts, bodies, tokens and
keys are never passed to `log_event`; a field whose name says that it is one of
these is masked all the same, because a leak by mistake cannot be taken back.
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
# A caller's input can reach a field; this bounds a line, whatever was sent.
MAX_FIELD_LENGTH = 300

current_request_id: ContextVar[str] = ContextVar("current_request_id", default="")

Scalar = str | int | float | bool | None

_logger = logging.getLogger(LOGGER_NAME)


class LogSetup(msgspec.Struct, frozen=True):
    """Where lines go, from which level on, and the host that they name."""

    level: str = "info"
    destination: str = "stderr"
    host: str = ""


class JsonLines(logging.Formatter):
    """Formats a record as one line of JSON."""

    def __init__(self, host: str = ""):
        super().__init__()
        self._host = host

    def format(self, record: logging.LogRecord) -> str:
        """Return the line without its line break."""
        moment = datetime.fromtimestamp(record.created, UTC)
        line: dict[str, Scalar] = {
            "time": moment.isoformat(timespec="milliseconds"),
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
        line |= {name: _safe(name, value) for name, value in fields.items()}
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return msgspec.json.encode(line).decode()


def configure_logs(setup: LogSetup, handler: logging.Handler | None = None) -> None:
    """Send every log of the process through one handler, as JSON lines.

    Parameters
    ----------
    handler : logging.Handler, optional
        Takes the lines in place of a stream that is written at once.
    """
    root = logging.getLogger()
    for earlier in list(root.handlers):
        root.removeHandler(earlier)
    root.setLevel(setup.level.upper())
    if setup.destination == "off":
        root.addHandler(logging.NullHandler())
        return
    if handler is None:
        stream = sys.stdout if setup.destination == "stdout" else sys.stderr
        handler = logging.StreamHandler(stream)
    handler.setFormatter(JsonLines(setup.host))
    root.addHandler(handler)


def log_event(
    event: str, level: int = logging.INFO, *, defect: bool = False, **fields: Scalar
) -> None:
    """Write one line.

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


def _safe(name: str, value: Scalar) -> Scalar:
    if name in MASKED_FIELDS:
        return MASK
    if isinstance(value, bool | int | float | None):
        return value
    return str(value)[:MAX_FIELD_LENGTH]
