"""The headers that callers may send, with their limits."""

import re
import uuid
from collections.abc import Iterable
from dataclasses import dataclass

from expression import Error, Ok, Result

from radishfield.core import Fault, Priority, ResultCode, fault

DEFAULT_WORKSPACE = "default"
# Longer than any profile's work; a caller that wants no limit leaves it out.
MAX_DEADLINE_MS = 3_600_000

NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,63}", re.ASCII)
KEY = re.compile(r"[\x21-\x7e]{1,128}", re.ASCII)
MILLISECONDS = re.compile(r"[0-9]{1,7}", re.ASCII)
NAME_ALLOWED = "1 to 64 letters, digits, '.', '_', ':' or '-'"
KEY_ALLOWED = "1 to 128 visible ASCII characters"
DEADLINE_ALLOWED = f"a whole number of milliseconds from 1 to {MAX_DEADLINE_MS}"
PRIORITY_BY_WORD = {member.name.lower(): member for member in Priority}
PRIORITY_ALLOWED = "one of " + ", ".join(PRIORITY_BY_WORD)


@dataclass(slots=True, frozen=True)
class CallerHeaders:
    """What a caller says about its request in headers.

    Attributes
    ----------
    caller_id : str
        The caller's own request id, or ``request_id`` where it sent none.
    request_id : str
        Unique in the whole system, so that two callers that send the same id
        can never get each other's tokens.
    """

    request_id: str
    caller_id: str
    workspace: str = DEFAULT_WORKSPACE
    idempotency_key: str = ""
    deadline_s: float | None = None
    priority: Priority | None = None

    def answer_headers(self) -> list[tuple[bytes, bytes]]:
        """Return the headers that name the request in every answer."""
        return [
            (b"x-request-id", self.caller_id.encode()),
            (b"x-radishfield-id", self.request_id.encode()),
        ]


def new_headers(caller_id: str = "") -> CallerHeaders:
    """Return headers that hold a fresh request id and nothing else."""
    request_id = uuid.uuid4().hex
    return CallerHeaders(request_id, caller_id or request_id)


def read_headers(
    headers: Iterable[tuple[bytes, bytes]],
) -> Result[CallerHeaders, Fault]:
    """Check the headers of a request; a header sent twice is refused."""
    text_by_name: dict[str, str] = {}
    for raw_name, value in headers:
        name = raw_name.decode("latin-1").lower()
        if name not in READ_HEADERS:
            continue
        if name in text_by_name:
            return _bad(name, "sent once")
        text_by_name[name] = value.decode("latin-1").strip()
    fresh = new_headers(text_by_name.get("x-request-id", ""))
    for name, text in text_by_name.items():
        pattern, allowed = READ_HEADERS[name]
        if not pattern.fullmatch(text):
            return _bad(name, allowed)
    milliseconds = int(text_by_name.get("x-deadline-ms", "0"))
    if milliseconds > MAX_DEADLINE_MS or (
        "x-deadline-ms" in text_by_name and milliseconds == 0
    ):
        return _bad("x-deadline-ms", DEADLINE_ALLOWED)
    return Ok(
        CallerHeaders(
            fresh.request_id,
            fresh.caller_id,
            text_by_name.get("x-workspace", DEFAULT_WORKSPACE),
            text_by_name.get("idempotency-key", ""),
            milliseconds / 1000 if milliseconds else None,
            PRIORITY_BY_WORD.get(text_by_name.get("x-priority", "")),
        )
    )


READ_HEADERS = {
    "x-request-id": (NAME, NAME_ALLOWED),
    "x-workspace": (NAME, NAME_ALLOWED),
    "idempotency-key": (KEY, KEY_ALLOWED),
    "x-deadline-ms": (MILLISECONDS, DEADLINE_ALLOWED),
    "x-priority": (re.compile("|".join(PRIORITY_BY_WORD)), PRIORITY_ALLOWED),
}


def _bad(name: str, allowed: str) -> Result[CallerHeaders, Fault]:
    return Error(fault(ResultCode.BAD_HEADER, f"{name}: allowed: {allowed}"))
