"""Parses the headers that callers may send and checks their limits."""

import re
import uuid
from collections.abc import Iterable
from dataclasses import dataclass

from expression import Error, Ok, Result

from radishfield.core import Fault, Priority, ResultCode, fault

DEFAULT_WORKSPACE = "default"
# Longer than any profile's requests take.  A caller that wants no limit
# omits the header.
MAX_DEADLINE_MS = 3_600_000

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,63}", re.ASCII)
KEY_PATTERN = re.compile(r"[\x21-\x7e]{1,128}", re.ASCII)
MILLISECONDS_PATTERN = re.compile(r"[0-9]{1,7}", re.ASCII)
NAME_ALLOWED = "1 to 64 letters, digits, '.', '_', ':' or '-'"
KEY_ALLOWED = "1 to 128 visible ASCII characters"
DEADLINE_ALLOWED = f"a whole number of milliseconds from 1 to {MAX_DEADLINE_MS}"
PRIORITY_BY_NAME = {member.name.lower(): member for member in Priority}
PRIORITY_ALLOWED = "one of " + ", ".join(PRIORITY_BY_NAME)


@dataclass(slots=True, frozen=True)
class CallerHeaders:
    """The values that a caller sends in the headers of its request.

    Attributes
    ----------
    caller_id : str
        The caller's own request id, or ``request_id`` where it sent none.
    request_id : str
        Unique in the whole system, so that two callers that send the same id
        never get each other's tokens.
    """

    request_id: str
    caller_id: str
    workspace: str = DEFAULT_WORKSPACE
    idempotency_key: str = ""
    deadline_s: float | None = None
    priority: Priority | None = None

    def answer_headers(self) -> list[tuple[bytes, bytes]]:
        """Return the headers that identify the request in every answer."""
        return [
            (b"x-request-id", self.caller_id.encode()),
            (b"x-radishfield-id", self.request_id.encode()),
        ]


def new_headers(caller_id: str = "") -> CallerHeaders:
    """Return headers with a new request id and defaults for all but the ids."""
    request_id = uuid.uuid4().hex
    return CallerHeaders(request_id, caller_id or request_id)


def read_headers(
    headers: Iterable[tuple[bytes, bytes]],
) -> Result[CallerHeaders, Fault]:
    """Check the headers of a request; a header sent twice is refused."""
    text_by_name: dict[str, str] = {}
    for raw_name, value in headers:
        name = raw_name.decode("latin-1").lower()
        if name not in RULE_BY_HEADER:
            continue
        if name in text_by_name:
            return _bad_header(name, "sent once")
        text_by_name[name] = value.decode("latin-1").strip()
    new_ids = new_headers(text_by_name.get("x-request-id", ""))
    for name, text in text_by_name.items():
        pattern, allowed = RULE_BY_HEADER[name]
        if not pattern.fullmatch(text):
            return _bad_header(name, allowed)
    milliseconds = int(text_by_name.get("x-deadline-ms", "0"))
    if milliseconds > MAX_DEADLINE_MS or (
        "x-deadline-ms" in text_by_name and milliseconds == 0
    ):
        return _bad_header("x-deadline-ms", DEADLINE_ALLOWED)
    return Ok(
        CallerHeaders(
            new_ids.request_id,
            new_ids.caller_id,
            text_by_name.get("x-workspace", DEFAULT_WORKSPACE),
            text_by_name.get("idempotency-key", ""),
            milliseconds / 1000 if milliseconds else None,
            PRIORITY_BY_NAME.get(text_by_name.get("x-priority", "")),
        )
    )


RULE_BY_HEADER = {
    "x-request-id": (NAME_PATTERN, NAME_ALLOWED),
    "x-workspace": (NAME_PATTERN, NAME_ALLOWED),
    "idempotency-key": (KEY_PATTERN, KEY_ALLOWED),
    "x-deadline-ms": (MILLISECONDS_PATTERN, DEADLINE_ALLOWED),
    "x-priority": (re.compile("|".join(PRIORITY_BY_NAME)), PRIORITY_ALLOWED),
}


def _bad_header(name: str, allowed: str) -> Result[CallerHeaders, Fault]:
    return Error(fault(ResultCode.BAD_HEADER, f"{name}: allowed: {allowed}"))
